/** What one data thread knows about its cascades: answers it has seen, ratings from the control thread, and plans. */

import { type CascadeEntry, type ReadonlyCatalogue } from '#jayfall/catalogue'
import { ANSWER_SIGNALS, EXPLORED_PART, mayEscalate, planCascade, policyOf, QualityEstimates, type AnswerSignal, type CascadePlan, type KindPolicy, type QualitySnapshot, type StepPrior } from '#jayfall/rollout'
import { type Clock, type RandomSource } from '#jayfall/shared'

const PLAN_INTERVAL_MILLISECONDS = 5000
/** Weight of the newest value in means of tokens and durations. */
const MEAN_WEIGHT = 0.05
const DEFAULT_STEP_MILLISECONDS = 2000

interface TokenMeans {
  readonly promptTokens: number
  readonly outputTokens: number
}

/** One cascade. */
interface CascadeRow {
  /** Requests and answers that this thread has seen. */
  readonly seen: QualityEstimates
  readonly tokens: Map<string, TokenMeans>
  /** Mean milliseconds of each step. */
  readonly durations: number[]
  plan?: CascadePlan
  plannedAt: number
}

/** How one request goes through its cascade. */
export interface CascadeRoute {
  readonly firstStep: number
  /** Whether an answer of a step is good enough. */
  isGoodEnough (step: number, signal: AnswerSignal): boolean
}

/** An answer of one step. */
export interface StepAnswer extends TokenMeans {
  readonly kind: string
  readonly step: number
  readonly signal: AnswerSignal
  /** Milliseconds. */
  readonly duration: number
}

/** Cascades of one data thread. */
export class CascadeBook {
  private readonly rows = new Map<string, CascadeRow>()
  private ratings: Readonly<Record<string, QualitySnapshot>> = {}
  private rated: ReadonlyMap<string, QualityEstimates> = new Map()

  constructor (private readonly catalogue: ReadonlyCatalogue, private readonly clock: Clock, private readonly random: RandomSource) {}

  updateRatings (ratings: Readonly<Record<string, QualitySnapshot>>): void {
    this.ratings = ratings
    this.rated = new Map(Object.entries(ratings).map(([cascade, snapshot]) => [cascade, new QualityEstimates(snapshot)]))
  }

  /** Chooses the route of a new request and counts it. Without any rating the last step answers first. */
  route (cascade: CascadeEntry, kind: string): CascadeRoute {
    const row = this.row(cascade.id)
    row.seen.addRequest(kind)
    const last = cascade.steps.length - 1
    const policy: KindPolicy | undefined = this.ratings[cascade.id] === undefined ? undefined : policyOf(this.planOf(cascade, row), kind, this.random.uniform())
    const planned = Math.min(last, policy?.firstStep ?? last)
    return {
      firstStep: this.random.chance(EXPLORED_PART) ? this.random.integer(0, planned) : planned,
      isGoodEnough: (step, signal) => step >= last || (policy?.delivers[step]?.[signalIndex(signal)] ?? false)
    }
  }

  addAnswer (cascade: CascadeEntry, { kind, step, signal, promptTokens, outputTokens, duration }: StepAnswer): void {
    const row = this.row(cascade.id)
    row.seen.addAnswer(kind, step, signal)
    const means = row.tokens.get(kind)
    row.tokens.set(kind, { promptTokens: moveMean(means?.promptTokens, promptTokens), outputTokens: moveMean(means?.outputTokens, outputTokens) })
    row.durations[step] = moveMean(row.durations[step], duration)
  }

  /** Whether time and budget allow `nextStep` after the steps that cost `spent` so far. */
  mayEscalate (cascade: CascadeEntry, kind: string, nextStep: number, timeLeft: number, spent: number): boolean {
    const row = this.row(cascade.id)
    const costs = this.priors(cascade, row).map(prior => prior.cost(kind))
    return mayEscalate({ timeLeft, nextDuration: row.durations[nextStep] ?? DEFAULT_STEP_MILLISECONDS, spent, nextCost: costs[nextStep], highestStepCost: Math.max(...costs) })
  }

  /** Expected cost of one answer of a step. */
  costOf (cascade: CascadeEntry, kind: string, step: number): number {
    return this.priors(cascade, this.row(cascade.id))[step].cost(kind)
  }

  /** How much more often than others an answer should be offered for rating. */
  offerBoost (cascade: CascadeEntry, kind: string, step: number, signal: AnswerSignal): number {
    return this.rated.get(cascade.id)?.ratingOfferFactor(kind, step, signal) ?? 1
  }

  private row (cascade: string): CascadeRow {
    let row = this.rows.get(cascade)
    if (row === undefined) {
      row = { seen: new QualityEstimates(), tokens: new Map(), durations: [], plannedAt: -Infinity }
      this.rows.set(cascade, row)
    }
    return row
  }

  private planOf (cascade: CascadeEntry, row: CascadeRow): CascadePlan {
    const now = this.clock.monotonic()
    if (row.plan !== undefined && now - row.plannedAt < PLAN_INTERVAL_MILLISECONDS) return row.plan
    const estimates = new QualityEstimates(this.ratings[cascade.id])
    for (const [kind, tally] of Object.entries(row.seen.snapshot())) estimates.merge(kind, tally)
    row.plan = planCascade(estimates.models(this.priors(cascade, row)), cascade.qualityTarget)
    row.plannedAt = now
    return row.plan
  }

  private priors (cascade: CascadeEntry, row: CascadeRow): readonly StepPrior[] {
    return cascade.steps.map(id => {
      const version = this.catalogue.get('version', id)
      const { promptPerMillionTokens = 0, outputPerMillionTokens = 0 } = version?.price ?? {}
      return {
        quality: version?.quality ?? 0,
        cost: kind => {
          const { promptTokens, outputTokens } = row.tokens.get(kind) ?? { promptTokens: 1000, outputTokens: 300 }
          return (promptTokens * promptPerMillionTokens + outputTokens * outputPerMillionTokens) / 1e6
        }
      }
    })
  }
}

function signalIndex (signal: AnswerSignal): number {
  return ANSWER_SIGNALS.indexOf(signal)
}

function moveMean (mean: number | undefined, value: number): number {
  return mean === undefined ? value : mean + MEAN_WEIGHT * (value - mean)
}
