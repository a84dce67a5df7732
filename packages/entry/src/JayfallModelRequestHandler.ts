/**
 * Handles one model request from its routing to the last byte of its response.
 *
 * The router decides which attempts run. The first attempt that delivers an event provides the response; the router
 * cancels the others.
 */

import { type VersionEntry } from '#jayfall/catalogue'
import { type RoutedRequest, type RoutingDecision } from '#jayfall/routing'
import { type Hop } from '#jayfall/telemetry'

import { parseUsage, type ResponseHeaders, type ResponseWriter, type TokenUsage } from './JayfallResponseWriter'
import { ApiError, type ExecutionState } from './JayfallApiError'
import { AttemptStream } from './JayfallAttemptStream'
import { BackendError, isBackendError } from './JayfallBackendError'
import { applyBackpressure } from './JayfallBackpressure'
import { createRefusalError } from './JayfallChatRequest'
import { findCurrentRefusal, type DataContext } from './JayfallDataContext'
import { billResponse } from './JayfallResponseBilling'
import { ATTEMPTS_METRIC, FIRST_TOKEN_METRIC, REFUSALS_METRIC, SESSION_HEADER, STREAM_HEADER, TOKEN_GAP_METRIC } from './JayfallEntryConstants'
import { type RoutingDecisionHandler } from './JayfallRequestDispatcher'
import { refusalMessage } from './JayfallRefusalMessage'

/** A model request: its properties for the router, and what is needed to send, bill and trace it. */
export interface ModelWork {
  readonly request: RoutedRequest
  readonly version: VersionEntry
  /** The JSON body that is sent to the engine. */
  readonly payload: string
  /** The model that the caller asked for, as recorded in the session token. */
  readonly model: string
  /** The workspace, and the idempotency key or the identifier of the request. */
  readonly billKey: string
  /** Whether the engine continues when the caller's connection ends. */
  readonly isResumable: boolean
  /** The span of the caller's request. */
  readonly hop: Hop
  /** Headers of the response, without the session and stream tokens. */
  readonly headers: ResponseHeaders
  /**
   * Decides whether the complete response is delivered. When the result is false, the response is neither billed nor
   * written to the caller, unless `deliver` is called later.
   */
  readonly mayDeliver?: (usage: TokenUsage, raw: Buffer, deliver: () => Promise<void>) => boolean
}

type DispatchDecision = Extract<RoutingDecision, { kind: 'dispatch' }>

/** A running attempt. */
interface Attempt {
  readonly decision: DispatchDecision
  readonly hop: Hop
  /** Headers of the response to the caller if this attempt provides it. */
  responseHeaders: ResponseHeaders
  readonly stream: AttemptStream
}

/** Executes the router's decisions about one model request. */
export class ModelRequestHandler implements RoutingDecisionHandler {
  private readonly attempts = new Map<number, Attempt>()
  private readonly cancelledAttempts = new Set<number>()
  /** Number of the attempt whose events the caller receives. */
  private respondingAttempt: number | undefined
  private lastError: BackendError | undefined
  /** Whether an attempt may have reached a backend server. */
  private mayHaveRun = false
  /** Covers the time until the first attempt is dispatched. */
  private readonly queueHop: Hop
  /** Monotonic milliseconds of the first event of the responding attempt. */
  private firstTokenAt = 0
  private hasCallerLeft = false
  private deadlineTimer: NodeJS.Timeout

  constructor (private readonly context: DataContext, private readonly work: ModelWork, private readonly responseWriter: ResponseWriter) {
    this.queueHop = work.hop.startHop('queue')
    this.deadlineTimer = this.startDeadlineTimer()
  }

  dispatch (decision: DispatchDecision): void {
    this.queueHop.end()
    this.startAttempt(decision).catch((error: unknown) => this.failAttempt(decision.attempt, error))
  }

  cancel (attempt: number): void {
    this.cancelledAttempts.add(attempt)
    const found = this.attempts.get(attempt)
    found?.stream.cancel()
    found?.hop.end({ cancelled: true })
  }

  refuse (decision: Extract<RoutingDecision, { kind: 'refuse' }>): void {
    this.endWithError(new ApiError(decision.code, refusalMessage(decision.code), { ran: this.executionState(), retryAfter: decision.retryAfter }, this.lastError))
  }

  /** Ends the response because the instance stops; a streamed response can be resumed on another instance. */
  interrupt (): void {
    for (const { stream } of this.attempts.values()) stream.stop()
    const message = 'the instance stops; ask another instance, with the stream token when the answer was streamed'
    this.abandonAtRouter()
    this.endWithError(new ApiError('instance_stopping', message, { ran: this.executionState(), retryAfter: 0, ask: '/v1/streams/resume' }))
  }

  /** Cancels the request because the caller's connection has ended. */
  abandon (): void {
    if (this.responseWriter.isEnded) return
    this.hasCallerLeft = true
    // A resumable response is read to its end, so that it is billed and the load of its server is known.
    if (this.work.isResumable && this.respondingAttempt !== undefined) return
    this.cancelAll()
    this.abandonAtRouter()
  }

  private async startAttempt (decision: DispatchDecision): Promise<void> {
    const { request, version } = this.work
    const refusal = findCurrentRefusal(this.context, request.workspace, version.id)
    // A hedge that may not be sent must not end the attempt that is already running.
    if (refusal !== undefined && decision.reason === 'hedge') throw new BackendError('unsent', `a hedge may not run: ${refusal}`)
    if (refusal !== undefined) {
      this.abandonAtRouter()
      return this.endWithError(createRefusalError(refusal, version.id, this.executionState()))
    }
    const server = this.context.catalogue.get('server', decision.server)
    if (server === undefined) throw new BackendError('unsent', `${decision.server} is no longer in the catalogue`)
    const attempt = this.openAttempt(decision, server.address)
    // Sealing the tokens takes several turns of the thread pool, so the request is sent at the same time.
    const tokensReady = this.sealTokens(decision, attempt.stream.target.streamId).then(tokens => {
      attempt.responseHeaders = { ...this.work.headers, ...tokens }
    })
    const headers = { 'x-priority': String(decision.priority), 'x-model-version': version.id }
    await attempt.stream.start({ headers, payload: this.work.payload }, tokensReady)
  }

  private openAttempt (decision: DispatchDecision, address: string): Attempt {
    const { request, version } = this.work
    const streamId = `${request.id}.${decision.attempt}`
    const hop = this.work.hop.startHop('attempt', { server: decision.server, attempt: decision.attempt, reason: decision.reason })
    const target = { requestId: request.id, workspace: request.workspace, version: version.id, server: decision.server, address, streamId, traceparent: hop.traceparent }
    const stream = new AttemptStream(this.context, target, 0, {
      onEvents: raw => this.forwardEvents(decision.attempt, raw),
      onFinal: raw => { this.completeAttempt(decision.attempt, raw).catch((error: unknown) => this.failAttempt(decision.attempt, error)) },
      onFailure: error => this.failAttempt(decision.attempt, error)
    })
    const attempt = { decision, hop, responseHeaders: this.work.headers, stream }
    this.attempts.set(decision.attempt, attempt)
    return attempt
  }

  /** Creates the headers with the tokens by which the caller can continue the session, or resume this response, on any instance. */
  private async sealTokens (decision: DispatchDecision, streamId: string): Promise<ResponseHeaders> {
    const { request, version, model, billKey } = this.work
    const sharedFields = { workspace: request.workspace, version: version.id, server: decision.server, issuedAt: this.context.clock.wall() }
    const [session, stream] = await Promise.all([
      this.context.tokenSealer.seal({ kind: 'session', model, ...sharedFields }),
      this.context.tokenSealer.seal({ kind: 'stream', requestId: request.id, streamId, billKey, ...sharedFields })
    ])
    return { [SESSION_HEADER]: session, [STREAM_HEADER]: stream }
  }

  private forwardEvents (attemptNumber: number, raw: Buffer): void {
    if (!this.selectAttempt(attemptNumber) || this.hasCallerLeft) return
    const stream = this.attempts.get(attemptNumber)?.stream
    if (!this.responseWriter.writeEvents(raw, this.responseHeadersOf(attemptNumber)) && stream !== undefined) applyBackpressure(this.context, this.responseWriter, stream)
  }

  /** Selects the first attempt that delivers an event as the responding attempt; returns false for all other attempts. */
  private selectAttempt (attemptNumber: number): boolean {
    if (this.respondingAttempt === undefined && !this.cancelledAttempts.has(attemptNumber)) {
      this.respondingAttempt = attemptNumber
      clearTimeout(this.deadlineTimer)
      this.firstTokenAt = this.context.clock.monotonic()
      this.context.metrics.record(FIRST_TOKEN_METRIC, { class: this.work.request.workClass }, this.firstTokenAt - this.work.request.arrivedAt)
      this.context.requests.observe({ kind: 'first-token', requestId: this.work.request.id, attempt: attemptNumber })
    }
    return this.respondingAttempt === attemptNumber && !this.cancelledAttempts.has(attemptNumber)
  }

  private async completeAttempt (attemptNumber: number, raw: Buffer): Promise<void> {
    if (!this.selectAttempt(attemptNumber)) return
    const { request, version, mayDeliver } = this.work
    const usage = parseUsage(raw)
    this.attempts.get(attemptNumber)?.hop.end({ outputTokens: usage.outputTokens })
    this.recordResponseMetrics(usage.outputTokens)
    if (mayDeliver === undefined) this.context.ratings.offer(request.id, version.id)
    if (mayDeliver?.(usage, raw, () => this.deliver(attemptNumber, raw)) === false) {
      this.context.requests.observe({ kind: 'finished', requestId: request.id, attempt: attemptNumber, outputTokens: usage.outputTokens })
      this.closeRequest()
      return
    }
    await this.deliver(attemptNumber, raw)
  }

  /** Bills the response and writes its final events to the caller. */
  private async deliver (attemptNumber: number, raw: Buffer): Promise<void> {
    const { request, version, billKey, hop } = this.work
    const bill = await hop.measure('store bill', () => billResponse(this.context, { workspace: request.workspace, version, billKey }, raw))
    this.context.requests.observe({ kind: 'finished', requestId: request.id, attempt: attemptNumber, outputTokens: bill.outputTokens })
    this.closeRequest()
    if (!this.hasCallerLeft) this.responseWriter.finish(raw, this.responseHeadersOf(attemptNumber))
    this.context.log.info('request_finished', {
      request: request.id, trace: hop.traceId, workspace: bill.workspace, version: bill.source, server: this.attempts.get(attemptNumber)?.decision.server, output_tokens: bill.outputTokens, amount: bill.amount
    })
  }

  private recordResponseMetrics (outputTokens: number): void {
    this.context.metrics.count(ATTEMPTS_METRIC, { result: 'finished' })
    if (outputTokens < 2) return
    const gap = (this.context.clock.monotonic() - this.firstTokenAt) / (outputTokens - 1)
    this.context.metrics.record(TOKEN_GAP_METRIC, { class: this.work.request.workClass }, gap)
  }

  /** Lets another attempt provide the response from its first event. */
  private prepareRestart (): void {
    if (this.respondingAttempt !== undefined) this.deadlineTimer = this.startDeadlineTimer()
    this.respondingAttempt = undefined
    this.responseWriter.discardEvents()
  }

  private failAttempt (attemptNumber: number, error: unknown): void {
    if (this.cancelledAttempts.has(attemptNumber) || this.responseWriter.isEnded) return
    const failure = isBackendError(error) ? error : new BackendError('broken', 'the attempt failed', error)
    this.lastError = failure
    this.attempts.get(attemptNumber)?.hop.end({}, failure.failure)
    this.context.metrics.count(ATTEMPTS_METRIC, { result: failure.failure })
    this.mayHaveRun = this.mayHaveRun || failure.failure !== 'unsent'
    if (this.respondingAttempt !== undefined && this.respondingAttempt !== attemptNumber) return
    // A response of which no byte has been sent can be started again on another server.
    const hasStarted = this.responseWriter.hasStarted
    if (!hasStarted) this.prepareRestart()
    this.context.log.warn('attempt_failed', { request: this.work.request.id, trace: this.work.hop.traceId, attempt: attemptNumber, failure: failure.failure, message: failure.message })
    // This error must be written first, because the router reacts to the event below with a refusal.
    if (hasStarted) this.endWithError(new ApiError('stream_incomplete', 'the answer broke off and could not be resumed', { ran: 'yes' }, failure))
    this.context.requests.observe({ kind: 'failed', requestId: this.work.request.id, attempt: attemptNumber, failure: failure.failure, retryable: !hasStarted })
  }

  private startDeadlineTimer (): NodeJS.Timeout {
    return setTimeout(() => this.handleDeadline(), this.work.request.deadline - this.context.clock.monotonic())
  }

  private handleDeadline (): void {
    if (this.responseWriter.isEnded) return
    this.cancelAll()
    this.abandonAtRouter()
    this.endWithError(new ApiError('deadline_passed', refusalMessage('deadline_passed'), { ran: this.executionState() }))
  }

  private endWithError (error: ApiError): void {
    this.closeRequest()
    this.queueHop.end({}, error.code)
    this.responseWriter.fail(error)
    this.context.metrics.count(REFUSALS_METRIC, { code: error.code })
    this.context.log.warn('request_refused', { request: this.work.request.id, trace: this.work.hop.traceId, workspace: this.work.request.workspace, code: error.code, ran: error.ran })
  }

  private closeRequest (): void {
    clearTimeout(this.deadlineTimer)
    this.context.requests.close(this.work.request.id)
  }

  private cancelAll (): void {
    for (const attemptNumber of this.attempts.keys()) this.cancel(attemptNumber)
  }

  private abandonAtRouter (): void {
    this.context.requests.observe({ kind: 'abandoned', requestId: this.work.request.id })
    this.closeRequest()
  }

  /** Whether the work was executed. An open attempt may have been sent, unless its failure proves that it was not. */
  private executionState (): ExecutionState {
    if (this.respondingAttempt !== undefined) return 'yes'
    const failedUnsent = this.lastError?.failure === 'unsent' && this.attempts.size <= 1
    return this.mayHaveRun || (this.attempts.size > 0 && !failedUnsent) ? 'unknown' : 'no'
  }

  private responseHeadersOf (attemptNumber: number): ResponseHeaders {
    return this.attempts.get(attemptNumber)?.responseHeaders ?? this.work.headers
  }
}
