/**
 * Which step of a cascade answers a request first, and which answers are delivered.
 *
 * For a given worth of quality, the cheapest behaviour of each kind follows by backward induction
 * over the steps: an answer is delivered when its expected quality is worth at least what the next
 * step adds after its cost. One worth for all kinds makes the plan the cheapest that reaches the
 * target over all of the cascade's requests.
 */

import { PLAN_MARGIN_ERRORS, REQUEST_BUDGET_FACTOR } from './JayfallRolloutConstants'

/** What is known about the answers of one step to one kind. */
export interface StepModel {
  /** Expected cost of one answer. */
  readonly cost: number
  /** Variance of an error of `quality` that all kinds share. */
  readonly sharedVariance: number
  /** For each signal, from the least promising. */
  readonly signals: readonly SignalModel[]
}

/** What is known about answers that show one signal. */
export interface SignalModel {
  /** How often it is seen. */
  readonly part: number
  readonly quality: number
  /** Variance of the part of the quality's error that is this signal's own. */
  readonly variance: number
  /** Standard deviation of the part that all signals of the kind and step share. */
  readonly commonDeviation: number
}

/** What is known about one kind. */
export interface KindModel {
  readonly kind: string
  /** The part of the cascade's requests. */
  readonly part: number
  readonly steps: readonly StepModel[]
}

/** What to do with requests of one kind. */
export interface KindPolicy {
  readonly firstStep: number
  /** For each step and signal, whether the answer is good enough. */
  readonly delivers: readonly (readonly boolean[])[]
}

/** A plan: two neighbouring sets of policies and how often the dearer one applies. */
export interface CascadePlan {
  readonly cheap: ReadonlyMap<string, KindPolicy>
  readonly dear: ReadonlyMap<string, KindPolicy>
  readonly dearPart: number
  readonly expected: Pick<PolicyOutcome, 'quality' | 'cost'>
}

/** Expectation over one request. */
export interface PolicyOutcome {
  readonly quality: number
  readonly cost: number
  /** Of the quality's estimate, without the errors that kinds share. */
  readonly variance: number
  /** For each step, the part of requests that it answers. */
  readonly delivered: readonly number[]
}

const LOWEST_WORTH = 1e-4
const HIGHEST_WORTH = 1e4
const BISECTIONS = 30

/** The cheapest plan whose quality reaches `target` by a margin for the errors of the estimates; else the best there is. */
export function planCascade (kinds: readonly KindModel[], target: number): CascadePlan {
  const dearestCost = Math.max(...kinds.flatMap(({ steps }) => steps.map(({ cost }) => cost)), Number.MIN_VALUE)
  const evaluate = (worth: number): Candidate => evaluateWorth(kinds, worth * dearestCost)
  let low = evaluate(LOWEST_WORTH)
  let high = evaluate(HIGHEST_WORTH)
  if (low.surety >= target) return createPlan(low, low, 1)
  if (high.surety < target) return createPlan(high, high, 1)
  for (let [from, to, round] = [LOWEST_WORTH, HIGHEST_WORTH, 0]; round < BISECTIONS; round++) {
    const middle = Math.sqrt(from * to)
    const candidate = evaluate(middle)
    if (candidate.surety >= target) [high, to] = [candidate, middle]
    else [low, from] = [candidate, middle]
  }
  return createPlan(low, high, (target - low.surety) / (high.surety - low.surety))
}

/** The policy for a request; `position` is uniform in [0, 1) and the same for all steps of the request. */
export function policyOf (plan: CascadePlan, kind: string, position: number): KindPolicy | undefined {
  return (position < plan.dearPart ? plan.dear : plan.cheap).get(kind)
}

/** What a request has used so far and what the next step would add. */
export interface EscalationLimits {
  /** Milliseconds until the cascade's deadline. */
  readonly timeLeft: number
  /** Milliseconds that the next step is expected to take. */
  readonly nextDuration: number
  readonly spent: number
  readonly nextCost: number
  readonly highestStepCost: number
}

/** Whether an answer that is not good enough may be replaced by the next step's. */
export function mayEscalate ({ timeLeft, nextDuration, spent, nextCost, highestStepCost: dearestCost }: EscalationLimits): boolean {
  return nextDuration <= timeLeft && spent + nextCost <= REQUEST_BUDGET_FACTOR * dearestCost
}

interface Candidate {
  readonly policies: ReadonlyMap<string, KindPolicy>
  readonly outcome: PolicyOutcome
  /** The quality that is exceeded by the margin. */
  readonly surety: number
}

function evaluateWorth (kinds: readonly KindModel[], worth: number): Candidate {
  const policies = new Map<string, KindPolicy>()
  let [quality, cost, variance] = [0, 0, 0]
  const delivered = (kinds[0]?.steps ?? []).map(() => 0)
  for (const kind of kinds) {
    const policy = bestPolicy(kind.steps, worth)
    const outcome = evaluatePolicy(kind.steps, policy)
    policies.set(kind.kind, policy)
    quality += kind.part * outcome.quality
    cost += kind.part * outcome.cost
    variance += kind.part * kind.part * outcome.variance
    outcome.delivered.forEach((part, step) => { delivered[step] += kind.part * part })
  }
  const shared = delivered.reduce((sum, part, step) => sum + part * part * kinds[0].steps[step].sharedVariance, 0)
  return { policies, outcome: { quality, cost, variance, delivered }, surety: quality - PLAN_MARGIN_ERRORS * Math.sqrt(variance + shared) }
}

function bestPolicy (steps: readonly StepModel[], worth: number): KindPolicy {
  const delivers: (readonly boolean[])[] = []
  let [later, firstStep, best] = [-Infinity, 0, -Infinity]
  for (let step = steps.length - 1; step >= 0; step--) {
    const { signals, cost } = steps[step]
    const choices = signals.map(({ quality }) => worth * quality >= later)
    const value = signals.reduce((sum, { part, quality }) => sum + part * Math.max(worth * quality, later), 0) - cost
    delivers.unshift(choices)
    if (value >= best) [best, firstStep] = [value, step]
    later = value
  }
  return { firstStep, delivers }
}

/** The expectation over one request of a kind under `policy`. */
export function evaluatePolicy (steps: readonly StepModel[], { firstStep, delivers }: KindPolicy): PolicyOutcome {
  let [reached, quality, cost, variance] = [1, 0, 0, 0]
  const delivered = steps.map(() => 0)
  for (let step = firstStep; step < steps.length; step++) {
    cost += reached * steps[step].cost
    let [escalated, common] = [0, 0]
    steps[step].signals.forEach((signal, index) => {
      const part = reached * signal.part
      if (!delivers[step][index]) {
        escalated += part
        return
      }
      quality += part * signal.quality
      variance += part * part * signal.variance
      common += part * signal.commonDeviation
    })
    variance += common * common
    delivered[step] = reached - escalated
    reached = escalated
  }
  return { quality, cost, variance, delivered }
}

function createPlan (low: Candidate, high: Candidate, dearPart: number): CascadePlan {
  const mix = (field: 'quality' | 'cost'): number => dearPart * high.outcome[field] + (1 - dearPart) * low.outcome[field]
  return { cheap: low.policies, dear: high.policies, dearPart, expected: { quality: mix('quality'), cost: mix('cost') } }
}
