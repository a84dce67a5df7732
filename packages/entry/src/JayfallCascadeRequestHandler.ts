/**
 * Handles one request to a cascade: a sequence of versions (steps) that are tried until a response is acceptable.
 *
 * The response of a step is buffered until it is complete and assessed, because the response of a later step may
 * replace it. Each step is a separate model request, so that its dispatch checks again whether the version may be used.
 * Only the delivered response is billed.
 */

import { type ServerResponse } from 'node:http'

import { type CascadeEntry, type VersionEntry } from '#jayfall/catalogue'
import { answerSignal, requestKind, type AnswerSignal } from '#jayfall/rollout'

import { ResponseWriter, parseFinishReason, type ResponseHeaders, type TokenUsage } from './JayfallResponseWriter'
import { ApiError } from './JayfallApiError'
import { type CascadeRoute } from './JayfallCascadePlanner'
import { findCurrentRefusal, type DataContext } from './JayfallDataContext'
import { ModelRequestHandler, type ModelWork } from './JayfallModelRequestHandler'

/** Delay that the caller is asked to wait when no step may run. */
const NO_STEP_RETRY_MILLISECONDS = 1000

/** Buffers a response, and writes it to `destination` when it is finished. */
class BufferedResponseWriter extends ResponseWriter {
  private hasFailed = false
  private readonly bufferedEvents: { readonly raw: Buffer, readonly headers: ResponseHeaders }[] = []

  constructor (response: ServerResponse, requestId: string, private readonly destination: ResponseWriter, private readonly onFailure: (error: ApiError) => void) {
    super(response, requestId)
  }

  override writeEvents (raw: Buffer, headers: ResponseHeaders): boolean {
    this.bufferedEvents.push({ raw, headers })
    return true
  }

  override discardEvents (): void {
    this.bufferedEvents.length = 0
  }

  override get isEnded (): boolean {
    return this.hasFailed || super.isEnded
  }

  override fail (error: ApiError): void {
    if (this.isEnded) return
    this.hasFailed = true
    this.onFailure(error)
  }

  protected override writeFinal (raw: Buffer, headers: ResponseHeaders): void {
    for (const event of this.bufferedEvents) this.destination.writeEvents(event.raw, event.headers)
    this.destination.finish(raw, headers)
  }
}

/** The properties of a request that all its steps share. */
export interface CascadeRequest {
  readonly cascade: CascadeEntry
  readonly workspace: string
  readonly requestId: string
  readonly promptTokens: number
  readonly messages: number
  readonly responseWriter: ResponseWriter
  readonly response: ServerResponse
  /** Creates the model request of one step. */
  createWork (version: VersionEntry): ModelWork
}

/** Runs the steps of one request. */
export class CascadeRequestHandler {
  private readonly startedAt: number
  private readonly deadline: number
  /** Category of requests for which quality is estimated separately; see `requestKind`. */
  private readonly kind: string
  private readonly route: CascadeRoute
  private currentHandler: ModelRequestHandler | undefined
  /** Delivers the buffered response of the previous step, which was not acceptable but replaces the response of a failed step. */
  private deliverPrevious: (() => Promise<void>) | undefined
  /** Expected cost of the steps that have run. */
  private spentCost = 0

  constructor (private readonly context: DataContext, private readonly request: CascadeRequest) {
    const { cascade, workspace, promptTokens, messages } = request
    this.startedAt = context.clock.monotonic()
    this.deadline = this.startedAt + Math.min(cascade.deadline, context.requestDeadline)
    const workClass = context.catalogue.get('version', cascade.steps[0])?.class ?? 'standard'
    this.kind = requestKind({ workspace, workClass, promptTokens, messages })
    this.route = context.cascades.planRoute(cascade, this.kind)
  }

  start (): void {
    this.startStep(this.findUsableStep(this.route.firstStep) ?? this.findUsableStep(0) ?? 0)
  }

  /** Cancels the request because the caller's connection has ended. */
  abandon (): void {
    this.currentHandler?.abandon()
  }

  /** Finds the first step at or after `from` that the workspace may use now. */
  private findUsableStep (from: number): number | undefined {
    const { cascade, workspace } = this.request
    const offset = cascade.steps.slice(from).findIndex(id => findCurrentRefusal(this.context, workspace, id) === undefined)
    return offset === -1 ? undefined : from + offset
  }

  private startStep (step: number): void {
    const { cascade, requestId, response, responseWriter } = this.request
    const version = this.context.catalogue.get('version', cascade.steps[step])
    if (version === undefined) return this.fallBack(new ApiError('no_server', `no step of ${cascade.id} may run now`, { retryAfter: NO_STEP_RETRY_MILLISECONDS }))
    const work = this.request.createWork(version)
    const stepStartedAt = this.context.clock.monotonic()
    const mayBeReplaced = step < cascade.steps.length - 1
    const bufferedWriter = new BufferedResponseWriter(response, requestId, responseWriter, error => this.fallBack(error))
    // The response of the last step is always delivered, so it is buffered only when an earlier response can replace it after a failure.
    const isFinal = !mayBeReplaced && this.deliverPrevious === undefined
    const handler = new ModelRequestHandler(this.context, {
      ...work,
      request: { ...work.request, id: `${requestId}-${step}`, deadline: this.deadline },
      mayDeliver: (usage, raw, deliver) => this.acceptOrEscalate(step, this.context.clock.monotonic() - stepStartedAt, usage, raw, deliver)
    }, isFinal ? responseWriter : bufferedWriter)
    this.currentHandler = handler
    this.context.requests.submit({ ...work.request, id: `${requestId}-${step}`, deadline: this.deadline }, handler)
  }

  /** Returns true when the response of the step is to be delivered; otherwise it has started the next step. */
  private acceptOrEscalate (step: number, duration: number, usage: TokenUsage, raw: Buffer, deliver: () => Promise<void>): boolean {
    const { cascade } = this.request
    const signal = answerSignal({ finishReason: parseFinishReason(raw), outputTokens: usage.outputTokens })
    this.context.cascades.recordResponse(cascade, { kind: this.kind, step, signal, duration, ...usage })
    this.offerForRating(step, signal)
    if (this.route.isAcceptable(step, signal)) return true
    const next = this.findUsableStep(step + 1)
    this.spentCost += this.context.cascades.expectedCost(cascade, this.kind, step)
    const timeLeft = this.deadline - this.context.clock.monotonic()
    if (next === undefined || !this.context.cascades.mayEscalate(cascade, this.kind, next, timeLeft, this.spentCost)) return true
    this.context.log.info('request_escalated', { request: this.request.requestId, cascade: cascade.id, from: step, to: next, signal })
    this.deliverPrevious = deliver
    this.startStep(next)
    return false
  }

  private offerForRating (step: number, signal: AnswerSignal): void {
    const { cascade, requestId } = this.request
    const place = { cascade: cascade.id, step, signal, kind: this.kind }
    this.context.ratings.offer(requestId, cascade.steps[step], this.context.cascades.offerBoost(cascade, this.kind, step, signal), place)
  }

  /** Handles the failure of a step: delivers the response of the previous step if there is one, and reports the failure otherwise. */
  private fallBack (error: ApiError): void {
    const { deliverPrevious } = this
    this.deliverPrevious = undefined
    if (deliverPrevious !== undefined) {
      deliverPrevious().catch((cause: Error) => this.context.log.error('held_answer_not_delivered', { request: this.request.requestId, message: cause.message }))
    } else {
      this.request.responseWriter.fail(error)
    }
  }
}
