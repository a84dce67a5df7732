/**
 * Plans the attempts of one request, as a generator that does no network I/O.
 *
 * The generator yields one attempt at a time, is resumed with the attempt's result, and returns the final
 * decision. The route determines what may be repeated: a request that is not repeatable is sent again
 * only when it certainly did not run.
 */

import { boundPriority, isWorthMoving, moveCheckWaits, type WorkOrders } from '#jayfall/capacity'
import { rendezvousShare, type Clock } from '#jayfall/shared'

import { type BackendSelector, type BackendSelection, type SelectionRequest } from './JayfallBackendSelector'
import { type BackendServer, type ForwardingRoute } from './JayfallForwardingCatalogue'
import {
  ANSWER_TIMEOUT_OBJECTIVES, DEFAULT_RETRY_AFTER_MILLISECONDS, EVACUATED_RETRY_AFTER_MILLISECONDS, EVENT_GAP_TIMEOUT_OBJECTIVES, FIRST_EVENT_TIMEOUT_OBJECTIVES, MINIMUM_ANSWER_TIMEOUT_MILLISECONDS, MINIMUM_ATTEMPT_MILLISECONDS,
  MINIMUM_EVENT_GAP_TIMEOUT_MILLISECONDS, MINIMUM_FIRST_EVENT_TIMEOUT_MILLISECONDS, OUT_OF_REACH_SHARE_OF_RELAYS, RETURN_SPREAD_MILLISECONDS
} from './JayfallForwardingConstants'
import { type CallerFields } from './JayfallForwardingProtocol'
import { confidenceThreshold } from './JayfallConfidenceThreshold'
import { type PromptAdmission, type PromptSuspicions } from './JayfallPromptSuspicions'
import { type RequestIdentity } from './JayfallRequestIdentity'
import { type RelayTargets } from './JayfallRelayTargets'
import { type RetryBudget } from './JayfallRetryBudget'
import { type ServiceReach } from './JayfallServiceReach'
import { type VersionPolicy, type VersionRule } from './JayfallVersionPolicy'

/** One attempt to run the request on one server. */
export interface AttemptPlan {
  readonly number: number
  readonly server: BackendServer
  readonly model: string | undefined
  /** Returns the confidence below which the answer is dropped before any of it reaches the caller. */
  readonly minimumConfidence: () => number
  /** The event after which the stream is resumed; undefined when the caller's own request decides. */
  readonly resumeAfter: string | undefined
  /** Monotonic milliseconds at which the attempt ends at the latest. */
  readonly deadline: number
  /** Milliseconds without an answer, or without a first event, after which the attempt is given up. */
  readonly answerTimeout: number
  /** Milliseconds without a further event after which the attempt is given up. */
  readonly eventGapTimeout: number
  /** Whether another attempt could follow now. A late attempt is only given up when one can. */
  readonly isReplaceable: () => boolean
  /** Milliseconds to wait for the head of the answer before each check whether the request is moved to another server; none when it stays. */
  readonly moveCheckWaits: readonly number[]
  /** Whether another server would answer in time now. */
  readonly isWorthMoving: () => boolean
  /** The estimates behind the selection of this server; for the log. */
  readonly selection: BackendSelection
  /** The rule that led to the version of this server; for the log. */
  readonly versionRule: VersionRule
}

interface ChosenServer {
  readonly selection: BackendSelection
  readonly versionRule: VersionRule
}

/** Milliseconds until this instance has a share of a cold server. */
interface ColdWait {
  readonly wait: number
}

/** How an attempt ended. */
export type AttemptResult =
  /** The caller has the whole answer, or the answer is ready to be sent. */
  | { readonly kind: 'answered' }
  /** The server answered that the request failed, and this answer is ready to be sent. */
  | { readonly kind: 'failed', readonly status: number }
  /** No byte was sent. */
  | { readonly kind: 'unsent', readonly cause: string }
  /** The server states that it did not run the request. */
  | { readonly kind: 'not_run', readonly status: number }
  /** The answer is incomplete, or is not the server's; the request may have run. */
  | { readonly kind: 'broken', readonly cause: string }
  | { readonly kind: 'silent' }
  /** There was no first event in time, and another server is expected to answer within the objective. */
  | { readonly kind: 'held_up' }
  /** The answer was dropped because its model reported too little confidence. */
  | { readonly kind: 'unsure', readonly confidence: number }
  /** The deadline of the request passed during the attempt. */
  | { readonly kind: 'expired' }
  | { readonly kind: 'caller_left' }

/** What the caller receives in the end. */
export type FinalDecision =
  /** The answer of the last attempt is delivered. */
  | { readonly kind: 'deliver' }
  | { readonly kind: 'refuse', readonly code: RefusalCode, readonly retryAfter: number }
  /** The outcome is unknown, or it is a failure that no answer of a server reports. */
  | { readonly kind: 'fail', readonly code: FailureCode }
  | { readonly kind: 'none' }

/** A refusal guarantees that the request has not run. */
export type RefusalCode = 'no_server' | 'unreached' | 'servers_full' | 'too_late' | 'suspect_prompt' | 'servers_limited' | 'servers_cold' | 'servers_evacuated' | 'servers_busy'
export type FailureCode = 'answer_lost' | 'timeout' | 'suspect_prompt'

/** What has been done for a request so far. */
export interface AttemptProgress {
  /** Attempts at servers that may have received the request. */
  readonly sentAttempts: number
  readonly mayHaveRun: boolean
  readonly triedServers: readonly string[]
  /** Whether the next sending is a retry that has not been taken out of the budget. */
  readonly isRetry: boolean
  /** The model to go on with; undefined for the one that the plan begins with. */
  readonly model?: string
  /** How the last attempt of this instance ended; undefined before the first. */
  readonly previous?: AttemptResult
  /** Whether a server's failure is at hand, and no server ran the request since. */
  readonly hasFailedAnswer?: boolean
  /** Whether the request is the trial of a suspicion against its prompt. */
  readonly isTrial?: boolean
}

export const NO_PROGRESS: AttemptProgress = { sentAttempts: 0, mayHaveRun: false, triedServers: [], isRetry: false }

/** How the attempts of this instance ended. */
export type AttemptsEnd =
  | FinalDecision
  /** The servers are out of this instance's reach. */
  | { readonly kind: 'unreached', readonly progress: AttemptProgress }
  /** Every server that could take the request is cold; this instance has a share of one after `wait` milliseconds. */
  | { readonly kind: 'cold', readonly progress: AttemptProgress, readonly wait: number }

export interface PlanContext {
  readonly route: ForwardingRoute
  readonly service: string
  /** Identifies the session. Requests of one session stay on one version. */
  readonly session: string
  /** Whether other requests may belong to the same session. */
  readonly isSharedSession: boolean
  readonly fields: CallerFields
  readonly identity: RequestIdentity
  /** Monotonic milliseconds. */
  readonly arrivedAt: number
  readonly deadline: number
  /** The operators' priority of the request: that of its workspace, or else of its route; 0 is the most urgent. */
  readonly priority: number
  /** Whether the request belongs to what its workspace sends beyond its usual share. */
  readonly isExcess: boolean
  readonly clock: Clock
  readonly selector: BackendSelector
  readonly workOrders: WorkOrders
  readonly retryBudget: RetryBudget
  readonly versionPolicy: VersionPolicy
  readonly promptSuspicions: PromptSuspicions
  readonly reach: ServiceReach
  readonly relays: RelayTargets
  /** The instance that the caller reached and that handed the request to this one; undefined when the caller reached this one. */
  readonly relayedFrom: string | undefined
  /** What the other instance had done before. */
  readonly start: AttemptProgress
  /** The last event that the caller has received; undefined before the first. */
  readonly lastDeliveredEventId: () => string | undefined
}

/** @param isDirect whether requests that return by degrees after a cut are sent to servers too. */
export function * planAttempts (context: PlanContext, start = context.start, isDirect = false): Generator<AttemptPlan, AttemptsEnd, AttemptResult> {
  const { route, clock, deadline, retryBudget, service, promptSuspicions, identity, selector } = context
  const triedServers = new Set(start.triedServers)
  let { sentAttempts, mayHaveRun } = start
  let isTrial = start.isTrial ?? false
  let model = start.model ?? route.models[0] ?? context.fields.model
  let { previous } = start
  /** Whether a server's failure is the last that is known of the request: those after it did not run it. */
  let hasFailedAnswer = start.hasFailedAnswer ?? false
  for (let number = 1; ; number++) {
    const now = clock.monotonic()
    if (deadline - now < MINIMUM_ATTEMPT_MILLISECONDS) return hasFailedAnswer ? { kind: 'deliver' } : decideWithoutAnswer(context, mayHaveRun, 'too_late')
    const isRepeat = previous === undefined ? start.isRetry : previous.kind !== 'unsent'
    if (isOutOfReach(context, isDirect, now)) return { kind: 'unreached', progress: { sentAttempts, mayHaveRun, triedServers: [...triedServers], isRetry: isRepeat } }
    // A trial that reached no server goes on; one that did is not repeated.
    const admission: PromptAdmission | undefined = isTrial && sentAttempts === 0 ? undefined : promptSuspicions.admit(identity)
    if (admission?.kind === 'refused') return mayHaveRun ? { kind: 'fail', code: 'suspect_prompt' } : { kind: 'refuse', code: 'suspect_prompt', retryAfter: Math.max(DEFAULT_RETRY_AFTER_MILLISECONDS, admission.retryAfter) }
    isTrial ||= admission?.kind === 'trial'
    const choice = chooseServer(context, model, triedServers)
    const chosen = isServerChosen(choice) ? choice : undefined
    // A request that has no retry left would be rejected after its wait, so it is rejected at once.
    if (choice !== undefined && !isServerChosen(choice) && (!isRepeat || retryBudget.hasRetryLeft(service, now))) return { kind: 'cold', wait: choice.wait, progress: { sentAttempts, mayHaveRun, triedServers: [...triedServers], isRetry: isRepeat, model, previous, hasFailedAnswer, isTrial } }
    if (chosen !== undefined && !mayHaveRun && !hasFailedAnswer && isTooBusy(context, model, chosen, triedServers, now)) return decideWithoutAnswer(context, false, 'servers_busy')
    // Only an attempt that follows one that may have reached a server counts as a retry.
    if (chosen === undefined || (isRepeat && !retryBudget.trySpendRetry(service, now))) {
      if (hasFailedAnswer) return { kind: 'deliver' }
      // The servers that are left have no room, and another instance may reach the others.
      if (chosen === undefined && canBeRelayed(context) && selector.outOfReachShare(service, now) >= OUT_OF_REACH_SHARE_OF_RELAYS) return { kind: 'unreached', progress: { sentAttempts, mayHaveRun, triedServers: [...triedServers], isRetry: isRepeat } }
      return decideWithoutAnswer(context, mayHaveRun, triedServers.size === 0 ? 'no_server' : 'servers_full')
    }
    const result: AttemptResult = yield createPlan(context, chosen, model, number, sentAttempts, triedServers)
    previous = result
    if (result.kind !== 'unsent' && result.kind !== 'not_run') hasFailedAnswer = result.kind === 'failed'
    if (result.kind !== 'unsent') sentAttempts++
    switch (result.kind) {
      case 'answered':
        return { kind: 'deliver' }
      case 'caller_left':
        return { kind: 'none' }
      case 'expired':
        return { kind: 'fail', code: 'timeout' }
      case 'unsure':
        model = route.models[route.models.length - 1]
        mayHaveRun = true
        continue
      case 'failed':
      case 'broken':
      case 'silent':
      case 'held_up':
        mayHaveRun = true
    }
    triedServers.add(chosen.selection.row.server.id)
    const isKnownNotRun = result.kind === 'unsent' || result.kind === 'not_run'
    if ((isKnownNotRun || route.isRepeatable) && sentAttempts < route.maximumAttempts) continue
    if (hasFailedAnswer) return { kind: 'deliver' }
    return decideWithoutAnswer(context, mayHaveRun, 'servers_full')
  }
}

/**
 * The confidence that an answer of `model` must reach, computed when the model has reported its confidence.
 * Asking a larger model uses one retry of the budget and one attempt of the route, so 0 is returned when either is used up.
 */
function minimumConfidence (context: PlanContext, model: string | undefined, sentAttempts: number): number {
  const { route, clock, retryBudget, service, arrivedAt, lastDeliveredEventId } = context
  const largest = route.models.at(-1)
  if (largest === undefined || model === largest || !route.isRepeatable || sentAttempts + 1 >= route.maximumAttempts || lastDeliveredEventId() !== undefined) return 0
  const now = clock.monotonic()
  const next = retryBudget.hasRetryLeft(service, now) ? chooseServer(context, largest, new Set()) : undefined
  return !isServerChosen(next) ? 0 : confidenceThreshold(next.selection.timeToFirstEvent, arrivedAt + route.objective - now) * next.selection.escalationFactor
}

/** Chooses a server, or says how long to wait for a share of a cold one. A request does not change its version to avoid that wait. */
function chooseServer (context: PlanContext, model: string | undefined, triedServers: ReadonlySet<string>): ChosenServer | ColdWait | undefined {
  const { service, session, isSharedSession, clock, selector, versionPolicy } = context
  const now = clock.monotonic()
  const versionRule = versionPolicy.ruleFor(service, session, now, isSharedSession)
  const request = describeSelection(context, model, triedServers)
  for (const allowsVersion of [versionRule.isPreferred, (version: string) => versionRule.isAllowed(version, triedServers.size > 0)]) {
    const selection = selector.select({ ...request, allowsVersion }, now)
    if (selection !== undefined) return { selection, versionRule }
    const wait = selector.timeUntilColdShare({ ...request, allowsVersion }, now)
    if (wait !== undefined) return { wait }
  }
  return undefined
}

function describeSelection ({ service, route, priority, fields }: PlanContext, model: string | undefined, triedServers: ReadonlySet<string>): Omit<SelectionRequest, 'allowsVersion'> {
  return { service, requestId: fields.requestId ?? '', priority, objective: route.objective, model, promptTokens: fields.promptTokens, outputTokens: fields.maximumOutputTokens, promptParts: fields.promptParts, triedServers }
}

function createPlan (context: PlanContext, { selection, versionRule }: ChosenServer, model: string | undefined, number: number, sentAttempts: number, triedServers: ReadonlySet<string>): AttemptPlan {
  const { route, deadline, lastDeliveredEventId } = context
  const resumeAfter = lastDeliveredEventId()
  return {
    number,
    server: selection.row.server,
    model,
    minimumConfidence: () => minimumConfidence(context, model, sentAttempts),
    resumeAfter,
    deadline,
    answerTimeout: answerTimeoutOf(route),
    eventGapTimeout: eventGapTimeoutOf(route),
    isReplaceable: () => isReplaceable(context, model, sentAttempts, new Set([...triedServers, selection.row.server.id])),
    moveCheckWaits: isMovable(context, model, resumeAfter) ? [...moveCheckWaits(route.objective, selection)] : [],
    isWorthMoving: () => isMoveInTime(context, model, sentAttempts, new Set([...triedServers, selection.row.server.id])),
    selection,
    versionRule
  }
}

/** Milliseconds without an answer, or a first event, after which the request is sent elsewhere. */
export function answerTimeoutOf ({ isRepeatable, isStream, objective }: ForwardingRoute): number {
  // A request that must not run twice cannot be sent to another server, so it has no such timeout.
  if (!isRepeatable) return Infinity
  return isStream
    ? Math.max(MINIMUM_FIRST_EVENT_TIMEOUT_MILLISECONDS, objective * FIRST_EVENT_TIMEOUT_OBJECTIVES)
    : Math.max(MINIMUM_ANSWER_TIMEOUT_MILLISECONDS, objective * ANSWER_TIMEOUT_OBJECTIVES)
}

/** Milliseconds after an event without a further one after which the stream is continued elsewhere. */
export function eventGapTimeoutOf ({ isRepeatable, eventGapObjective }: ForwardingRoute): number {
  return isRepeatable ? Math.max(MINIMUM_EVENT_GAP_TIMEOUT_MILLISECONDS, eventGapObjective * EVENT_GAP_TIMEOUT_OBJECTIVES) : Infinity
}

/** Whether the request should go through another instance, or back to the one that it came from. */
function isOutOfReach (context: PlanContext, isDirect: boolean, now: number): boolean {
  const { reach, relayedFrom, service, fields } = context
  if (relayedFrom !== undefined) return reach.isCut(service)
  return !isDirect && canBeRelayed(context) && !reach.mayReach(service, fields.requestId ?? '', now)
}

/** Whether the request may go through another instance; it does so once at most. */
function canBeRelayed ({ relays, relayedFrom }: PlanContext): boolean {
  return relayedFrom === undefined && relays.hasTargets
}

/** Whether the route, the retry budget and the servers, or another instance, allow another attempt after the running one. */
function isReplaceable (context: PlanContext, model: string | undefined, sentAttempts: number, triedServers: ReadonlySet<string>): boolean {
  const { route, retryBudget, service, clock, reach, relays } = context
  const now = clock.monotonic()
  if (!route.isRepeatable || sentAttempts + 1 >= route.maximumAttempts || !retryBudget.hasRetryLeft(service, now)) return false
  return reach.isCut(service) && relays.hasTargets ? canBeRelayed(context) && relays.isAvailable(service, now) : isServerChosen(chooseServer(context, model, triedServers))
}

/** Whether every server has more known work before the prompt than there is time, so that the request would only wait for its deadline. */
function isTooBusy (context: PlanContext, model: string | undefined, { selection, versionRule }: ChosenServer, triedServers: ReadonlySet<string>, now: number): boolean {
  const { workOrders, service, selector, deadline } = context
  if (model === undefined || !workOrders.isPriorityFirst(service) || selection.explainedTimeToFirstEvent <= deadline - now) return false
  // The selected server is the best one of those that the request should go to, which may be those of its zone.
  const request = { ...describeSelection(context, model, triedServers), allowsVersion: (version: string) => versionRule.isAllowed(version, triedServers.size > 0) }
  return selector.shortestExplainedTime(request, now) > deadline - now
}

/** Whether the request may be moved before its first event. It is where instances know the load of all servers from each other. */
function isMovable ({ workOrders, service, route }: PlanContext, model: string | undefined, resumeAfter: string | undefined): boolean {
  return model !== undefined && route.isRepeatable && resumeAfter === undefined && workOrders.isPriorityFirst(service)
}

/** Whether the route and the retry budget allow another attempt, and another server is expected to answer it within the objective. */
function isMoveInTime (context: PlanContext, model: string | undefined, sentAttempts: number, triedServers: ReadonlySet<string>): boolean {
  const { route, retryBudget, service, clock, arrivedAt } = context
  const now = clock.monotonic()
  if (sentAttempts + 1 >= route.maximumAttempts || !retryBudget.hasRetryLeft(service, now)) return false
  const other = chooseServer(context, model, triedServers)
  return isServerChosen(other) && isWorthMoving(arrivedAt + route.objective - now, other.selection)
}

function isServerChosen (choice: ChosenServer | ColdWait | undefined): choice is ChosenServer {
  return choice !== undefined && !('wait' in choice)
}

export function decideWithoutAnswer (context: PlanContext, mayHaveRun: boolean, code: RefusalCode): FinalDecision {
  const { selector, service, clock } = context
  if (mayHaveRun) return { kind: 'fail', code: code === 'too_late' ? 'timeout' : 'answer_lost' }
  const limitDelay = code === 'too_late' ? undefined : selector.refuseForLimits(service)
  if (limitDelay !== undefined) return { kind: 'refuse', code: 'servers_limited', retryAfter: limitDelay }
  if (code === 'servers_cold' || code === 'servers_busy') return { kind: 'refuse', code, retryAfter: returnTime(context) }
  if (code === 'no_server' && selector.isEvacuated(service)) return { kind: 'refuse', code: 'servers_evacuated', retryAfter: EVACUATED_RETRY_AFTER_MILLISECONDS + returnTime(context) }
  return { kind: 'refuse', code, retryAfter: Math.max(DEFAULT_RETRY_AFTER_MILLISECONDS, selector.timeUntilReach(service, clock.monotonic()) ?? 0) }
}

/** Milliseconds after which a refused caller returns. The most urgent return first, and callers of one urgency spread over a second. */
function returnTime ({ priority, fields }: PlanContext): number {
  return DEFAULT_RETRY_AFTER_MILLISECONDS * (1 + boundPriority(priority)) + rendezvousShare(fields.requestId ?? '', 'return') * RETURN_SPREAD_MILLISECONDS
}
