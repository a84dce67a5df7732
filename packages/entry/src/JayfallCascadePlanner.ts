/**
 * Plans the steps of cascade requests in one data thread, from the responses that the thread has observed and from
 * the ratings that the control thread sends.
 */

import { type CascadeEntry, type ReadonlyCatalogue } from '#jayfall/catalogue'
import { ANSWER_SIGNALS, EXPLORED_PART, mayEscalate, planCascade, policyOf, QualityEstimates, type AnswerSignal, type CascadePlan, type KindPolicy, type QualitySnapshot, type StepPrior } from '#jayfall/rollout'
import { type Clock, type RandomSource } from '#jayfall/shared'

/** Interval after which the plan of a cascade is computed again. */
const PLAN_INTERVAL_MILLISECONDS = 5000
/** Weight of the newest value in the exponential moving averages of token counts and durations. */
const MOVING_AVERAGE_WEIGHT = 0.05
/** Duration that is assumed for a step that has not run yet. */
const DEFAULT_STEP_DURATION_MILLISECONDS = 2000

/** Mean token counts of a request and its response. */
interface TokenMeans {
  readonly promptTokens: number
  readonly outputTokens: number
}

/** What the thread has learned about one cascade. */
interface CascadeState {
  /** Counts of the requests and responses in this thread. */
  readonly localEstimates: QualityEstimates
  /** Mean token counts by kind of request. */
  readonly tokens: Map<string, TokenMeans>
  /** Mean duration of each step in milliseconds. */
  readonly durations: number[]
  plan?: CascadePlan
  /** Monotonic milliseconds. */
  plannedAt: number
}

/** The plan for one request. */
export interface CascadeRoute {
  readonly firstStep: number
  /** Whether a response of `step` with this signal is delivered instead of starting the next step. */
  isAcceptable (step: number, signal: AnswerSignal): boolean
}

/** A completed response of one step. */
export interface StepResponse extends TokenMeans {
  readonly kind: string
  readonly step: number
  readonly signal: AnswerSignal
  /** Duration of the step in milliseconds. */
  readonly duration: number
}

/** Plans requests for all cascades of one data thread. */
export class CascadePlanner {
  private readonly states = new Map<string, CascadeState>()
  private ratings: Readonly<Record<string, QualitySnapshot>> = {}
  private ratedEstimates: ReadonlyMap<string, QualityEstimates> = new Map()

  constructor (private readonly catalogue: ReadonlyCatalogue, private readonly clock: Clock, private readonly random: RandomSource) {}

  updateRatings (ratings: Readonly<Record<string, QualitySnapshot>>): void {
    this.ratings = ratings
    this.ratedEstimates = new Map(Object.entries(ratings).map(([cascade, snapshot]) => [cascade, new QualityEstimates(snapshot)]))
  }

  /** Plans a new request and counts it. A cascade without ratings starts with the last step. */
  planRoute (cascade: CascadeEntry, kind: string): CascadeRoute {
    const state = this.findState(cascade.id)
    state.localEstimates.addRequest(kind)
    const lastStep = cascade.steps.length - 1
    const policy: KindPolicy | undefined = this.ratings[cascade.id] === undefined ? undefined : policyOf(this.currentPlan(cascade, state), kind, this.random.uniform())
    const plannedStep = Math.min(lastStep, policy?.firstStep ?? lastStep)
    return {
      firstStep: this.random.chance(EXPLORED_PART) ? this.random.integer(0, plannedStep) : plannedStep,
      isAcceptable: (step, signal) => step >= lastStep || (policy?.delivers[step]?.[signalIndex(signal)] ?? false)
    }
  }

  recordResponse (cascade: CascadeEntry, { kind, step, signal, promptTokens, outputTokens, duration }: StepResponse): void {
    const state = this.findState(cascade.id)
    state.localEstimates.addAnswer(kind, step, signal)
    const means = state.tokens.get(kind)
    state.tokens.set(kind, { promptTokens: updateMovingAverage(means?.promptTokens, promptTokens), outputTokens: updateMovingAverage(means?.outputTokens, outputTokens) })
    state.durations[step] = updateMovingAverage(state.durations[step], duration)
  }

  /** Whether the remaining time (in milliseconds) and the budget allow `nextStep` after steps that cost `spentCost`. */
  mayEscalate (cascade: CascadeEntry, kind: string, nextStep: number, timeLeft: number, spentCost: number): boolean {
    const state = this.findState(cascade.id)
    const costs = this.createPriors(cascade, state).map(prior => prior.cost(kind))
    return mayEscalate({ timeLeft, nextDuration: state.durations[nextStep] ?? DEFAULT_STEP_DURATION_MILLISECONDS, spent: spentCost, nextCost: costs[nextStep], highestStepCost: Math.max(...costs) })
  }

  /** Expected cost of one response of a step, in the currency of the catalogue's prices. */
  expectedCost (cascade: CascadeEntry, kind: string, step: number): number {
    return this.createPriors(cascade, this.findState(cascade.id))[step].cost(kind)
  }

  /** Factor on the probability with which a response is offered for rating. */
  offerBoost (cascade: CascadeEntry, kind: string, step: number, signal: AnswerSignal): number {
    return this.ratedEstimates.get(cascade.id)?.ratingOfferFactor(kind, step, signal) ?? 1
  }

  private findState (cascade: string): CascadeState {
    let state = this.states.get(cascade)
    if (state === undefined) {
      state = { localEstimates: new QualityEstimates(), tokens: new Map(), durations: [], plannedAt: -Infinity }
      this.states.set(cascade, state)
    }
    return state
  }

  private currentPlan (cascade: CascadeEntry, state: CascadeState): CascadePlan {
    const now = this.clock.monotonic()
    if (state.plan !== undefined && now - state.plannedAt < PLAN_INTERVAL_MILLISECONDS) return state.plan
    const estimates = new QualityEstimates(this.ratings[cascade.id])
    for (const [kind, tally] of Object.entries(state.localEstimates.snapshot())) estimates.merge(kind, tally)
    state.plan = planCascade(estimates.models(this.createPriors(cascade, state)), cascade.qualityTarget)
    state.plannedAt = now
    return state.plan
  }

  private createPriors (cascade: CascadeEntry, state: CascadeState): readonly StepPrior[] {
    return cascade.steps.map(id => {
      const version = this.catalogue.get('version', id)
      const { promptPerMillionTokens = 0, outputPerMillionTokens = 0 } = version?.price ?? {}
      return {
        quality: version?.quality ?? 0,
        cost: kind => {
          const { promptTokens, outputTokens } = state.tokens.get(kind) ?? { promptTokens: 1000, outputTokens: 300 }
          return (promptTokens * promptPerMillionTokens + outputTokens * outputPerMillionTokens) / 1e6
        }
      }
    })
  }
}

function signalIndex (signal: AnswerSignal): number {
  return ANSWER_SIGNALS.indexOf(signal)
}

function updateMovingAverage (mean: number | undefined, value: number): number {
  return mean === undefined ? value : mean + MOVING_AVERAGE_WEIGHT * (value - mean)
}
