/** Carries out attempts: sends the request, reads the answer, and passes events on to the caller. */

import { type IncomingMessage } from 'node:http'

import { messageOf } from '#jayfall/shared'

import { type AttemptPlan, type AttemptResult, type PlanContext } from './JayfallAttemptPlan'
import { BackendExchange, ExchangeError } from './JayfallBackendExchange'
import { waitFor, type WaitEnd } from './JayfallBoundedWait'
import { type CallerAnswer, type WholeAnswer } from './JayfallCallerAnswer'
import { CutOffWatch } from './JayfallCutOffWatch'
import { engineUrgency } from './JayfallEngineUrgency'
import { EventSplitter, type StreamEvent } from './JayfallEventSplitter'
import { type ForwardingWorkspace } from './JayfallForwardingCatalogue'
import { FIRST_EVENT_MILLISECONDS, MAXIMUM_ANSWER_BYTES, MAXIMUM_EVENT_BYTES, PAUSE_SAMPLE_EVENTS, TIMELY_EVENTS, TOLD_READING_MINIMUM } from './JayfallForwardingConstants'
import { type ForwardingContext } from './JayfallForwardingContext'
import { type AnswerFields } from './JayfallForwardingProtocol'
import { type VersionOutcome } from './JayfallRolloutEvidence'

/** The request as the caller sent it. */
export interface CallerRequest {
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  readonly workspace: ForwardingWorkspace | undefined
}

interface AnswerHead {
  readonly response: IncomingMessage
  readonly status: number
  readonly fields: AnswerFields
  /** Whether the answer ended in order. */
  readonly isWhole: () => boolean
}

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([421])
/** Statuses that promise to callers that the request has not run. */
export const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

export class AttemptRunner {
  /** The answer of the last attempt, ready for the caller. */
  ready: WholeAnswer | undefined
  /** Milliseconds from the attempt's start to its first event or whole answer. */
  answeredAfter: number | undefined
  /** The confidence that the attempt's answer had to have. */
  minimumConfidence = 0
  private isRead = false
  /** Of the running attempt, if it may go on at another server. */
  private cutOff: CutOffWatch | undefined
  /** What ends the waits of the running attempt. */
  private stops: readonly AbortSignal[] = []
  /** Attempts that ended with a failure of the server's own, until another server's answer tells whose fault that was. */
  private unconfirmed: AttemptPlan[] = []
  /** Mean milliseconds between the attempt's events; undefined when there were too few. */
  private meanPause: number | undefined
  /** Attempts that have counted for or against their version, and whether as failures. */
  private readonly judged = new Map<AttemptPlan, boolean>()

  constructor (
    private readonly context: ForwardingContext,
    private readonly plan: PlanContext,
    private readonly request: CallerRequest,
    private readonly answer: CallerAnswer
  ) {}

  async run (attempt: AttemptPlan): Promise<AttemptResult> {
    const { clock, directory, holders, versions, protocol } = this.context
    const { server, model } = attempt
    const startedAt = clock.monotonic()
    this.ready = undefined
    this.answeredAfter = undefined
    this.meanPause = undefined
    directory.noteSent(server.id, attempt.choice.reading)
    this.context.times.noteSent(attempt.choice.reading)
    if (attempt.choice.reading >= TOLD_READING_MINIMUM) this.context.hints.tell({ server: server.id, reading: attempt.choice.reading })
    this.isRead = false
    if (model !== undefined) holders.noteSent(server.id, model, this.plan.fields.promptParts, startedAt)
    versions.noteRun(this.plan.service, this.plan.session, server.version, startedAt)
    const rawHeaders = protocol.encodeAttemptHeaders(this.request.rawHeaders, {
      requestId: this.request.requestId,
      patience: Math.max(1, Math.floor(attempt.deadline - startedAt)),
      server: server.id,
      workspace: this.request.workspace,
      model,
      lastEventId: attempt.resumeAfter ?? this.plan.fields.lastEventId,
      priority: engineUrgency({ reading: attempt.choice.reading, rank: this.request.workspace?.priority ?? this.plan.route.priority, isResumed: attempt.resumeAfter !== undefined }),
      bodyLength: this.request.body.length
    })
    this.cutOff = this.plan.route.isRepeatable ? new CutOffWatch(directory, clock, server.zone) : undefined
    this.stops = this.cutOff === undefined ? [this.answer.callerLeft] : [this.answer.callerLeft, this.cutOff.signal]
    const result = await this.exchange(attempt, rawHeaders, startedAt)
    this.cutOff?.close()
    this.noteRead(attempt, undefined)
    directory.noteEnded(server.id)
    this.learn(attempt, result)
    return result
  }

  private async exchange (attempt: AttemptPlan, rawHeaders: readonly string[], startedAt: number): Promise<AttemptResult> {
    let exchange: BackendExchange | undefined
    const headPromise = new Promise<IncomingMessage>((resolve, reject) => {
      exchange = BackendExchange.open({ method: this.request.method, address: attempt.server.address, path: this.request.path, rawHeaders, body: this.request.body }, resolve, reject)
    })
    try {
      const end = await this.waitWithin(headPromise, attempt, attempt.answerSilence)
      if (end.kind !== 'value') return this.endOfWait(end, attempt)
      const response = end.value
      // Errors are read from the iteration over the body; an answer that is dropped needs none.
      response.on('error', () => {})
      return await this.readAnswer(attempt, response, () => response.complete && exchange?.hasFailed === false, startedAt)
    } catch (error) {
      if (error instanceof ExchangeError && error.failure === 'unsent') return { kind: 'unsent' }
      return { kind: 'broken', cause: messageOf(error) }
    } finally {
      exchange?.destroy()
    }
  }

  private async readAnswer (attempt: AttemptPlan, response: IncomingMessage, isWhole: () => boolean, startedAt: number): Promise<AttemptResult> {
    const { protocol, directory, clock } = this.context
    directory.noteReachable(attempt.server.id)
    this.cutOff?.noteHeard()
    const head: AnswerHead = { response, status: response.statusCode ?? 0, fields: protocol.decodeAnswerHeaders(response.headers), isWhole }
    const { fields, status } = head
    if (fields.load !== undefined && (fields.server === undefined || fields.server === attempt.server.id)) directory.noteLoad(attempt.server.id, fields.load, clock.monotonic())
    if (fields.isNotRun || NOT_RUN_STATUSES.has(status)) return { kind: 'not_run', status }
    if (fields.requestId !== this.request.requestId) return { kind: 'broken', cause: 'the answer belongs to another request' }
    if (fields.isEncoded) return { kind: 'broken', cause: 'the answer is encoded' }
    const isSuccess = status >= 200 && status < 300
    if (isSuccess && !fields.isSigned) return { kind: 'broken', cause: 'the answer has no signature' }
    if (isSuccess && fields.confidence !== undefined) {
      this.noteRead(attempt, clock.monotonic() - startedAt)
      this.minimumConfidence = attempt.minimumConfidence()
      if (fields.confidence < this.minimumConfidence) {
        this.answeredAfter = clock.monotonic() - startedAt
        return { kind: 'unsure', confidence: fields.confidence }
      }
    }
    return isSuccess && this.plan.route.isStream ? this.relayEvents(attempt, head, startedAt) : this.readWhole(attempt, head, startedAt)
  }

  private async readWhole (attempt: AttemptPlan, { response, status, isWhole }: AnswerHead, startedAt: number): Promise<AttemptResult> {
    const chunks: Buffer[] = []
    let length = 0
    const iterator = response[Symbol.asyncIterator]()
    for (;;) {
      const end = await this.waitWithin(iterator.next(), attempt, attempt.answerSilence)
      if (end.kind !== 'value') return this.endOfWait(end, attempt)
      if (end.value.done === true) break
      chunks.push(end.value.value as Buffer)
      length += chunks[chunks.length - 1].length
      if (length > MAXIMUM_ANSWER_BYTES) return { kind: 'broken', cause: `the answer goes on after ${length} bytes` }
    }
    if (!isWhole()) return { kind: 'broken', cause: 'the answer broke off' }
    // A stream that has begun cannot become another answer.
    if (this.answer.hasBegun) return { kind: 'broken', cause: `the stream could not be resumed: status ${status}` }
    this.answeredAfter = this.context.clock.monotonic() - startedAt
    this.ready = { status, rawHeaders: response.rawHeaders, body: Buffer.concat(chunks), isFramed: isFramed(response) }
    return status >= 500 ? { kind: 'failed', status } : { kind: 'answered' }
  }

  private async relayEvents (attempt: AttemptPlan, { response, status, isWhole }: AnswerHead, startedAt: number): Promise<AttemptResult> {
    const splitter = new EventSplitter()
    const iterator = response[Symbol.asyncIterator]()
    let silence = attempt.answerSilence
    let events = 0
    for (;;) {
      const end = await this.waitWithin(iterator.next(), attempt, silence)
      if (end.kind !== 'value') return this.endOfWait(end, attempt)
      if (end.value.done === true) break
      this.cutOff?.noteHeard()
      for (const event of splitter.push(end.value.value as Buffer)) {
        this.answeredAfter ??= this.context.clock.monotonic() - startedAt
        this.noteRead(attempt, this.answeredAfter)
        if (++events >= PAUSE_SAMPLE_EVENTS) this.meanPause = (this.context.clock.monotonic() - startedAt - this.answeredAfter) / (events - 1)
        this.judgeEarly(attempt, events)
        silence = attempt.eventSilence
        if (!isAfter(event, this.answer.lastEventId)) continue
        this.answer.beginStream(status, response.rawHeaders)
        if (this.answer.writeEvent(event.bytes, event.id)) continue
        const drained = await this.waitWithin(this.answer.drained(), attempt, Infinity)
        if (drained.kind !== 'value') return this.endOfWait(drained, attempt)
      }
      if (splitter.pendingBytes > MAXIMUM_EVENT_BYTES) return { kind: 'broken', cause: `an event goes on after ${splitter.pendingBytes} bytes` }
    }
    // Without a length, a stream's end cannot be told from a server that stopped.
    if (!isWhole() || splitter.pendingBytes > 0 || !isFramed(response)) return { kind: 'broken', cause: 'the stream broke off' }
    this.answer.beginStream(status, response.rawHeaders)
    this.answer.endStream()
    return { kind: 'answered' }
  }

  /** Waits until the attempt's deadline or `silence` milliseconds, whichever is earlier. */
  private waitWithin<Value> (promise: Promise<Value>, attempt: AttemptPlan, silence: number): Promise<WaitEnd<Value>> {
    // The promise may fail after the wait has ended.
    promise.catch(() => {})
    return waitFor(promise, Math.min(silence, attempt.deadline - this.context.clock.monotonic()), this.stops)
  }

  private endOfWait (end: WaitEnd<unknown>, attempt: AttemptPlan): AttemptResult {
    if (end.kind === 'stopped') return this.answer.callerLeft.aborted ? { kind: 'caller_left' } : { kind: 'broken', cause: 'the zone of the server is out of reach' }
    return this.context.clock.monotonic() >= attempt.deadline - 1 ? { kind: 'expired' } : { kind: 'silent' }
  }

  /** Takes note that the prompt was read; `firstEvent` is undefined when the attempt ended before. */
  private noteRead ({ server, model, choice }: AttemptPlan, firstEvent: number | undefined): void {
    if (this.isRead || model === undefined) return
    this.isRead = true
    const { directory, times, clock } = this.context
    directory.noteRead(server.id, choice.reading)
    if (firstEvent === undefined) return
    const waited = Math.max(0, firstEvent - FIRST_EVENT_MILLISECONDS - choice.reading)
    directory.noteDelay(server.id, waited, clock.monotonic())
    if (choice.othersReading > waited) directory.noteShorterWait(server.id, choice.othersReading - waited)
    times.noteFirstEvent({ model, unreadTokens: choice.unreadTokens, firstEvent }, clock.monotonic())
  }

  /** Takes note of what the result tells about the server and its version. */
  private learn (attempt: AttemptPlan, result: AttemptResult): void {
    const { directory, clock } = this.context
    switch (result.kind) {
      case 'failed':
        this.unconfirmed.push(attempt)
        return
      case 'unsent':
        return directory.noteUnreachable(attempt.server.id, clock.monotonic())
      case 'broken':
      case 'silent':
        // A zone that is out of reach tells nothing about its servers.
        if (this.cutOff?.signal.aborted !== true) this.blame(attempt)
        return
      case 'answered':
      case 'unsure':
        directory.noteSuccess(attempt.server.id, clock.monotonic())
        this.noteOutcome(attempt, false)
        this.blameUnconfirmed()
    }
  }

  /**
   * Takes the end of the request. A request that failed at several servers is at fault itself,
   * unless all of them run the new version of a rollout.
   */
  finish (): void {
    const versions = new Set(this.unconfirmed.map(({ server }) => server.version))
    const rollout = this.context.versions.rolloutOf(this.plan.service)
    const isNewVersion = rollout?.outcome === 'running' && versions.size === 1 && versions.has(rollout.order.version)
    if (this.unconfirmed.length === 1 || isNewVersion) this.blameUnconfirmed()
  }

  private blameUnconfirmed (): void {
    for (const attempt of this.unconfirmed) this.blame(attempt)
    this.unconfirmed = []
  }

  private blame (attempt: AttemptPlan): void {
    this.context.directory.noteFailure(attempt.server.id, this.context.clock.monotonic())
    this.noteOutcome(attempt, true)
  }

  /** A slow stream may end long after its rollout, so it counts as soon as it is known to be slow; and one in time after some events, lest slow ones seem to be most. */
  private judgeEarly (attempt: AttemptPlan, events: number): void {
    if (this.judged.has(attempt)) return
    const isSlow = this.context.evidence.isSlow(this.outcomeOf(attempt))
    if (isSlow || events >= TIMELY_EVENTS) this.noteOutcome(attempt, isSlow)
  }

  private noteOutcome (attempt: AttemptPlan, hasFailed: boolean): void {
    const known = this.judged.get(attempt)
    // What was in time at first may still fail.
    if (known === true || known === hasFailed) return
    this.judged.set(attempt, hasFailed)
    this.context.evidence.note({ ...this.outcomeOf(attempt), hasFailed })
  }

  private outcomeOf ({ server, model, choice }: AttemptPlan): Omit<VersionOutcome, 'hasFailed'> {
    const { service, route } = this.plan
    const expected = model === undefined ? undefined : FIRST_EVENT_MILLISECONDS + choice.reading
    return { service, version: server.version, route: route.name, model, pace: { firstEvent: this.answeredAfter, pause: this.meanPause, expected } }
  }
}

/** Whether the server said where the body ends, other than by ending the connection. */
function isFramed ({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** Whether an event comes after the last one that the caller has; streams have increasing numbers. */
function isAfter ({ id }: StreamEvent, last: string | undefined): boolean {
  if (id === undefined || last === undefined) return true
  return Number(id) > Number(last)
}
