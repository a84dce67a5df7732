/**
 * One request that goes through the steps of a cascade.
 *
 * An answer that may still be replaced is held back until it is whole and judged. Each step is a
 * model request of its own, so that its dispatch asks again whether the version may be used.
 * Only the delivered answer is billed.
 */

import { type ServerResponse } from 'node:http'

import { type CascadeEntry, type VersionEntry } from '#jayfall/catalogue'
import { answerSignal, requestKind, type AnswerSignal } from '#jayfall/rollout'

import { AnswerSink, finishReason, type AnswerHeaders, type Usage } from './JayfallAnswerSink'
import { ApiError } from './JayfallApiError'
import { type CascadeRoute } from './JayfallCascadeBook'
import { refusalNow, type DataContext } from './JayfallDataContext'
import { ModelAnswer, type ModelWork } from './JayfallModelAnswer'

const NO_STEP_RETRY_MILLISECONDS = 1000

/** Holds an answer back. */
class HeldAnswerSink extends AnswerSink {
  private hasFailed = false
  private readonly held: { readonly raw: Buffer, readonly headers: AnswerHeaders }[] = []

  constructor (response: ServerResponse, requestId: string, private readonly target: AnswerSink, private readonly onFail: (error: ApiError) => void) {
    super(response, requestId)
  }

  override events (raw: Buffer, headers: AnswerHeaders): boolean {
    this.held.push({ raw, headers })
    return true
  }

  override restart (): void {
    this.held.length = 0
  }

  override get isEnded (): boolean {
    return this.hasFailed || super.isEnded
  }

  override fail (error: ApiError): void {
    if (this.isEnded) return
    this.hasFailed = true
    this.onFail(error)
  }

  protected override writeFinal (raw: Buffer, headers: AnswerHeaders): void {
    for (const event of this.held) this.target.events(event.raw, event.headers)
    this.target.finish(raw, headers)
  }
}

/** What the steps have in common. */
export interface CascadeRequest {
  readonly cascade: CascadeEntry
  readonly workspace: string
  readonly requestId: string
  readonly promptTokens: number
  readonly messages: number
  readonly sink: AnswerSink
  readonly response: ServerResponse
  /** Work for one step. */
  createWork (version: VersionEntry): ModelWork
}

/** Drives the steps of one request. */
export class CascadeAnswer {
  private readonly startedAt: number
  private readonly deadline: number
  private readonly kind: string
  private readonly route: CascadeRoute
  private current: ModelAnswer | undefined
  /** Delivers the last answer that was not good enough. */
  private deliverHeld: (() => Promise<void>) | undefined
  private spent = 0

  constructor (private readonly context: DataContext, private readonly request: CascadeRequest) {
    const { cascade, workspace, promptTokens, messages } = request
    this.startedAt = context.clock.monotonic()
    this.deadline = this.startedAt + Math.min(cascade.deadline, context.requestDeadline)
    const workClass = context.catalogue.get('version', cascade.steps[0])?.class ?? 'standard'
    this.kind = requestKind({ workspace, workClass, promptTokens, messages })
    this.route = context.cascades.route(cascade, this.kind)
  }

  start (): void {
    this.startStep(this.usableStep(this.route.firstStep) ?? this.usableStep(0) ?? 0)
  }

  /** The caller went away. */
  abandon (): void {
    this.current?.abandon()
  }

  /** The first step from `from` on that the workspace may use now. */
  private usableStep (from: number): number | undefined {
    const { cascade, workspace } = this.request
    const offset = cascade.steps.slice(from).findIndex(id => refusalNow(this.context, workspace, id) === undefined)
    return offset === -1 ? undefined : from + offset
  }

  private startStep (step: number): void {
    const { cascade, requestId, response, sink } = this.request
    const version = this.context.catalogue.get('version', cascade.steps[step])
    if (version === undefined) return this.fallBack(new ApiError('no_server', `no step of ${cascade.id} may run now`, { retryAfter: NO_STEP_RETRY_MILLISECONDS }))
    const work = this.request.createWork(version)
    const stepStartedAt = this.context.clock.monotonic()
    const mayBeReplaced = step < cascade.steps.length - 1
    const stepSink = new HeldAnswerSink(response, requestId, sink, error => this.fallBack(error))
    // The last step's answer is delivered whatever it is, so it need not be held back, unless an earlier answer can stand in for it.
    const isFinal = !mayBeReplaced && this.deliverHeld === undefined
    const answer = new ModelAnswer(this.context, {
      ...work,
      request: { ...work.request, id: `${requestId}-${step}`, deadline: this.deadline },
      judge: (usage, raw, deliver) => this.judge(step, this.context.clock.monotonic() - stepStartedAt, usage, raw, deliver)
    }, isFinal ? sink : stepSink)
    this.current = answer
    this.context.book.open({ ...work.request, id: `${requestId}-${step}`, deadline: this.deadline }, answer)
  }

  /** Whether the step's answer is delivered; otherwise the next step has been started. */
  private judge (step: number, duration: number, usage: Usage, raw: Buffer, deliver: () => Promise<void>): boolean {
    const { cascade } = this.request
    const signal = answerSignal({ finishReason: finishReason(raw), outputTokens: usage.outputTokens })
    this.context.cascades.addAnswer(cascade, { kind: this.kind, step, signal, duration, ...usage })
    this.offer(step, signal)
    if (this.route.isGoodEnough(step, signal)) return true
    const next = this.usableStep(step + 1)
    this.spent += this.context.cascades.costOf(cascade, this.kind, step)
    const timeLeft = this.deadline - this.context.clock.monotonic()
    if (next === undefined || !this.context.cascades.mayEscalate(cascade, this.kind, next, timeLeft, this.spent)) return true
    this.context.log.info('request_escalated', { request: this.request.requestId, cascade: cascade.id, from: step, to: next, signal })
    this.deliverHeld = deliver
    this.startStep(next)
    return false
  }

  private offer (step: number, signal: AnswerSignal): void {
    const { cascade, requestId } = this.request
    const place = { cascade: cascade.id, step, signal, kind: this.kind }
    this.context.ratings.offer(requestId, cascade.steps[step], this.context.cascades.offerBoost(cascade, this.kind, step, signal), place)
  }

  /** A step failed: the answer before it is delivered, or the failure. */
  private fallBack (error: ApiError): void {
    const { deliverHeld } = this
    this.deliverHeld = undefined
    if (deliverHeld !== undefined) {
      deliverHeld().catch((cause: Error) => this.context.log.error('held_answer_not_delivered', { request: this.request.requestId, message: cause.message }))
    } else {
      this.request.sink.fail(error)
    }
  }
}
