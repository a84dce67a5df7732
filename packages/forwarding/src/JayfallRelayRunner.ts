/** Hands a request to another instance, and forwards the answer to the caller. */

import { messageOf } from '#jayfall/shared'

import { type AnswerHead } from './JayfallAnswerParser'
import { type PlanContext } from './JayfallAttemptPlan'
import { type CallerRequest } from './JayfallAttemptRunner'
import { BackendExchange, ExchangeError } from './JayfallBackendExchange'
import { BodyReader, NO_ANSWER_YET } from './JayfallBodyReader'
import { waitFor, type WaitResult } from './JayfallBoundedWait'
import { type BufferedAnswer, type CallerAnswer } from './JayfallCallerAnswer'
import { MAXIMUM_ANSWER_BYTES } from './JayfallForwardingConstants'
import { type ForwardingContext } from './JayfallForwardingContext'
import { decodeOutcome, encodeRelay, RELAY_METHOD, RELAY_PATH, withoutOutcome, type RelayHead } from './JayfallRelayEnvelope'
import { type RelayPlan, type RelayResult } from './JayfallRelayPlan'
import { StreamRelay } from './JayfallStreamRelay'

export class RelayRunner {
  /** The answer of the last relay, ready to be sent to the caller. */
  bufferedAnswer: BufferedAnswer | undefined
  private receivedEvents = 0

  constructor (
    private readonly context: ForwardingContext,
    private readonly plan: PlanContext,
    private readonly request: CallerRequest,
    private readonly answer: CallerAnswer,
    private readonly catalogueVersion: number
  ) {}

  async run (relay: RelayPlan): Promise<RelayResult> {
    const { relays, clock } = this.context
    const { service } = this.plan
    const { id } = relay.target
    this.bufferedAnswer = undefined
    this.receivedEvents = 0
    relays.recordSent(id, service)
    const result = await this.exchange(relay)
    relays.recordEnd(id, service)
    if (result.kind === 'unable' || result.kind === 'broken' || result.kind === 'silent') relays.recordUnable(id, service, clock.monotonic())
    else if (result.kind === 'answered') relays.recordAble(id, service)
    return result
  }

  private async exchange (relay: RelayPlan): Promise<RelayResult> {
    const body = encodeRelay(this.createHead(relay), this.request.body)
    const held = this.context.memory.open()
    if (!held.resize(body.length)) return { kind: 'unable', cause: 'there is no memory for a copy of the request' }
    const { address } = relay.target
    let exchange: BackendExchange | undefined
    const headPromise = new Promise<AnswerHead>((resolve, reject) => {
      exchange = BackendExchange.open({ method: RELAY_METHOD, address, path: RELAY_PATH, rawHeaders: ['Host', address], body, localAddress: this.context.relayHost, pacer: this.context.pacer }, resolve, reject)
    })
    try {
      const wait = await this.waitForAnswer(headPromise, relay)
      if (wait.kind !== 'value') return this.resultOfInterruptedWait(wait, relay)
      return await this.readAnswer(relay, exchange as BackendExchange, wait.value)
    } catch (error) {
      return { kind: error instanceof ExchangeError && error.failure === 'unsent' ? 'unable' : 'broken', cause: messageOf(error) }
    } finally {
      held.release()
      exchange?.destroy()
    }
  }

  private createHead ({ progress, resumeAfter }: RelayPlan): RelayHead {
    const { clock, instance, versionPolicy } = this.context
    const { requestId, method, path, rawHeaders, workspace } = this.request
    const { route, service, session, isSharedSession, fields: { lastEventId, model, promptTokens, maximumOutputTokens, promptParts, ...fields }, identity: { fingerprint }, arrivedAt, deadline } = this.plan
    const { sentAttempts, triedServers, mayHaveRun } = progress
    const now = clock.monotonic()
    return {
      from: instance,
      catalogueVersion: this.catalogueVersion,
      requestId,
      method,
      path,
      rawHeaders,
      workspace,
      route,
      fields: { lastEventId, session: fields.session, model, promptTokens, maximumOutputTokens, promptParts },
      service,
      session,
      isSharedSession,
      sessionVersion: versionPolicy.ruleFor(service, session, now, isSharedSession).sessionVersion,
      fingerprint,
      age: now - arrivedAt,
      left: deadline - now,
      sentAttempts,
      triedServers,
      mayHaveRun,
      resumeAfter
    }
  }

  private async readAnswer (relay: RelayPlan, exchange: BackendExchange, head: AnswerHead): Promise<RelayResult> {
    const outcome = decodeOutcome(head.headers)
    // An instance of another version, or one that does not know this one yet, answers without an outcome.
    if (outcome === undefined) return head.status >= 400 && head.status < 500 ? { kind: 'unable', cause: `status ${head.status}` } : { kind: 'broken', cause: `status ${head.status} without an outcome` }
    if (outcome.kind === 'refused') return outcome.isUnable ? { kind: 'unable', cause: outcome.code } : { kind: 'refused', code: outcome.code, retryAfter: outcome.retryAfter }
    if (outcome.kind === 'failed') return { kind: 'failed', code: outcome.code }
    const { versionPolicy, clock } = this.context
    const { service, session, route } = this.plan
    if (outcome.version !== undefined) versionPolicy.recordRun(service, session, outcome.version, clock.monotonic())
    const serverHead = { ...head, rawHeaders: withoutOutcome(head.rawHeaders) }
    const isSuccess = head.status >= 200 && head.status < 300
    return isSuccess && route.isStream ? this.relayEvents(relay, exchange, serverHead) : this.readCompleteAnswer(relay, exchange, serverHead)
  }

  private async readCompleteAnswer (relay: RelayPlan, exchange: BackendExchange, head: AnswerHead): Promise<RelayResult> {
    const length = Number(head.headers['content-length'] ?? 0)
    if (length > MAXIMUM_ANSWER_BYTES && !exchange.isComplete) return { kind: 'broken', cause: `the answer has ${length} bytes` }
    const held = this.answer.releaseWhenSent(this.context.memory.open(relay.target.id))
    const reader = new BodyReader({ bytes: MAXIMUM_ANSWER_BYTES, held })
    exchange.readBody(reader)
    const wait = await this.waitForAnswer(reader.result, relay, { receivedBytes: () => reader.receivedBytes, isHeldUp: () => exchange.isHeldUp })
    if (wait.kind !== 'value') {
      held.release()
      return this.resultOfInterruptedWait(wait, relay)
    }
    const body = wait.value
    if (!Buffer.isBuffer(body)) return { kind: 'broken', cause: `the answer was ${body}` }
    if (this.answer.hasBegun) return { kind: 'broken', cause: `the stream could not be resumed: status ${head.status}` }
    this.bufferedAnswer = { ...head, body, held }
    return { kind: 'answered' }
  }

  private async relayEvents ({ deadline, answerTimeout, eventGapTimeout, isReplaceable }: RelayPlan, exchange: BackendExchange, head: AnswerHead): Promise<RelayResult> {
    const end = await new StreamRelay({
      exchange,
      head,
      answer: this.answer,
      clock: this.context.clock,
      deadline,
      firstEventTimeout: answerTimeout,
      eventGapTimeout,
      stopSignals: [this.answer.callerDisconnected],
      isResumable: this.plan.route.isRepeatable,
      isReplaceable,
      onBytes: () => {},
      onEvents: count => { this.receivedEvents += count }
    }).run()
    if (end.kind === 'stopped') return { kind: 'caller_left' }
    if (end.kind !== 'ended') return end
    if (!end.isWhole || (!head.isSelfDelimited && this.receivedEvents === 0)) return { kind: 'broken', cause: 'the stream broke off' }
    this.answer.beginStream(head)
    this.answer.endStream()
    return { kind: 'answered' }
  }

  private async waitForAnswer<Value> (promise: Promise<Value>, relay: RelayPlan, progress = NO_ANSWER_YET): Promise<WaitResult<Value>> {
    // The promise may be rejected after the wait has ended.
    promise.catch(() => {})
    for (let known = progress.receivedBytes(); ; known = progress.receivedBytes()) {
      const left = relay.deadline - this.context.clock.monotonic()
      const wait = await waitFor(promise, Math.min(relay.answerTimeout, left), [this.answer.callerDisconnected])
      if (wait.kind !== 'timeout' || this.isExpired(relay)) return wait
      if ((progress.receivedBytes() === known || progress.isHeldUp()) && relay.isReplaceable()) return wait
    }
  }

  private resultOfInterruptedWait (wait: WaitResult<unknown>, relay: RelayPlan): RelayResult {
    if (wait.kind === 'stopped') return { kind: 'caller_left' }
    return this.isExpired(relay) ? { kind: 'expired' } : { kind: 'silent' }
  }

  private isExpired ({ deadline }: RelayPlan): boolean {
    return this.context.clock.monotonic() >= deadline - 1
  }
}
