/**
 * Plans how a request is brought to servers: by this instance, or through another one when this one cannot reach them.
 *
 * A generator that does no network I/O. A request goes through one other instance at most: an instance that took it
 * from another one refuses it when it cannot reach the servers either. Attempts and retries are counted once, for the
 * caller's request, whichever instance makes them. The retry that leads to a relay is taken out of the budget of this
 * instance, and those that follow at the other one out of its budget.
 */

import { boundPriority } from '#jayfall/capacity'

import { answerTimeoutOf, decideWithoutAnswer, eventGapTimeoutOf, planAttempts, type AttemptPlan, type AttemptProgress, type AttemptResult, type AttemptsEnd, type FailureCode, type FinalDecision, type PlanContext, type RefusalCode } from './JayfallAttemptPlan'
import { COLD_WAIT_OBJECTIVES, MAXIMUM_RELAYS_PER_REQUEST, MINIMUM_ATTEMPT_MILLISECONDS, RELAY_TIMEOUT_FACTOR, WAKE_OFFSET_MILLISECONDS } from './JayfallForwardingConstants'
import { type RelayTarget } from './JayfallRelayTargets'

/** One try to hand the request to another instance. */
export interface RelayPlan {
  readonly number: number
  readonly target: RelayTarget
  readonly progress: AttemptProgress
  readonly resumeAfter: string | undefined
  /** Monotonic milliseconds. */
  readonly deadline: number
  /** Milliseconds without an answer, or a first event, after which the relay is given up; those after the last event. */
  readonly answerTimeout: number
  readonly eventGapTimeout: number
  /** Whether another instance could take the request now. */
  readonly isReplaceable: () => boolean
}

/** How a relay ended. */
export type RelayResult =
  /** The caller has the answer, or it is ready to be sent. */
  | { readonly kind: 'answered' }
  /** The other instance refused the request, which has not run. */
  | { readonly kind: 'refused', readonly code: string, readonly retryAfter: number }
  | { readonly kind: 'failed', readonly code: string }
  /** The other instance did not take the request, or no connection to it was opened. */
  | { readonly kind: 'unable', readonly cause: string }
  /** The answer is incomplete; the request may have run. */
  | { readonly kind: 'broken', readonly cause: string }
  | { readonly kind: 'silent' }
  | { readonly kind: 'expired' }
  | { readonly kind: 'caller_left' }

/** A pause before the next attempt, in which the request waits at this instance. */
export interface WaitPlan {
  /** Milliseconds. */
  readonly duration: number
}

export type WaitResult = { readonly kind: 'waited' } | { readonly kind: 'caller_left' }

export type PlanStep =
  | { readonly kind: 'attempt', readonly plan: AttemptPlan }
  | { readonly kind: 'relay', readonly plan: RelayPlan }
  | { readonly kind: 'wait', readonly plan: WaitPlan }

const FAILURE_CODES: ReadonlySet<string> = new Set<FailureCode>(['answer_lost', 'timeout', 'suspect_prompt'])
const REFUSAL_CODES: ReadonlySet<string> = new Set<RefusalCode>(['no_server', 'servers_full', 'too_late', 'suspect_prompt', 'servers_limited', 'servers_cold', 'servers_evacuated', 'servers_busy', 'unreached'])

type Plan<End> = Generator<PlanStep, End, AttemptResult | RelayResult | WaitResult>

/** How the attempts of this instance ended when it did not have to wait for a cold server. */
type OwnAttemptsEnd = Exclude<AttemptsEnd, { readonly kind: 'cold' }>

export function * planRequest (context: PlanContext): Plan<FinalDecision> {
  const { reach, service, relayedFrom } = context
  let end = yield * planOwnAttempts(context, context.start, false)
  if (end.kind === 'unreached' && relayedFrom === undefined) end = yield * planRelays(context, end.progress)
  // While requests return by degrees, this instance reaches servers again.
  if (end.kind === 'unreached' && !reach.isCut(service)) end = yield * planOwnAttempts(context, end.progress, true)
  return end.kind === 'unreached' ? decideWithoutAnswer(context, end.progress.mayHaveRun, 'unreached') : end
}

function * planOwnAttempts (context: PlanContext, start: AttemptProgress, isDirect: boolean): Plan<OwnAttemptsEnd> {
  let progress = start
  let waitsUntil: number | undefined
  for (;;) {
    const end = yield * runAttempts(context, progress, isDirect)
    if (end.kind !== 'cold') return end
    // A stream that breaks may wait from then on, however long it ran before.
    if (waitsUntil === undefined || end.progress.sentAttempts > progress.sentAttempts) waitsUntil = latestColdStart(context)
    const duration = end.wait + wakeOffset(context)
    if (context.clock.monotonic() + duration > waitsUntil) return end.progress.hasFailedAnswer === true ? { kind: 'deliver' } : decideWithoutAnswer(context, end.progress.mayHaveRun, 'servers_cold')
    const { kind } = (yield { kind: 'wait', plan: { duration } }) as WaitResult
    if (kind === 'caller_left') return { kind: 'none' }
    progress = end.progress
  }
}

function * runAttempts (context: PlanContext, start: AttemptProgress, isDirect: boolean): Plan<AttemptsEnd> {
  const attempts = planAttempts(context, start, isDirect)
  let step = attempts.next()
  while (step.done !== true) step = attempts.next((yield { kind: 'attempt', plan: step.value }) as AttemptResult)
  return step.value
}

/** Monotonic milliseconds until which a request that begins to wait now waits for a cold server, so that the rest of the objective, or of the longest pause of the stream, is left for the answer. */
function latestColdStart ({ route, arrivedAt, deadline, clock, lastDeliveredEventId }: PlanContext): number {
  const latest = lastDeliveredEventId() === undefined ? arrivedAt + route.objective * COLD_WAIT_OBJECTIVES : clock.monotonic() + route.eventGapObjective * COLD_WAIT_OBJECTIVES
  return Math.min(latest, deadline - MINIMUM_ATTEMPT_MILLISECONDS)
}

/** Milliseconds by which a waiting request starts after the beginning of a window: streams that go on come first, then the most urgent requests. */
function wakeOffset ({ priority, lastDeliveredEventId }: PlanContext): number {
  if (lastDeliveredEventId() !== undefined) return 0
  return (1 + boundPriority(priority)) * WAKE_OFFSET_MILLISECONDS
}

function * planRelays (context: PlanContext, start: AttemptProgress): Plan<OwnAttemptsEnd> {
  const { relays, clock, service, deadline, route, retryBudget, lastDeliveredEventId } = context
  const excluded = new Set<string>()
  let progress = start
  for (let number = 1; number <= MAXIMUM_RELAYS_PER_REQUEST; number++) {
    const now = clock.monotonic()
    if (deadline - now < MINIMUM_ATTEMPT_MILLISECONDS) return decideWithoutAnswer(context, progress.mayHaveRun, 'too_late')
    const target = relays.select(service, context.fields.requestId ?? '', excluded, now)
    if (target === undefined || (progress.isRetry && !retryBudget.trySpendRetry(service, now))) break
    const plan = createPlan(context, progress, number, target, excluded, lastDeliveredEventId())
    const result = (yield { kind: 'relay', plan }) as RelayResult
    excluded.add(target.id)
    progress = { ...progress, isRetry: false }
    switch (result.kind) {
      case 'answered':
        return { kind: 'deliver' }
      case 'caller_left':
        return { kind: 'none' }
      case 'expired':
        return { kind: 'fail', code: 'timeout' }
      case 'failed':
        return { kind: 'fail', code: toFailureCode(result.code) }
      case 'refused':
        return progress.mayHaveRun ? { kind: 'fail', code: 'answer_lost' } : { kind: 'refuse', code: toRefusalCode(result.code), retryAfter: result.retryAfter }
      case 'unable':
        continue
    }
    // How many attempts the other instance made is not known; it made one at least.
    progress = { ...progress, sentAttempts: progress.sentAttempts + 1, mayHaveRun: true, isRetry: true }
    if (!route.isRepeatable || progress.sentAttempts >= route.maximumAttempts) return decideWithoutAnswer(context, true, 'unreached')
  }
  return { kind: 'unreached', progress }
}

function createPlan (context: PlanContext, progress: AttemptProgress, number: number, target: RelayTarget, excluded: ReadonlySet<string>, resumeAfter: string | undefined): RelayPlan {
  const { route, deadline, relays, retryBudget, service, clock } = context
  const others = new Set([...excluded, target.id])
  return {
    number,
    target,
    progress,
    resumeAfter,
    deadline,
    // The other instance moves the request to another server by itself when one is late.
    answerTimeout: answerTimeoutOf(route) * RELAY_TIMEOUT_FACTOR,
    eventGapTimeout: eventGapTimeoutOf(route) * RELAY_TIMEOUT_FACTOR,
    isReplaceable: () => {
      const now = clock.monotonic()
      return route.isRepeatable && progress.sentAttempts + 1 < route.maximumAttempts && retryBudget.hasRetryLeft(service, now) && relays.select(service, '', others, now) !== undefined
    }
  }
}

function toFailureCode (code: string): FailureCode {
  return FAILURE_CODES.has(code) ? code as FailureCode : 'answer_lost'
}

function toRefusalCode (code: string): RefusalCode {
  return REFUSAL_CODES.has(code) ? code as RefusalCode : 'unreached'
}
