/**
 * The course of one request as a generator that touches no network.
 *
 * It yields one attempt at a time and is resumed with the attempt's result, until it returns the
 * final decision. What may be repeated follows from the route: a request that is not repeatable
 * is sent once more only when it certainly did not run.
 */

import { type Clock } from '#jayfall/shared'

import { type BackendChoice, type BackendChoiceResult } from './JayfallBackendChoice'
import { type BackendServer, type ForwardingRoute } from './JayfallForwardingCatalogue'
import {
  ANSWER_SILENCE_OBJECTIVES, DEFAULT_RETRY_AFTER, EVENT_SILENCE_GAPS, FIRST_EVENT_SILENCE_OBJECTIVES, MINIMUM_ANSWER_SILENCE, MINIMUM_ATTEMPT_TIME,
  MINIMUM_EVENT_SILENCE, MINIMUM_FIRST_EVENT_SILENCE
} from './JayfallForwardingConstants'
import { type CallerFields } from './JayfallForwardingProtocol'
import { confidenceThreshold } from './JayfallModelLadder'
import { type RetryBudget } from './JayfallRetryBudget'
import { type VersionPolicy, type VersionRule } from './JayfallVersionPolicy'

/** One attempt at one server. */
export interface AttemptPlan {
  readonly number: number
  readonly server: BackendServer
  readonly model: string | undefined
  /** Answers with less confidence are dropped before the caller has any of them. */
  readonly minimumConfidence: () => number
  /** The event after which the stream goes on; undefined for what the caller asked for. */
  readonly resumeAfter: string | undefined
  /** Monotonic milliseconds at which the attempt ends at the latest. */
  readonly deadline: number
  /** Milliseconds without an answer, or without a first event, after which the server counts as silent. */
  readonly answerSilence: number
  /** Milliseconds without a further event after which the server counts as silent. */
  readonly eventSilence: number
  /** Why this server was chosen; for the log. */
  readonly choice: BackendChoiceResult
  /** Why a server of this version was chosen; for the log. */
  readonly rule: VersionRule
}

interface ServerChoice {
  readonly choice: BackendChoiceResult
  readonly rule: VersionRule
}

/** How an attempt ended. */
export type AttemptResult =
  /** The caller has the whole answer, or the answer is ready for it. */
  | { readonly kind: 'answered' }
  /** The server failed the request with an answer of its own, which is ready for the caller. */
  | { readonly kind: 'failed', readonly status: number }
  /** No byte was sent. */
  | { readonly kind: 'unsent' }
  /** The server states that it did not run the request. */
  | { readonly kind: 'not_run', readonly status: number }
  /** The answer broke off, or is not the server's; the request may have run. */
  | { readonly kind: 'broken', readonly cause: string }
  | { readonly kind: 'silent' }
  /** The answer was dropped because its model was not sure enough. */
  | { readonly kind: 'unsure', readonly confidence: number }
  /** The request's time ended during the attempt. */
  | { readonly kind: 'expired' }
  | { readonly kind: 'caller_left' }

/** What the caller gets in the end. */
export type FinalDecision =
  /** The answer of the last attempt. */
  | { readonly kind: 'deliver' }
  | { readonly kind: 'refuse', readonly code: RefusalCode, readonly retryAfter: number }
  /** The outcome is not known, or known to be a failure that was not the server's own answer. */
  | { readonly kind: 'fail', readonly code: FailureCode }
  | { readonly kind: 'none' }

/** Refusals promise that the request has not run. */
export type RefusalCode = 'no_server' | 'servers_full' | 'too_late'
export type FailureCode = 'answer_lost' | 'timeout'

export interface PlanContext {
  readonly route: ForwardingRoute
  readonly service: string
  /** Requests of one session stay on one version. */
  readonly session: string
  /** Whether other requests may belong to the same session. */
  readonly isSession: boolean
  readonly fields: CallerFields
  /** Monotonic milliseconds. */
  readonly arrivedAt: number
  readonly deadline: number
  readonly clock: Clock
  readonly choice: BackendChoice
  readonly budget: RetryBudget
  readonly versions: VersionPolicy
  /** The last event that the caller has; undefined before the first. */
  readonly lastDelivered: () => string | undefined
}

export function * planAttempts (context: PlanContext): Generator<AttemptPlan, FinalDecision, AttemptResult> {
  const { route, clock, deadline, budget, service } = context
  const tried = new Set<string>()
  let sends = 0
  let mayHaveRun = false
  let model = route.models[0] ?? context.fields.model
  let previous: AttemptResult | undefined
  for (let number = 1; ; number++) {
    const now = clock.monotonic()
    if (deadline - now < MINIMUM_ATTEMPT_TIME) return endWithoutAnswer(mayHaveRun, 'too_late')
    const chosen = chooseServer(context, model, tried)
    // Only what may have reached a server counts as a repeat.
    const isRepeat = previous !== undefined && previous.kind !== 'unsent'
    if (chosen === undefined || (isRepeat && !budget.trySpend(service, now))) {
      if (previous?.kind === 'failed') return { kind: 'deliver' }
      return endWithoutAnswer(mayHaveRun, tried.size === 0 ? 'no_server' : 'servers_full')
    }
    const result: AttemptResult = yield createPlan(context, chosen, model, number, sends)
    previous = result
    if (result.kind !== 'unsent') sends++
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
        mayHaveRun = true
    }
    tried.add(chosen.choice.row.server.id)
    const isSurelyNotRun = result.kind === 'unsent' || result.kind === 'not_run'
    if ((isSurelyNotRun || route.isRepeatable) && sends < route.maximumAttempts) continue
    if (result.kind === 'failed') return { kind: 'deliver' }
    return endWithoutAnswer(mayHaveRun, 'servers_full')
  }
}

/**
 * How sure the answer of `model` must be, asked when the model has said how sure it is.
 * Asking a larger model takes one repeat out of the budget, and one attempt of the route.
 */
function minimumConfidence (context: PlanContext, model: string | undefined, sends: number): number {
  const { route, clock, budget, service, arrivedAt, lastDelivered } = context
  const largest = route.models.at(-1)
  if (largest === undefined || model === largest || !route.isRepeatable || sends + 1 >= route.maximumAttempts || lastDelivered() !== undefined) return 0
  const now = clock.monotonic()
  const next = budget.hasRoom(service, now) ? chooseServer(context, largest, new Set()) : undefined
  return next === undefined ? 0 : confidenceThreshold(next.choice.firstEvent, arrivedAt + route.objective - now)
}

function chooseServer (context: PlanContext, model: string | undefined, tried: ReadonlySet<string>): ServerChoice | undefined {
  const { service, session, isSession, fields, clock, choice, versions } = context
  const now = clock.monotonic()
  const rule = versions.ruleFor(service, session, now, isSession)
  const request = { service, model, promptTokens: fields.promptTokens, outputTokens: fields.maximumOutputTokens, parts: fields.promptParts, tried }
  const found = choice.choose({ ...request, allowsVersion: rule.prefers }, now) ?? choice.choose({ ...request, allowsVersion: version => rule.allows(version, tried.size > 0) }, now)
  return found === undefined ? undefined : { choice: found, rule }
}

function createPlan (context: PlanContext, { choice, rule }: ServerChoice, model: string | undefined, number: number, sends: number): AttemptPlan {
  const { route, deadline, lastDelivered } = context
  const resumeAfter = lastDelivered()
  const answerSilence = route.isStream
    ? Math.max(MINIMUM_FIRST_EVENT_SILENCE, route.objective * FIRST_EVENT_SILENCE_OBJECTIVES)
    : Math.max(MINIMUM_ANSWER_SILENCE, route.objective * ANSWER_SILENCE_OBJECTIVES)
  return {
    number,
    server: choice.row.server,
    model,
    minimumConfidence: () => minimumConfidence(context, model, sends),
    resumeAfter,
    deadline,
    // A request that must not run twice has nowhere else to go, so silence does not end it.
    answerSilence: route.isRepeatable ? answerSilence : Infinity,
    eventSilence: route.isRepeatable ? Math.max(MINIMUM_EVENT_SILENCE, route.eventGapObjective * EVENT_SILENCE_GAPS) : Infinity,
    choice,
    rule
  }
}

function endWithoutAnswer (mayHaveRun: boolean, code: RefusalCode): FinalDecision {
  if (!mayHaveRun) return { kind: 'refuse', code, retryAfter: DEFAULT_RETRY_AFTER }
  return { kind: 'fail', code: code === 'too_late' ? 'timeout' : 'answer_lost' }
}
