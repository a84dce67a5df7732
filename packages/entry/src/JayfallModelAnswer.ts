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
import { type Hop } from '#jayfall/telemetry'

import { parseUsage, type AnswerHeaders, type AnswerSink } from './JayfallAnswerSink'
import { ApiError } from './JayfallApiError'
import { BackendError, isBackendError } from './JayfallBackendError'
import { refusalError } from './JayfallChatRequest'
import { refusalNow, type DataContext } from './JayfallDataContext'
import { ATTEMPTS_METRIC, FIRST_TOKEN_LIMIT_MILLISECONDS, FIRST_TOKEN_METRIC, IDLE_STREAMS_METRIC, MAXIMUM_RESUMPTIONS, MINIMUM_SILENCE_MILLISECONDS, REFUSALS_METRIC, SESSION_HEADER, STREAM_HEADER, TOKEN_GAP_METRIC, TRACE_HEADER } from './JayfallEntryConstants'
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
  /** The hop of the caller's request. */
  readonly hop: Hop
  /** Headers of the answer besides the tokens. */
  readonly headers: AnswerHeaders
}

type Dispatch = Extract<RoutingDecision, { kind: 'dispatch' }>

interface Attempt {
  readonly decision: Dispatch
  readonly address: string
  readonly streamId: string
  readonly hop: Hop
  /** Headers of the caller's answer when it comes from this attempt. */
  answerHeaders: AnswerHeaders
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
  private readonly queueHop: Hop
  private firstTokenAt = 0
  /** Whether an attempt may have reached a backend server. */
  private mayHaveRun = false

  constructor (private readonly context: DataContext, private readonly work: ModelWork, private readonly sink: AnswerSink) {
    this.queueHop = work.hop.startHop('queue')
  }

  dispatch (decision: Dispatch): void {
    this.queueHop.end()
    this.start(decision).catch((error: unknown) => this.failAttempt(decision.attempt, error))
  }

  cancel (attempt: number): void {
    const found = this.attempts.get(attempt)
    if (found === undefined) return
    found.cancelled = true
    found.reader?.stop()
    found.hop.end({ cancelled: true })
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
    const attempt = this.openAttempt(decision, server.address)
    // Sealing takes several turns of the thread pool; the engine works meanwhile.
    const sealed = this.sealTokens(attempt)
    const sent = this.context.backend.send({
      method: 'POST',
      address: attempt.address,
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', 'x-request-id': attempt.streamId, 'x-priority': String(decision.priority), 'x-model-version': version.id, [TRACE_HEADER]: attempt.hop.traceparent },
      payload: this.work.payload,
      headTimeout: FIRST_TOKEN_LIMIT_MILLISECONDS
    })
    const [tokens, response] = await Promise.all([sealed, sent])
    attempt.answerHeaders = { ...this.work.headers, ...tokens }
    if (response.statusCode !== 200) throw new BackendError('broken', `the engine answered with status ${response.statusCode}`)
    this.read(attempt, response)
  }

  private openAttempt (decision: Dispatch, address: string): Attempt {
    const attempt: Attempt = {
      decision,
      address,
      streamId: `${this.work.request.id}.${decision.attempt}`,
      hop: this.work.hop.startHop('attempt', { server: decision.server, attempt: decision.attempt, reason: decision.reason }),
      answerHeaders: this.work.headers,
      nextIndex: 0,
      resumptions: 0,
      cancelled: false
    }
    this.attempts.set(decision.attempt, attempt)
    return attempt
  }

  private async sealTokens ({ decision, streamId }: Attempt): Promise<AnswerHeaders> {
    const { request, version, model, billKey } = this.work
    const common = { workspace: request.workspace, version: version.id, server: decision.server, issuedAt: this.context.clock.wall() }
    const [session, stream] = await Promise.all([
      this.context.seal.seal({ kind: 'session', model, ...common }),
      this.context.seal.seal({ kind: 'stream', requestId: request.id, streamId, billKey, ...common })
    ])
    return { [SESSION_HEADER]: session, [STREAM_HEADER]: stream }
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
    if (!this.sink.events(raw, attempt.answerHeaders)) this.waitForCaller(attempt)
  }

  /** Reads no more of the answer until the caller has read what was sent, and disconnects a caller that reads nothing. */
  private waitForCaller (attempt: Attempt): void {
    attempt.reader?.pause()
    const timer = setTimeout(() => {
      this.context.metrics.count(IDLE_STREAMS_METRIC)
      this.context.log.info('idle_caller_disconnected', { request: this.work.request.id, trace: this.work.hop.traceId, index: attempt.nextIndex })
      this.sink.disconnect()
    }, this.context.idleStreamTimeout)
    this.sink.onceRead(() => {
      clearTimeout(timer)
      attempt.reader?.resume()
    })
  }

  /** Makes the first attempt that delivers the answer's; false for the others. */
  private choose (attempt: Attempt): boolean {
    if (this.chosen === undefined) {
      this.chosen = attempt
      this.firstTokenAt = this.context.clock.monotonic()
      this.context.metrics.record(FIRST_TOKEN_METRIC, { class: this.work.request.workClass }, this.firstTokenAt - this.work.request.arrivedAt)
      this.context.book.observe({ kind: 'first-token', requestId: this.work.request.id, attempt: attempt.decision.attempt })
    }
    return this.chosen === attempt && !attempt.cancelled
  }

  private async complete (attempt: Attempt, raw: Buffer): Promise<void> {
    if (!this.choose(attempt)) return
    const usage = parseUsage(raw)
    const bill = createDraftBill(this.work, usage.promptTokens, usage.outputTokens)
    attempt.hop.end({ outputTokens: usage.outputTokens, resumptions: attempt.resumptions })
    this.recordAnswer(usage.outputTokens)
    await this.work.hop.measure('store bill', () => this.context.control.call('bill', bill))
    this.context.book.observe({ kind: 'finished', requestId: this.work.request.id, attempt: attempt.decision.attempt, outputTokens: usage.outputTokens })
    this.context.book.close(this.work.request.id)
    this.sink.finish(raw, attempt.answerHeaders)
    this.context.log.info('request_finished', {
      request: this.work.request.id, trace: this.work.hop.traceId, workspace: bill.workspace, version: bill.source, server: attempt.decision.server, output_tokens: usage.outputTokens, amount: bill.amount
    })
  }

  private recordAnswer (outputTokens: number): void {
    this.context.metrics.count(ATTEMPTS_METRIC, { result: 'finished' })
    if (outputTokens < 2) return
    const gap = (this.context.clock.monotonic() - this.firstTokenAt) / (outputTokens - 1)
    this.context.metrics.record(TOKEN_GAP_METRIC, { class: this.work.request.workClass }, gap)
  }

  private async resume (attempt: Attempt, reason: StreamBreak): Promise<void> {
    if (attempt.cancelled) return
    if (attempt.resumptions >= MAXIMUM_RESUMPTIONS) throw new BackendError(reason === 'silent' ? 'silent' : 'broken', `the stream broke off (${reason})`)
    attempt.resumptions++
    this.context.log.warn('stream_resumed', { request: this.work.request.id, trace: this.work.hop.traceId, server: attempt.decision.server, reason, index: attempt.nextIndex })
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
    attempt?.hop.end({}, failure.failure)
    this.context.metrics.count(ATTEMPTS_METRIC, { result: failure.failure })
    this.mayHaveRun = this.mayHaveRun || failure.failure !== 'unsent'
    const started = this.chosen !== undefined
    if (started && this.chosen !== attempt) return
    this.context.log.warn('attempt_failed', { request: this.work.request.id, trace: this.work.hop.traceId, attempt: number, failure: failure.failure, message: failure.message })
    this.chosen = undefined
    this.context.book.observe({ kind: 'failed', requestId: this.work.request.id, attempt: number, failure: failure.failure, retryable: !started })
    if (started) this.end(new ApiError('stream_incomplete', 'the answer broke off and could not be resumed', { ran: 'yes' }, failure))
  }

  private end (error: ApiError): void {
    this.context.book.close(this.work.request.id)
    this.queueHop.end({}, error.code)
    this.sink.fail(error)
    this.context.metrics.count(REFUSALS_METRIC, { code: error.code })
    this.context.log.warn('request_refused', { request: this.work.request.id, trace: this.work.hop.traceId, workspace: this.work.request.workspace, code: error.code, ran: error.ran })
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
