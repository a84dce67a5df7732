/** Runs attempts: sends the request, reads the answer, and forwards events to the caller. */

import { invariant, messageOf } from '#jayfall/shared'

import { type AnswerHead } from './JayfallAnswerParser'
import { AttemptObservations } from './JayfallAttemptObservations'
import { type AttemptPlan, type AttemptResult, type PlanContext } from './JayfallAttemptPlan'
import { BackendExchange, ExchangeError } from './JayfallBackendExchange'
import { BodyReader, NO_ANSWER_YET } from './JayfallBodyReader'
import { waitFor, type WaitResult } from './JayfallBoundedWait'
import { type CallerAnswer, type BufferedAnswer } from './JayfallCallerAnswer'
import { ZoneOutageDetector } from './JayfallZoneOutageDetector'
import { type ForwardingWorkspace } from './JayfallForwardingCatalogue'
import { FIRST_EVENT_OVERHEAD_MILLISECONDS, MAXIMUM_ANSWER_BYTES, MINIMUM_PUBLISHED_PREFILL_IN_ZONE_MILLISECONDS, MINIMUM_PUBLISHED_PREFILL_MILLISECONDS } from './JayfallForwardingConstants'
import { type ForwardingContext } from './JayfallForwardingContext'
import { StreamRelay } from './JayfallStreamRelay'

/** The request as the caller sent it. */
export interface CallerRequest {
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  readonly workspace: ForwardingWorkspace | undefined
}

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([421])
/** Statuses that guarantee to callers that the request has not run. */
export const NOT_RUN_GUARANTEE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

export class AttemptRunner {
  /** The answer of the last attempt that a server ran, ready to be sent to the caller. */
  bufferedAnswer: BufferedAnswer | undefined
  /** Milliseconds from the attempt's start to its first event or whole answer. */
  timeToAnswer: number | undefined
  /** The limit on requests per second that the attempt's server named. */
  rateLimit: number | undefined
  /** Events of the attempt's stream, with those that the caller had already. */
  receivedEvents = 0
  /** The confidence that the attempt's answer had to reach. */
  minimumConfidence = 0
  /** Whether the attempt's server was found to have ended after its connection broke; undefined when it was not checked. */
  hasServerEnded: boolean | undefined
  /** Whether the running attempt ended because this instance lost its path to the servers. */
  private isPathLost = false
  private isPrefillRecorded = false
  /** Set for the running attempt when it may be continued at another server. */
  private zoneOutageDetector: ZoneOutageDetector | undefined
  /** Signals that end the waits of the running attempt. */
  private stopSignals: readonly AbortSignal[] = []
  private readonly observations: AttemptObservations

  constructor (
    private readonly context: ForwardingContext,
    private readonly plan: PlanContext,
    private readonly request: CallerRequest,
    private readonly answer: CallerAnswer
  ) {
    this.observations = new AttemptObservations(context, plan.service, plan.route.name)
  }

  async run (attempt: AttemptPlan): Promise<AttemptResult> {
    const { clock, directory, promptCache, versionPolicy, protocol } = this.context
    const { server, model } = attempt
    const startedAt = clock.monotonic()
    this.timeToAnswer = undefined
    this.rateLimit = undefined
    this.receivedEvents = 0
    this.hasServerEnded = undefined
    this.isPathLost = false
    directory.recordSent(server.id, attempt.selection.prefillTime)
    this.context.limits.recordSent(server.id)
    this.context.coldServers.recordSent(server.id)
    this.context.prefillTimes.recordSent(attempt.selection.prefillTime)
    this.publishHint(attempt)
    this.isPrefillRecorded = false
    if (model !== undefined) promptCache.recordSent(server.id, model, this.plan.fields.promptParts, startedAt)
    versionPolicy.recordRun(this.plan.service, this.plan.session, server.version, startedAt)
    const rawHeaders = protocol.encodeAttemptHeaders(this.request.rawHeaders, {
      requestId: this.request.requestId,
      patience: Math.max(1, Math.floor(attempt.deadline - startedAt)),
      server: server.id,
      workspace: this.request.workspace,
      model,
      lastEventId: attempt.resumeAfter ?? this.plan.fields.lastEventId,
      priority: this.context.workOrders.of(server.service).rank({ prefillTime: attempt.selection.prefillTime, operatorPriority: this.plan.priority, isResumed: attempt.resumeAfter !== undefined, isExcess: this.plan.isExcess }),
      bodyLength: this.request.body.length
    })
    this.zoneOutageDetector = this.plan.route.isRepeatable ? new ZoneOutageDetector(directory, clock, server.zone) : undefined
    const suspicion = new AbortController()
    const closePrompt = this.context.promptSuspicions.open(this.plan.identity, () => {
      if (this.receivedEvents === 0) suspicion.abort()
    })
    this.stopSignals = [this.answer.callerDisconnected, suspicion.signal, ...(this.zoneOutageDetector === undefined ? [] : [this.zoneOutageDetector.signal])]
    this.observations.begin(attempt, startedAt)
    const earlierAnswer = this.bufferedAnswer
    this.bufferedAnswer = undefined
    const result = await this.exchange(attempt, rawHeaders, startedAt)
    if (result.kind === 'unsent' || result.kind === 'not_run') this.bufferedAnswer = earlierAnswer
    closePrompt()
    this.zoneOutageDetector?.close()
    if (result.kind === 'broken' && !suspicion.signal.aborted) await this.checkForCrash(attempt)
    this.recordPrefillEnd(attempt, undefined)
    directory.recordEnd(server.id)
    this.recordResult(attempt, result)
    return result
  }

  private publishHint ({ server, selection }: AttemptPlan): void {
    const { workOrders, hints, loadSharing } = this.context
    const hint = { server: server.id, reading: selection.prefillTime, ...(selection.isInLane ? { isInLane: true } : {}) }
    // Where requests stay in their zone, only some instances choose among its servers.
    if (!workOrders.isPriorityFirst(server.service)) {
      if (selection.prefillTime >= MINIMUM_PUBLISHED_PREFILL_MILLISECONDS) hints.publish(hint)
    } else if (selection.prefillTime >= MINIMUM_PUBLISHED_PREFILL_IN_ZONE_MILLISECONDS) {
      hints.publish(hint, loadSharing.zonesChoosingFrom(server))
      if (selection.isInLane) loadSharing.recordLongPrompt(server.id, selection.prefillTime)
    }
  }

  private async exchange (attempt: AttemptPlan, rawHeaders: readonly string[], startedAt: number): Promise<AttemptResult> {
    let exchange: BackendExchange | undefined
    const headPromise = new Promise<AnswerHead>((resolve, reject) => {
      exchange = BackendExchange.open({ method: this.request.method, address: attempt.server.address, path: this.request.path, rawHeaders, body: this.request.body, pacer: this.context.pacer, onOpened: () => this.context.reachMonitor.recordOpened(attempt.server) }, resolve, reject)
    })
    try {
      const wait = await this.waitForHead(headPromise, attempt)
      if (wait.kind === 'held_up') return wait
      if (wait.kind !== 'value') return this.resultOfInterruptedWait(wait, attempt)
      invariant(exchange !== undefined, 'an answer has an exchange')
      return await this.readAnswer(attempt, exchange, wait.value, startedAt)
    } catch (error) {
      if (error instanceof ExchangeError && error.failure === 'unsent') return { kind: 'unsent', cause: error.message }
      return { kind: 'broken', cause: messageOf(error) }
    } finally {
      exchange?.destroy()
    }
  }

  private async readAnswer (attempt: AttemptPlan, exchange: BackendExchange, head: AnswerHead, startedAt: number): Promise<AttemptResult> {
    const { protocol, directory, clock, limits, coldServers, loadSharing } = this.context
    directory.recordReachable(attempt.server.id)
    coldServers.recordReached(attempt.server.id)
    this.zoneOutageDetector?.recordActivity()
    const { status } = head
    const fields = protocol.decodeAnswerHeaders(head.headers)
    this.rateLimit = fields.rateLimit
    // Only what the server itself answered to this request shows that its limit has ended.
    if (fields.rateLimit !== undefined || (fields.isSigned && fields.requestId === this.request.requestId)) limits.recordAnswer(attempt.server.id, fields.rateLimit, startedAt)
    if (fields.load !== undefined && (fields.server === undefined || fields.server === attempt.server.id)) loadSharing.record(attempt.server, fields.load)
    if (fields.coldTime !== undefined && (fields.server === undefined || fields.server === attempt.server.id)) coldServers.recordReport(attempt.server.id, attempt.server.service, fields.coldTime)
    // A refusal of another request says nothing about this one, which may be running.
    const isOfAnotherRequest = fields.requestId !== undefined && fields.requestId !== this.request.requestId
    if (!isOfAnotherRequest && (fields.isNotRun || NOT_RUN_STATUSES.has(status))) return { kind: 'not_run', status }
    if (fields.requestId !== this.request.requestId) return { kind: 'broken', cause: 'the answer belongs to another request' }
    if (fields.isEncoded) return { kind: 'broken', cause: 'the answer is encoded' }
    const isSuccess = status >= 200 && status < 300
    if (isSuccess && !fields.isSigned) return { kind: 'broken', cause: 'the answer has no signature' }
    if (isSuccess && fields.confidence !== undefined) {
      this.recordPrefillEnd(attempt, clock.monotonic() - startedAt)
      this.minimumConfidence = attempt.minimumConfidence()
      if (fields.confidence < this.minimumConfidence) {
        this.timeToAnswer = clock.monotonic() - startedAt
        return { kind: 'unsure', confidence: fields.confidence }
      }
    }
    return isSuccess && this.plan.route.isStream ? this.relayEvents(attempt, exchange, head, startedAt) : this.readCompleteAnswer(attempt, exchange, head, startedAt)
  }

  private async readCompleteAnswer (attempt: AttemptPlan, exchange: BackendExchange, head: AnswerHead, startedAt: number): Promise<AttemptResult> {
    const length = Number(head.headers['content-length'] ?? 0)
    if (length > MAXIMUM_ANSWER_BYTES && !exchange.isComplete) return { kind: 'broken', cause: `the answer has ${length} bytes` }
    const held = this.answer.releaseWhenSent(this.context.memory.open(attempt.server.id))
    const reader = new BodyReader({ bytes: MAXIMUM_ANSWER_BYTES, held })
    exchange.readBody(reader)
    const wait = await this.waitForAnswer(reader.result, attempt, { receivedBytes: () => reader.receivedBytes, isHeldUp: () => exchange.isHeldUp })
    if (wait.kind !== 'value') {
      held.release()
      return this.resultOfInterruptedWait(wait, attempt)
    }
    const body = wait.value
    if (body === 'no_memory') return { kind: 'broken', cause: `there is no memory for more than ${reader.receivedBytes} bytes of the answer` }
    if (body === 'too_large') return { kind: 'broken', cause: `the answer goes on after ${reader.receivedBytes} bytes` }
    if (body === 'broken') return { kind: 'broken', cause: 'the answer broke off' }
    // A stream that has begun cannot be replaced by another answer.
    if (this.answer.hasBegun) return { kind: 'broken', cause: `the stream could not be resumed: status ${head.status}` }
    this.timeToAnswer = this.context.clock.monotonic() - startedAt
    this.bufferedAnswer = { ...head, body, held }
    this.answer.serverVersion = attempt.server.version
    if (head.status < 300) this.context.promptSuspicions.recordBegun(this.plan.identity)
    return head.status >= 500 ? { kind: 'failed', status: head.status } : { kind: 'answered' }
  }

  private async relayEvents (attempt: AttemptPlan, exchange: BackendExchange, head: AnswerHead, startedAt: number): Promise<AttemptResult> {
    const { clock } = this.context
    this.answer.serverVersion = attempt.server.version
    const end = await new StreamRelay({
      exchange,
      head,
      answer: this.answer,
      clock,
      deadline: attempt.deadline,
      firstEventTimeout: attempt.answerTimeout,
      eventGapTimeout: attempt.eventGapTimeout,
      stopSignals: this.stopSignals,
      isResumable: this.plan.route.isRepeatable,
      isReplaceable: attempt.isReplaceable,
      onBytes: () => this.zoneOutageDetector?.recordActivity(),
      onEvents: count => {
        if (this.receivedEvents === 0) this.context.promptSuspicions.recordBegun(this.plan.identity)
        this.receivedEvents += count
        this.timeToAnswer ??= clock.monotonic() - startedAt
        this.recordPrefillEnd(attempt, this.timeToAnswer)
        this.observations.recordEvents(attempt, count)
      }
    }).run()
    if (end.kind === 'stopped') return this.resultOfStop()
    if (end.kind !== 'ended') return end
    // A stream without a stated end of its body ends with its connection, after an event. One that was broken off ends inside an event.
    if (!end.isWhole || (!head.isSelfDelimited && this.receivedEvents === 0)) return { kind: 'broken', cause: 'the stream broke off' }
    this.answer.beginStream(head)
    this.answer.endStream()
    return { kind: 'answered' }
  }

  /**
   * Finds out why a connection broke. If the server has ended before the answer began, the request may be the cause; if
   * no server can be reached, this instance has lost its path.
   */
  private async checkForCrash ({ server }: AttemptPlan): Promise<void> {
    const { promptSuspicions, connectionCheck, reachMonitor, directory, clock } = this.context
    if (this.zoneOutageDetector?.signal.aborted === true) return
    if (await connectionCheck.tryConnection(server.address) === 'refused') this.isPathLost = await reachMonitor.isCutOff(server)
    else this.hasServerEnded = false
    if (this.isPathLost || this.hasServerEnded === false) return
    this.hasServerEnded = true
    if (this.receivedEvents > 0 || this.answer.lastEventId !== undefined) return
    directory.recordUnreachable(server.id, clock.monotonic())
    promptSuspicions.recordCrash(this.plan.identity, server.id)
  }

  /** Waits for the head of the answer, also until the server is held up while another one would answer in time. */
  private async waitForHead (head: Promise<AnswerHead>, attempt: AttemptPlan): Promise<WaitResult<AnswerHead> | { readonly kind: 'held_up' }> {
    let waited = 0
    for (const duration of attempt.moveCheckWaits) {
      const wait = await waitFor(head, duration, this.stopSignals)
      if (wait.kind !== 'timeout') return wait
      if (attempt.isWorthMoving()) return { kind: 'held_up' }
      waited += duration
    }
    return this.waitForAnswer(head, attempt, NO_ANSWER_YET, waited)
  }

  /** Waits for a part of the answer until the attempt's deadline, or until the answer makes no progress and another server can be tried. */
  private async waitForAnswer<Value> (promise: Promise<Value>, attempt: AttemptPlan, progress = NO_ANSWER_YET, waited = 0): Promise<WaitResult<Value>> {
    // The promise may be rejected after the wait has ended.
    promise.catch(() => {})
    for (let [known, earlier] = [progress.receivedBytes(), waited]; ; known = progress.receivedBytes(), earlier = 0) {
      const wait = await waitFor(promise, Math.min(attempt.answerTimeout - earlier, attempt.deadline - this.context.clock.monotonic()), this.stopSignals)
      if (wait.kind !== 'timeout' || this.isExpired(attempt)) return wait
      if ((progress.receivedBytes() === known || progress.isHeldUp()) && attempt.isReplaceable()) return wait
    }
  }

  private resultOfInterruptedWait (wait: WaitResult<unknown>, attempt: AttemptPlan): AttemptResult {
    if (wait.kind === 'stopped') return this.resultOfStop()
    return this.isExpired(attempt) ? { kind: 'expired' } : { kind: 'silent' }
  }

  private resultOfStop (): AttemptResult {
    if (this.answer.callerDisconnected.aborted) return { kind: 'caller_left' }
    return { kind: 'broken', cause: this.zoneOutageDetector?.signal.aborted === true ? 'the zone of the server is out of reach' : 'prompts like this one crash servers' }
  }

  private isExpired ({ deadline }: AttemptPlan): boolean {
    return this.context.clock.monotonic() >= deadline - 1
  }

  /** Records that the prompt was processed; `timeToFirstEvent` is undefined when the attempt ended before. */
  private recordPrefillEnd ({ server, model, selection }: AttemptPlan, timeToFirstEvent: number | undefined): void {
    if (this.isPrefillRecorded || model === undefined) return
    this.isPrefillRecorded = true
    const { directory, prefillTimes, clock } = this.context
    directory.recordPrefillEnd(server.id, selection.prefillTime)
    if (timeToFirstEvent === undefined) return
    const queueTime = Math.max(0, timeToFirstEvent - FIRST_EVENT_OVERHEAD_MILLISECONDS - selection.prefillTime)
    directory.recordFirstEventDelay(server.id, queueTime, clock.monotonic())
    if (selection.peerPrefillTime > queueTime) directory.reducePeerPrefill(server.id, selection.peerPrefillTime - queueTime)
    prefillTimes.recordFirstEvent({ model, uncachedTokens: selection.uncachedTokens, timeToFirstEvent }, clock.monotonic())
  }

  /** Records what the result shows about the server and its version. */
  private recordResult (attempt: AttemptPlan, result: AttemptResult): void {
    const { directory, clock } = this.context
    switch (result.kind) {
      case 'failed':
        return this.observations.recordErrorAnswer(attempt)
      case 'unsent':
        this.context.reachMonitor.recordUnopened(attempt.server)
        this.context.coldServers.recordUnreached(attempt.server.id, attempt.server.service)
        return directory.recordUnreachable(attempt.server.id, clock.monotonic())
      case 'broken':
      case 'silent':
        // The failure of an attempt that lost its path, or in an unreachable zone, is not attributed to the server.
        if (!this.isPathLost && !this.context.reach.isCut(attempt.server.service) && this.zoneOutageDetector?.signal.aborted !== true) this.observations.recordFailure(attempt)
        return
      case 'held_up':
        return this.observations.recordMove(attempt)
      case 'answered':
      case 'unsure':
        this.observations.recordSuccess(attempt)
    }
  }

  /** Counts what the attempts show once the request has ended. */
  finishObservations (): void {
    this.observations.finish()
  }
}
