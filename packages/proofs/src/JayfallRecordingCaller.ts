/** A caller that keeps what it was told, for the comparison with what the stand-ins recorded. */

import { testCallerKey } from '#jayfall/testbed'

/** What an error answer says. */
export interface AnsweredError {
  readonly code: string
  readonly ran: 'no' | 'yes' | 'unknown'
  readonly requestId: string
}

/** One call and its answer. Times are milliseconds of the caller's monotonic clock. */
export interface RecordedAnswer {
  readonly key: string
  readonly address: string
  readonly startedAt: number
  readonly endedAt: number
  /** Undefined when no whole answer arrived. */
  readonly status?: number
  readonly text?: string
  readonly error?: AnsweredError
  readonly isReplayed: boolean
}

/** A request to an instance. */
export interface CallerRequest {
  readonly key: string
  /** IP address and port of an instance. */
  readonly address: string
  readonly path: string
  readonly method?: string
  readonly body?: object
}

/** Calls on behalf of one workspace. */
export class RecordingCaller {
  private readonly recorded: RecordedAnswer[] = []

  /** @param timeout milliseconds after which the caller gives up. */
  constructor (private readonly workspace: string, private readonly timeout: number) {}

  get answers (): readonly RecordedAnswer[] {
    return this.recorded
  }

  /** Sends a request and records the answer; never throws. */
  async send ({ key, address, path, method = 'POST', body }: CallerRequest): Promise<RecordedAnswer> {
    const startedAt = performance.now()
    const answer = await this.receive(`http://${address}${path}`, {
      method,
      headers: { authorization: `Bearer ${testCallerKey(this.workspace)}`, 'idempotency-key': key, 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(this.timeout)
    })
    const record: RecordedAnswer = { key, address, startedAt, endedAt: performance.now(), isReplayed: false, ...answer }
    this.recorded.push(record)
    return record
  }

  private async receive (url: string, options: RequestInit): Promise<Partial<RecordedAnswer>> {
    try {
      const response = await fetch(url, options)
      const text = await response.text()
      const error = response.status >= 400 ? (JSON.parse(text) as { error?: AnsweredError }).error : undefined
      return { status: response.status, text, error, isReplayed: response.headers.get('x-jayfall-replayed') === '1' }
    } catch {
      return {}
    }
  }
}
