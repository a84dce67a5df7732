/**
 * One model request from its routing to its last byte.
 *
 * The router decides which attempts run. The first attempt that delivers an event is the
 * answer's; the others are cancelled by the router's decisions.
 */

import { type VersionEntry } from '#jayfall/catalogue'
import { type RoutedRequest, type RoutingDecision } from '#jayfall/routing'
import { type Hop } from '#jayfall/telemetry'

import { parseUsage, type AnswerHeaders, type AnswerSink, type Usage } from './JayfallAnswerSink'
import { ApiError, type RanState } from './JayfallApiError'
import { AttemptStream } from './JayfallAttemptStream'
import { BackendError, isBackendError } from './JayfallBackendError'
import { waitForCaller } from './JayfallCallerPace'
import { refusalError } from './JayfallChatRequest'
import { refusalNow, type DataContext } from './JayfallDataContext'
import { settleDraft } from './JayfallDraftBill'
import { ATTEMPTS_METRIC, FIRST_TOKEN_METRIC, REFUSALS_METRIC, SESSION_HEADER, STREAM_HEADER, TOKEN_GAP_METRIC } from './JayfallEntryConstants'
import { type DecisionHandler } from './JayfallRequestBook'
import { refusalMessage } from './JayfallRefusalMessage'

/** What a model request needs besides its routing. */
export interface ModelWork {
  readonly request: RoutedRequest
  readonly version: VersionEntry
  /** The body for the engine. */
  readonly payload: string
  readonly model: string
  readonly billKey: string
  /** Whether the engine goes on when the caller's connection ends. */
  readonly isResumable: boolean
  /** The hop of the caller's request. */
  readonly hop: Hop
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
  readonly hop: Hop
  /** Headers of the caller's answer when it comes from this attempt. */
  answerHeaders: AnswerHeaders
  readonly stream: AttemptStream
}

/** Carries out the router's decisions about one model request. */
export class ModelAnswer implements DecisionHandler {
  private readonly attempts = new Map<number, Attempt>()
  private readonly cancelled = new Set<number>()
  /** The attempt whose events the caller receives. */
  private chosen: number | undefined
  private lastError: BackendError | undefined
  /** Whether an attempt may have reached a backend server. */
  private mayHaveRun = false
  private readonly queueHop: Hop
  /** Monotonic milliseconds. */
  private firstTokenAt = 0
  private callerHasLeft = false
  private deadlineTimer: NodeJS.Timeout

  constructor (private readonly context: DataContext, private readonly work: ModelWork, private readonly sink: AnswerSink) {
    this.queueHop = work.hop.startHop('queue')
    this.deadlineTimer = this.startDeadline()
  }

  dispatch (decision: Dispatch): void {
    this.queueHop.end()
    this.start(decision).catch((error: unknown) => this.failAttempt(decision.attempt, error))
  }

  cancel (attempt: number): void {
    this.cancelled.add(attempt)
    const found = this.attempts.get(attempt)
    found?.stream.cancel()
    found?.hop.end({ cancelled: true })
  }

  refuse (decision: Extract<RoutingDecision, { kind: 'refuse' }>): void {
    this.end(new ApiError(decision.code, refusalMessage(decision.code), { ran: this.ranState(), retryAfter: decision.retryAfter }, this.lastError))
  }

  /** Ends the answer because the instance stops; a streamed one can be resumed elsewhere. */
  interrupt (): void {
    for (const { stream } of this.attempts.values()) stream.stop()
    const message = 'the instance stops; ask another instance, with the stream token when the answer was streamed'
    this.abandonAtRouter()
    this.end(new ApiError('instance_stopping', message, { ran: this.ranState(), retryAfter: 0, ask: '/v1/streams/resume' }))
  }

  /** The caller's connection ended. */
  abandon (): void {
    if (this.sink.isEnded) return
    this.callerHasLeft = true
    // A resumable answer is read to its end, so that it is billed and its server's load is known.
    if (this.work.isResumable && this.chosen !== undefined) return
    this.cancelAll()
    this.abandonAtRouter()
  }

  private async start (decision: Dispatch): Promise<void> {
    const { request, version } = this.work
    const refusal = refusalNow(this.context, request.workspace, version.id)
    // A hedge that may not be sent must not end the attempt that runs.
    if (refusal !== undefined && decision.reason === 'hedge') throw new BackendError('unsent', `a hedge may not run: ${refusal}`)
    if (refusal !== undefined) {
      this.abandonAtRouter()
      return this.end(refusalError(refusal, version.id, this.ranState()))
    }
    const server = this.context.catalogue.get('server', decision.server)
    if (server === undefined) throw new BackendError('unsent', `${decision.server} is no longer in the catalogue`)
    const attempt = this.openAttempt(decision, server.address)
    // Sealing takes several turns of the thread pool; the engine works meanwhile.
    const sealed = this.sealTokens(decision, attempt.stream.target.streamId).then(tokens => {
      attempt.answerHeaders = { ...this.work.headers, ...tokens }
    })
    const headers = { 'x-priority': String(decision.priority), 'x-model-version': version.id }
    await attempt.stream.start({ headers, payload: this.work.payload }, sealed)
  }

  private openAttempt (decision: Dispatch, address: string): Attempt {
    const { request, version } = this.work
    const streamId = `${request.id}.${decision.attempt}`
    const hop = this.work.hop.startHop('attempt', { server: decision.server, attempt: decision.attempt, reason: decision.reason })
    const target = { requestId: request.id, workspace: request.workspace, version: version.id, server: decision.server, address, streamId, traceparent: hop.traceparent }
    const stream = new AttemptStream(this.context, target, 0, {
      onEvents: raw => this.passOn(decision.attempt, raw),
      onFinal: raw => { this.complete(decision.attempt, raw).catch((error: unknown) => this.failAttempt(decision.attempt, error)) },
      onFailure: error => this.failAttempt(decision.attempt, error)
    })
    const attempt = { decision, hop, answerHeaders: this.work.headers, stream }
    this.attempts.set(decision.attempt, attempt)
    return attempt
  }

  /** The tokens by which the caller goes on with the session, or with this answer, on any instance. */
  private async sealTokens (decision: Dispatch, streamId: string): Promise<AnswerHeaders> {
    const { request, version, model, billKey } = this.work
    const common = { workspace: request.workspace, version: version.id, server: decision.server, issuedAt: this.context.clock.wall() }
    const [session, stream] = await Promise.all([
      this.context.seal.seal({ kind: 'session', model, ...common }),
      this.context.seal.seal({ kind: 'stream', requestId: request.id, streamId, billKey, ...common })
    ])
    return { [SESSION_HEADER]: session, [STREAM_HEADER]: stream }
  }

  private passOn (number: number, raw: Buffer): void {
    if (!this.choose(number) || this.callerHasLeft) return
    const stream = this.attempts.get(number)?.stream
    if (!this.sink.events(raw, this.answerHeaders(number)) && stream !== undefined) waitForCaller(this.context, this.sink, stream)
  }

  /** Makes the first attempt that delivers the answer's; false for the others. */
  private choose (number: number): boolean {
    if (this.chosen === undefined && !this.cancelled.has(number)) {
      this.chosen = number
      clearTimeout(this.deadlineTimer)
      this.firstTokenAt = this.context.clock.monotonic()
      this.context.metrics.record(FIRST_TOKEN_METRIC, { class: this.work.request.workClass }, this.firstTokenAt - this.work.request.arrivedAt)
      this.context.book.observe({ kind: 'first-token', requestId: this.work.request.id, attempt: number })
    }
    return this.chosen === number && !this.cancelled.has(number)
  }

  private async complete (number: number, raw: Buffer): Promise<void> {
    if (!this.choose(number)) return
    const { request, version, judge } = this.work
    const usage = parseUsage(raw)
    this.attempts.get(number)?.hop.end({ outputTokens: usage.outputTokens })
    this.recordAnswer(usage.outputTokens)
    if (judge === undefined) this.context.ratings.offer(request.id, version.id)
    if (judge?.(usage, raw, () => this.deliver(number, raw)) === false) {
      this.context.book.observe({ kind: 'finished', requestId: request.id, attempt: number, outputTokens: usage.outputTokens })
      this.close()
      return
    }
    await this.deliver(number, raw)
  }

  /** Bills the answer and passes its end on. */
  private async deliver (number: number, raw: Buffer): Promise<void> {
    const { request, version, billKey, hop } = this.work
    const bill = await hop.measure('store bill', () => settleDraft(this.context, { workspace: request.workspace, version, billKey }, raw))
    this.context.book.observe({ kind: 'finished', requestId: request.id, attempt: number, outputTokens: bill.outputTokens })
    this.close()
    if (!this.callerHasLeft) this.sink.finish(raw, this.answerHeaders(number))
    this.context.log.info('request_finished', {
      request: request.id, trace: hop.traceId, workspace: bill.workspace, version: bill.source, server: this.attempts.get(number)?.decision.server, output_tokens: bill.outputTokens, amount: bill.amount
    })
  }

  private recordAnswer (outputTokens: number): void {
    this.context.metrics.count(ATTEMPTS_METRIC, { result: 'finished' })
    if (outputTokens < 2) return
    const gap = (this.context.clock.monotonic() - this.firstTokenAt) / (outputTokens - 1)
    this.context.metrics.record(TOKEN_GAP_METRIC, { class: this.work.request.workClass }, gap)
  }

  private restart (): void {
    if (this.chosen !== undefined) this.deadlineTimer = this.startDeadline()
    this.chosen = undefined
    this.sink.restart()
  }

  private failAttempt (number: number, error: unknown): void {
    if (this.cancelled.has(number) || this.sink.isEnded) return
    const failure = isBackendError(error) ? error : new BackendError('broken', 'the attempt failed', error)
    this.lastError = failure
    this.attempts.get(number)?.hop.end({}, failure.failure)
    this.context.metrics.count(ATTEMPTS_METRIC, { result: failure.failure })
    this.mayHaveRun = this.mayHaveRun || failure.failure !== 'unsent'
    if (this.chosen !== undefined && this.chosen !== number) return
    // A whole answer of which no byte has left can begin again on another server.
    const hasStarted = this.sink.hasStarted
    if (!hasStarted) this.restart()
    this.context.log.warn('attempt_failed', { request: this.work.request.id, trace: this.work.hop.traceId, attempt: number, failure: failure.failure, message: failure.message })
    // The answer's own error comes first, as the router answers the event with a refusal of its own.
    if (hasStarted) this.end(new ApiError('stream_incomplete', 'the answer broke off and could not be resumed', { ran: 'yes' }, failure))
    this.context.book.observe({ kind: 'failed', requestId: this.work.request.id, attempt: number, failure: failure.failure, retryable: !hasStarted })
  }

  private startDeadline (): NodeJS.Timeout {
    return setTimeout(() => this.passDeadline(), this.work.request.deadline - this.context.clock.monotonic())
  }

  private passDeadline (): void {
    if (this.sink.isEnded) return
    this.cancelAll()
    this.abandonAtRouter()
    this.end(new ApiError('deadline_passed', refusalMessage('deadline_passed'), { ran: this.ranState() }))
  }

  private end (error: ApiError): void {
    this.close()
    this.queueHop.end({}, error.code)
    this.sink.fail(error)
    this.context.metrics.count(REFUSALS_METRIC, { code: error.code })
    this.context.log.warn('request_refused', { request: this.work.request.id, trace: this.work.hop.traceId, workspace: this.work.request.workspace, code: error.code, ran: error.ran })
  }

  private close (): void {
    clearTimeout(this.deadlineTimer)
    this.context.book.close(this.work.request.id)
  }

  private cancelAll (): void {
    for (const number of this.attempts.keys()) this.cancel(number)
  }

  private abandonAtRouter (): void {
    this.context.book.observe({ kind: 'abandoned', requestId: this.work.request.id })
    this.close()
  }

  /** An attempt that was opened may have been sent, unless its failure says otherwise. */
  private ranState (): RanState {
    if (this.chosen !== undefined) return 'yes'
    const failedUnsent = this.lastError?.failure === 'unsent' && this.attempts.size <= 1
    return this.mayHaveRun || (this.attempts.size > 0 && !failedUnsent) ? 'unknown' : 'no'
  }

  private answerHeaders (number: number): AnswerHeaders {
    return this.attempts.get(number)?.answerHeaders ?? this.work.headers
  }
}
