/**
 * One model request from its routing to its last byte.
 *
 * The router decides which attempts run. The first attempt that delivers an event is the
 * answer's; others are cancelled. A broken stream is resumed at the next index on a new
 * connection before the router is asked for another attempt.
 */

import { type VersionEntry } from '#jayfall/catalogue'
import { type Bill } from '#jayfall/ledger'
import { type RoutedRequest, type RoutingDecision } from '#jayfall/routing'

import { parseUsage, type AnswerHeaders, type AnswerSink, type Usage } from './JayfallAnswerSink'
import { ApiError } from './JayfallApiError'
import { BackendError, isBackendError } from './JayfallBackendError'
import { refusalError } from './JayfallChatRequest'
import { refusalNow, type DataContext } from './JayfallDataContext'
import { FIRST_TOKEN_LIMIT_MILLISECONDS, MAXIMUM_RESUMPTIONS, MINIMUM_SILENCE_MILLISECONDS, SESSION_HEADER, STREAM_HEADER } from './JayfallEntryConstants'
import { type DecisionHandler } from './JayfallRequestBook'
import { StreamReader, type StreamBreak } from './JayfallStreamReader'

/** What a model request needs besides its routing. */
export interface ModelWork {
  readonly request: RoutedRequest
  readonly version: VersionEntry
  /** The body for the engine. */
  readonly payload: string
  readonly model: string
  readonly billKey: string
  /** Headers of the answer besides the tokens. */
  readonly headers: AnswerHeaders
  /**
   * Judges the whole answer before it is billed. When the result is false nothing is billed and
   * nothing is passed on, unless `deliver` is called later.
   */
  readonly judge?: (usage: Usage, raw: Buffer, deliver: () => Promise<void>) => boolean
}

type Dispatch = Extract<RoutingDecision, { kind: 'dispatch' }>

interface Attempt {
  readonly decision: Dispatch
  readonly address: string
  readonly streamId: string
  readonly tokens: AnswerHeaders
  /** Index of the next event that is expected. */
  nextIndex: number
  resumptions: number
  reader?: StreamReader
  cancelled: boolean
}

/** Carries out the router's decisions about one model request. */
export class ModelAnswer implements DecisionHandler {
  private readonly attempts = new Map<number, Attempt>()
  /** The attempt whose events the caller receives. */
  private chosen: Attempt | undefined
  private lastError: BackendError | undefined
  /** Whether an attempt may have reached a backend server. */
  private mayHaveRun = false

  constructor (private readonly context: DataContext, private readonly work: ModelWork, private readonly sink: AnswerSink) {}

  dispatch (decision: Dispatch): void {
    this.start(decision).catch((error: unknown) => this.failAttempt(decision.attempt, error))
  }

  cancel (attempt: number): void {
    const found = this.attempts.get(attempt)
    if (found === undefined) return
    found.cancelled = true
    found.reader?.stop()
    this.cancelStream(found)
  }

  refuse (decision: Extract<RoutingDecision, { kind: 'refuse' }>): void {
    const ran = this.mayHaveRun ? 'unknown' : 'no'
    this.end(new ApiError(decision.code, refusalMessage(decision.code), { ran, retryAfter: decision.retryAfter }, this.lastError))
  }

  /** The caller went away: the engine stops generating. */
  abandon (): void {
    if (this.sink.isEnded) return
    for (const attempt of this.attempts.keys()) this.cancel(attempt)
    this.context.book.observe({ kind: 'abandoned', requestId: this.work.request.id })
    this.context.book.close(this.work.request.id)
  }

  private async start (decision: Dispatch): Promise<void> {
    const { request, version } = this.work
    const refusal = refusalNow(this.context, request.workspace, version.id)
    if (refusal !== undefined) return this.end(refusalError(refusal, version.id))
    const server = this.context.catalogue.get('server', decision.server)
    if (server === undefined) throw new BackendError('unsent', `${decision.server} is no longer in the catalogue`)
    const attempt = await this.openAttempt(decision, server.address)
    const response = await this.context.backend.send({
      method: 'POST',
      address: attempt.address,
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', 'x-request-id': attempt.streamId, 'x-priority': String(decision.priority), 'x-model-version': version.id },
      payload: this.work.payload,
      headTimeout: FIRST_TOKEN_LIMIT_MILLISECONDS
    })
    if (response.statusCode !== 200) throw new BackendError('broken', `the engine answered with status ${response.statusCode}`)
    this.read(attempt, response)
  }

  private async openAttempt (decision: Dispatch, address: string): Promise<Attempt> {
    const { request, version, model, billKey } = this.work
    const streamId = `${request.id}.${decision.attempt}`
    const issuedAt = this.context.clock.wall()
    const common = { workspace: request.workspace, version: version.id, server: decision.server, issuedAt }
    const attempt: Attempt = {
      decision,
      address,
      streamId,
      tokens: {
        [SESSION_HEADER]: await this.context.seal.seal({ kind: 'session', model, ...common }),
        [STREAM_HEADER]: await this.context.seal.seal({ kind: 'stream', requestId: request.id, streamId, billKey, ...common })
      },
      nextIndex: 0,
      resumptions: 0,
      cancelled: false
    }
    this.attempts.set(decision.attempt, attempt)
    return attempt
  }

  private read (attempt: Attempt, response: ConstructorParameters<typeof StreamReader>[0]): void {
    if (attempt.cancelled) {
      response.destroy()
      return
    }
    attempt.reader = new StreamReader(response, attempt.streamId, attempt.nextIndex, () => MINIMUM_SILENCE_MILLISECONDS, {
      onEvents: (raw, index) => this.passOn(attempt, raw, index),
      onFinal: raw => { this.complete(attempt, raw).catch((error: unknown) => this.failAttempt(attempt.decision.attempt, error)) },
      onBreak: reason => { this.resume(attempt, reason).catch((error: unknown) => this.failAttempt(attempt.decision.attempt, error)) }
    })
  }

  private passOn (attempt: Attempt, raw: Buffer, index: number): void {
    if (!this.choose(attempt)) return
    attempt.nextIndex = index + 1
    this.sink.events(raw, this.answerHeaders(attempt))
  }

  /** Makes the first attempt that delivers the answer's; false for the others. */
  private choose (attempt: Attempt): boolean {
    if (this.chosen === undefined) {
      this.chosen = attempt
      this.context.book.observe({ kind: 'first-token', requestId: this.work.request.id, attempt: attempt.decision.attempt })
    }
    return this.chosen === attempt && !attempt.cancelled
  }

  private async complete (attempt: Attempt, raw: Buffer): Promise<void> {
    if (!this.choose(attempt)) return
    const usage = parseUsage(raw)
    const { judge, request } = this.work
    if (judge === undefined) this.context.ratings.offer(request.id, this.work.version.id)
    if (judge?.(usage, raw, () => this.deliver(attempt, raw, usage)) === false) {
      this.context.book.observe({ kind: 'finished', requestId: request.id, attempt: attempt.decision.attempt, outputTokens: usage.outputTokens })
      this.context.book.close(request.id)
      return
    }
    await this.deliver(attempt, raw, usage)
  }

  /** Bills the answer and passes it on. */
  private async deliver (attempt: Attempt, raw: Buffer, usage: Usage): Promise<void> {
    const bill = createDraftBill(this.work, usage.promptTokens, usage.outputTokens)
    await this.context.control.call('bill', bill)
    this.context.book.observe({ kind: 'finished', requestId: this.work.request.id, attempt: attempt.decision.attempt, outputTokens: usage.outputTokens })
    this.context.book.close(this.work.request.id)
    this.sink.finish(raw, this.answerHeaders(attempt))
    this.context.log.info('request_finished', {
      request: this.work.request.id, workspace: bill.workspace, version: bill.source, server: attempt.decision.server, output_tokens: usage.outputTokens, amount: bill.amount
    })
  }

  private async resume (attempt: Attempt, reason: StreamBreak): Promise<void> {
    if (attempt.cancelled) return
    if (attempt.resumptions >= MAXIMUM_RESUMPTIONS) throw new BackendError(reason === 'silent' ? 'silent' : 'broken', `the stream broke off (${reason})`)
    attempt.resumptions++
    this.context.log.warn('stream_resumed', { request: this.work.request.id, server: attempt.decision.server, reason, index: attempt.nextIndex })
    const response = await this.context.backend.send({
      method: 'GET',
      address: attempt.address,
      path: `/streams/${encodeURIComponent(attempt.streamId)}?offset=${attempt.nextIndex}`,
      headers: {},
      headTimeout: FIRST_TOKEN_LIMIT_MILLISECONDS,
      freshConnection: true
    })
    if (response.statusCode !== 200) throw new BackendError('broken', 'the engine no longer has the stream')
    this.read(attempt, response)
  }

  private failAttempt (number: number, error: unknown): void {
    const attempt = this.attempts.get(number)
    if (attempt?.cancelled === true || this.sink.isEnded) return
    const failure = isBackendError(error) ? error : new BackendError('broken', 'the attempt failed', error)
    this.lastError = failure
    this.mayHaveRun = this.mayHaveRun || failure.failure !== 'unsent'
    const started = this.chosen !== undefined
    if (started && this.chosen !== attempt) return
    this.context.log.warn('attempt_failed', { request: this.work.request.id, attempt: number, failure: failure.failure, message: failure.message })
    this.chosen = undefined
    this.context.book.observe({ kind: 'failed', requestId: this.work.request.id, attempt: number, failure: failure.failure, retryable: !started })
    if (started) this.end(new ApiError('stream_incomplete', 'the answer broke off and could not be resumed', { ran: 'yes' }, failure))
  }

  private end (error: ApiError): void {
    this.context.book.close(this.work.request.id)
    this.sink.fail(error)
    this.context.log.warn('request_refused', { request: this.work.request.id, workspace: this.work.request.workspace, code: error.code, ran: error.ran })
  }

  private answerHeaders (attempt: Attempt): AnswerHeaders {
    return { ...this.work.headers, ...attempt.tokens }
  }

  private cancelStream (attempt: Attempt): void {
    this.context.backend.send({
      method: 'DELETE', address: attempt.address, path: `/streams/${encodeURIComponent(attempt.streamId)}`, headers: {}, headTimeout: FIRST_TOKEN_LIMIT_MILLISECONDS
    }).then(response => response.resume(), (error: Error) => this.context.log.debug('cancel_failed', { message: error.message }))
  }
}

/** The bill of one draft; prices are for a million tokens. */
export function createDraftBill (work: Pick<ModelWork, 'version' | 'request' | 'billKey'>, promptTokens: number, outputTokens: number): Bill {
  const { price, id } = work.version
  const amount = (promptTokens * price.promptPerMillionTokens + outputTokens * price.outputPerMillionTokens) / 1e6
  return { key: work.billKey, workspace: work.request.workspace, source: id, promptTokens, outputTokens, amount }
}

/** What callers read about a refusal by the router. */
export function refusalMessage (code: Extract<RoutingDecision, { kind: 'refuse' }>['code']): string {
  const messages = {
    limit_exceeded: 'the workspace has reached its limit',
    queue_full: 'too many requests wait',
    deadline_unreachable: 'the request would not be answered within its deadline',
    deadline_passed: 'the request was not answered within its deadline',
    no_server: 'no backend server can take the request now',
    attempts_exhausted: 'all attempts on backend servers failed'
  } as const
  return messages[code]
}
