/**
 * The plan of a cascade: which step answers a request first, and which answers are delivered.
 *
 * The quality weight, a Lagrange multiplier, states how much cost one unit of quality justifies.
 * For a given weight, the best policy of each request kind follows by backward induction over the
 * steps: an answer is delivered when its weighted expected quality is at least the value of
 * continuing, which is the weighted quality that the next step is expected to reach, less its cost.
 * One weight for all kinds makes the plan the cheapest that reaches the target over all of the
 * cascade's requests.
 */

import { PLAN_MARGIN_STANDARD_ERRORS, REQUEST_BUDGET_FACTOR } from './JayfallRolloutConstants'

/** What is known about the answers of one step to requests of one kind. */
export interface StepModel {
  /** Expected cost of one answer, in the currency of the catalogue's prices. */
  readonly cost: number
  /** Variance of the error of `quality` that all kinds share. */
  readonly sharedVariance: number
  /** Models of the answers by signal, from the least to the most promising signal. */
  readonly signals: readonly SignalModel[]
}

/** What is known about the answers that show one signal. */
export interface SignalModel {
  /** The fraction of the step's answers that show the signal. */
  readonly part: number
  /** Expected quality of these answers, 0 to 1. */
  readonly quality: number
  /** Variance of the error of `quality` that is independent of the other signals. */
  readonly variance: number
  /** Standard deviation of the error of `quality` that all signals of the kind and step share. */
  readonly commonDeviation: number
}

/** What is known about one request kind. */
export interface KindModel {
  readonly kind: string
  /** The fraction of the cascade's requests that are of this kind. */
  readonly part: number
  readonly steps: readonly StepModel[]
}

/** How requests of one kind are answered. */
export interface KindPolicy {
  /** Index of the step that answers first. */
  readonly firstStep: number
  /** For each step and signal, whether the answer is delivered instead of escalated to the next step. */
  readonly delivers: readonly (readonly boolean[])[]
}

/** Two neighbouring sets of policies, by request kind, and the fraction of requests to which the costlier one applies. */
export interface CascadePlan {
  readonly cheaperPolicies: ReadonlyMap<string, KindPolicy>
  readonly costlierPolicies: ReadonlyMap<string, KindPolicy>
  readonly costlierFraction: number
  readonly expected: Pick<PolicyOutcome, 'quality' | 'cost'>
}

/** Expected outcome of one request. */
export interface PolicyOutcome {
  readonly quality: number
  readonly cost: number
  /** Variance of the estimate of `quality`, without the errors that kinds share. */
  readonly variance: number
  /** For each step, the fraction of requests to which its answer is delivered. */
  readonly delivered: readonly number[]
}

/** Bounds on the quality weight, as multiples of the cost of the most expensive step. */
const MINIMUM_QUALITY_WEIGHT = 1e-4
const MAXIMUM_QUALITY_WEIGHT = 1e4
const BISECTION_STEPS = 30

/** Returns the cheapest plan whose quality, less a margin for the errors of the estimates, reaches `target`, or the plan of the highest quality when none does. */
export function planCascade (kinds: readonly KindModel[], target: number): CascadePlan {
  const highestStepCost = Math.max(...kinds.flatMap(({ steps }) => steps.map(({ cost }) => cost)), Number.MIN_VALUE)
  const evaluate = (qualityWeight: number): Candidate => evaluateQualityWeight(kinds, qualityWeight * highestStepCost)
  let cheaper = evaluate(MINIMUM_QUALITY_WEIGHT)
  let costlier = evaluate(MAXIMUM_QUALITY_WEIGHT)
  if (cheaper.qualityLowerBound >= target) return interpolatePlan(cheaper, cheaper, 1)
  if (costlier.qualityLowerBound < target) return interpolatePlan(costlier, costlier, 1)
  for (let [lowWeight, highWeight, round] = [MINIMUM_QUALITY_WEIGHT, MAXIMUM_QUALITY_WEIGHT, 0]; round < BISECTION_STEPS; round++) {
    const middleWeight = Math.sqrt(lowWeight * highWeight)
    const candidate = evaluate(middleWeight)
    if (candidate.qualityLowerBound >= target) [costlier, highWeight] = [candidate, middleWeight]
    else [cheaper, lowWeight] = [candidate, middleWeight]
  }
  return interpolatePlan(cheaper, costlier, (target - cheaper.qualityLowerBound) / (costlier.qualityLowerBound - cheaper.qualityLowerBound))
}

/** Returns the policy for a request. `position` is a uniform random number in [0, 1) that stays the same for all steps of the request. */
export function policyOf (plan: CascadePlan, kind: string, position: number): KindPolicy | undefined {
  return (position < plan.costlierFraction ? plan.costlierPolicies : plan.cheaperPolicies).get(kind)
}

/** What a request has used so far and what the next step would add. */
export interface EscalationLimits {
  /** Time until the cascade's deadline, in milliseconds. */
  readonly timeLeft: number
  /** Expected duration of the next step, in milliseconds. */
  readonly nextDuration: number
  /** Cost of the steps so far. */
  readonly spent: number
  readonly nextCost: number
  /** Cost of the most expensive step of the cascade. */
  readonly highestStepCost: number
}

/** Returns whether an answer that is not good enough may be replaced by one of the next step. */
export function mayEscalate ({ timeLeft, nextDuration, spent, nextCost, highestStepCost }: EscalationLimits): boolean {
  return nextDuration <= timeLeft && spent + nextCost <= REQUEST_BUDGET_FACTOR * highestStepCost
}

/** Policies for one quality weight and their expected outcome. */
interface Candidate {
  readonly policies: ReadonlyMap<string, KindPolicy>
  readonly outcome: PolicyOutcome
  /** The expected quality less the margin for the errors of the estimates. */
  readonly qualityLowerBound: number
}

/** Returns the best policies for `qualityWeight`, which is in units of cost for one unit of quality, and their expected outcome. */
function evaluateQualityWeight (kinds: readonly KindModel[], qualityWeight: number): Candidate {
  const policies = new Map<string, KindPolicy>()
  let [quality, cost, variance] = [0, 0, 0]
  const delivered = (kinds[0]?.steps ?? []).map(() => 0)
  for (const kind of kinds) {
    const policy = findBestPolicy(kind.steps, qualityWeight)
    const outcome = evaluatePolicy(kind.steps, policy)
    policies.set(kind.kind, policy)
    quality += kind.part * outcome.quality
    cost += kind.part * outcome.cost
    variance += kind.part * kind.part * outcome.variance
    outcome.delivered.forEach((part, step) => { delivered[step] += kind.part * part })
  }
  const sharedVariance = delivered.reduce((sum, part, step) => sum + part * part * kinds[0].steps[step].sharedVariance, 0)
  return { policies, outcome: { quality, cost, variance, delivered }, qualityLowerBound: quality - PLAN_MARGIN_STANDARD_ERRORS * Math.sqrt(variance + sharedVariance) }
}

/** Returns the policy with the highest value, which is the weighted quality less the cost, by backward induction over the steps. */
function findBestPolicy (steps: readonly StepModel[], qualityWeight: number): KindPolicy {
  const delivers: (readonly boolean[])[] = []
  let [continuationValue, firstStep, bestValue] = [-Infinity, 0, -Infinity]
  for (let step = steps.length - 1; step >= 0; step--) {
    const { signals, cost } = steps[step]
    const choices = signals.map(({ quality }) => qualityWeight * quality >= continuationValue)
    const value = signals.reduce((sum, { part, quality }) => sum + part * Math.max(qualityWeight * quality, continuationValue), 0) - cost
    delivers.unshift(choices)
    if (value >= bestValue) [bestValue, firstStep] = [value, step]
    continuationValue = value
  }
  return { firstStep, delivers }
}

/** Returns the expected outcome of one request of a kind under a policy. */
export function evaluatePolicy (steps: readonly StepModel[], { firstStep, delivers }: KindPolicy): PolicyOutcome {
  let [reachedFraction, quality, cost, variance] = [1, 0, 0, 0]
  const delivered = steps.map(() => 0)
  for (let step = firstStep; step < steps.length; step++) {
    cost += reachedFraction * steps[step].cost
    let [escalatedFraction, commonDeviation] = [0, 0]
    steps[step].signals.forEach((signal, index) => {
      const fraction = reachedFraction * signal.part
      if (!delivers[step][index]) {
        escalatedFraction += fraction
        return
      }
      quality += fraction * signal.quality
      variance += fraction * fraction * signal.variance
      commonDeviation += fraction * signal.commonDeviation
    })
    variance += commonDeviation * commonDeviation
    delivered[step] = reachedFraction - escalatedFraction
    reachedFraction = escalatedFraction
  }
  return { quality, cost, variance, delivered }
}

/** Returns a plan that applies the costlier policies to a fraction of the requests. */
function interpolatePlan (cheaper: Candidate, costlier: Candidate, costlierFraction: number): CascadePlan {
  const interpolate = (field: 'quality' | 'cost'): number => costlierFraction * costlier.outcome[field] + (1 - costlierFraction) * cheaper.outcome[field]
  return { cheaperPolicies: cheaper.policies, costlierPolicies: costlier.policies, costlierFraction, expected: { quality: interpolate('quality'), cost: interpolate('cost') } }
}
