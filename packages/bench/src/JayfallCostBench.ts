/**
 * `cost`: a cascade of three versions whose quality for each request kind is known only through
 * late and sparse ratings.
 *
 * The oracle knows the quality of each step for each kind and how well signals tell good answers
 * from bad ones, but not which answers are good. The cost includes learning from nothing.
 *
 * The quality of a window of requests is the share of its answers that were good. The mean
 * probability that they are good, given their kind, step and signal, is printed beside it.
 */

import { ANSWER_SIGNALS, EXPLORED_PART, planCascade, policyOf, QualityEstimates, type AnswerSignal, type CascadePlan, type KindModel, type StepPrior } from '#jayfall/rollout'
import { RandomSource } from '#jayfall/shared'

import { Bench, type BenchOptions, type BenchResult } from './JayfallBench'
import { mean } from './JayfallStatistics'

const SEEDS = 10
/** A day of 40 requests a second. */
const REQUESTS = 3_456_000
const KINDS = 24
/** Ratings for each request. */
const RATED_PART = 0.02
/** Requests during which a rating is on its way, in the mean; five minutes. */
const RATING_LAG = 12_000
const PLAN_INTERVAL = 2000
/** Requests over which the delivered quality is measured. */
const WINDOW = 24_000
const TARGET = 0.9
const PRICES = [1, 5, 25]
const CATALOGUE_QUALITY = [0.7, 0.85, 0.95]
/** Loss of quality of each step for the hardest kind. */
const LOSSES = [0.6, 0.25, 0.1]
/** How often good and bad answers show each signal. */
const GOOD_SIGNALS = [0.1, 0.3, 0.6]
const BAD_SIGNALS = [0.6, 0.3, 0.1]
/** Standard deviation of the logarithm of a signal's frequency between kinds. */
const SIGNAL_DEVIATION = 0.2
const BEST = PRICES.length - 1

const BEST_COST_BOUND = 0.6
const ORACLE_BOUND = 1.1
const QUALITY_LOSS_BOUND = 0.01

/** The truth about one kind. */
interface TrueKind {
  readonly kind: string
  readonly part: number
  /** Cost factor of the kind's prompts and answers. */
  readonly length: number
  /** Quality of each step. */
  readonly qualities: readonly number[]
  /** For each step, how often good and bad answers show each signal. */
  readonly goodSignals: readonly (readonly number[])[]
  readonly badSignals: readonly (readonly number[])[]
}

/** A delivered answer. */
interface Delivered {
  /** Of all steps. */
  readonly cost: number
  readonly isGood: boolean
  readonly quality: number
}

interface Run {
  readonly cost: number
  readonly bestCost: number
  readonly oracleCost: number
  /** Lowest expected quality of a window. */
  readonly lowestQuality: number
  /** Lowest share of good answers of a window. */
  readonly lowestGoodPart: number
  readonly meanQuality: number
}

interface LateRating {
  readonly kind: string
  readonly step: number
  readonly signal: AnswerSignal
  readonly score: number
}

function createKinds (random: RandomSource): readonly TrueKind[] {
  const kinds = Array.from({ length: KINDS }, (_, index) => ({ difficulty: random.uniform(), weight: 1 / (index + 1), length: 0.5 + random.uniform() }))
  const total = kinds.reduce((sum, { weight }) => sum + weight, 0)
  return kinds.map(({ difficulty, weight, length }, index) => ({
    kind: `kind-${index}`,
    part: weight / total,
    length,
    qualities: LOSSES.map(loss => 1 - loss * difficulty),
    goodSignals: LOSSES.map(() => vary(random, GOOD_SIGNALS)),
    badSignals: LOSSES.map(() => vary(random, BAD_SIGNALS))
  }))
}

/** The probability that an answer that shows a signal is good. */
function qualityGiven (quality: number, goodSignals: readonly number[], badSignals: readonly number[], signal: number): number {
  const good = quality * goodSignals[signal]
  return good / (good + (1 - quality) * badSignals[signal])
}

/** Signals mean something else in each kind. */
function vary (random: RandomSource, parts: readonly number[]): readonly number[] {
  const varied = parts.map(part => part * Math.exp(random.normal(0, SIGNAL_DEVIATION)))
  const total = varied.reduce((sum, part) => sum + part, 0)
  return varied.map(part => part / total)
}

function trueModels (kinds: readonly TrueKind[]): readonly KindModel[] {
  return kinds.map(({ kind, part, length, qualities, goodSignals, badSignals }) => ({
    kind,
    part,
    steps: qualities.map((quality, step) => ({
      cost: PRICES[step] * length,
      sharedVariance: 0,
      signals: ANSWER_SIGNALS.map((_, index) => {
        const signalPart = quality * goodSignals[step][index] + (1 - quality) * badSignals[step][index]
        return { part: signalPart, quality: qualityGiven(quality, goodSignals[step], badSignals[step], index), variance: 0, commonDeviation: 0 }
      })
    }))
  }))
}

/** Ratings that the service has accepted and not delivered. */
class RatingService {
  private readonly due = new Map<number, LateRating[]>()
  private accepted = 0

  constructor (private readonly random: RandomSource) {}

  /** Offers an answer; the service accepts up to its rate. */
  offer (rating: LateRating, request: number): void {
    if (this.accepted > request * RATED_PART) return
    this.accepted++
    const tick = Math.ceil((request + this.random.exponential(RATING_LAG)) / PLAN_INTERVAL)
    const list = this.due.get(tick) ?? []
    list.push(rating)
    this.due.set(tick, list)
  }

  take (tick: number): readonly LateRating[] {
    const ratings = this.due.get(tick) ?? []
    this.due.delete(tick)
    return ratings
  }
}

/** Answers requests by what the ratings have shown so far. */
class LearningCascade {
  private readonly estimates = new QualityEstimates()
  private readonly priors: readonly StepPrior[]
  private plan: CascadePlan | undefined

  constructor (kinds: readonly TrueKind[], private readonly random: RandomSource, private readonly service: RatingService) {
    const lengths = new Map(kinds.map(({ kind, length }) => [kind, length]))
    this.priors = PRICES.map((price, step) => ({ quality: CATALOGUE_QUALITY[step], cost: kind => price * (lengths.get(kind) ?? 1) }))
  }

  update (tick: number): void {
    for (const { kind, step, signal, score } of this.service.take(tick)) this.estimates.addRating(kind, step, signal, score)
    this.plan = planCascade(this.estimates.models(this.priors), TARGET)
  }

  /** Answers one request; returns its cost and whether the delivered answer was good. */
  answer ({ kind, length, qualities, goodSignals, badSignals }: TrueKind, request: number): Delivered {
    const policy = this.plan === undefined ? undefined : policyOf(this.plan, kind, this.random.uniform())
    const planned = policy?.firstStep ?? BEST
    const first = this.random.chance(EXPLORED_PART) ? this.random.integer(0, planned) : planned
    this.estimates.addRequest(kind)
    for (let [step, cost] = [first, 0]; ; step++) {
      cost += PRICES[step] * length
      const isGood = this.random.chance(qualities[step])
      const signal = drawSignal(this.random, (isGood ? goodSignals : badSignals)[step])
      this.estimates.addAnswer(kind, step, signal)
      if (this.random.chance(RATED_PART * this.estimates.ratingOfferFactor(kind, step, signal))) this.service.offer({ kind, step, signal, score: isGood ? 1 : 0 }, request)
      if (step === BEST || policy?.delivers[step][ANSWER_SIGNALS.indexOf(signal)] === true) {
        return { cost, isGood, quality: qualityGiven(qualities[step], goodSignals[step], badSignals[step], ANSWER_SIGNALS.indexOf(signal)) }
      }
    }
  }
}

function drawSignal (random: RandomSource, parts: readonly number[]): AnswerSignal {
  const position = random.uniform()
  return ANSWER_SIGNALS[position < parts[0] ? 0 : position < parts[0] + parts[1] ? 1 : 2]
}

function runSeed (seed: number): Run {
  const random = new RandomSource(seed)
  const kinds = createKinds(random)
  const oracle = planCascade(trueModels(kinds), TARGET).expected
  const cascade = new LearningCascade(kinds, random, new RatingService(random))
  const qualities: number[] = []
  const goodParts: number[] = []
  let [cost, bestCost, quality, good] = [0, 0, 0, 0]
  for (let request = 0; request < REQUESTS; request++) {
    if (request % PLAN_INTERVAL === 0) cascade.update(request / PLAN_INTERVAL)
    const kind = drawKind(random, kinds)
    const answer = cascade.answer(kind, request)
    cost += answer.cost
    bestCost += PRICES[BEST] * kind.length
    quality += answer.quality
    good += answer.isGood ? 1 : 0
    if ((request + 1) % WINDOW !== 0) continue
    qualities.push(quality / WINDOW)
    goodParts.push(good / WINDOW)
    quality = good = 0
  }
  return { cost, bestCost, oracleCost: oracle.cost * REQUESTS, lowestQuality: Math.min(...qualities), lowestGoodPart: Math.min(...goodParts), meanQuality: mean(qualities) }
}

function drawKind (random: RandomSource, kinds: readonly TrueKind[]): TrueKind {
  let position = random.uniform()
  for (const kind of kinds) {
    position -= kind.part
    if (position < 0) return kind
  }
  return kinds[kinds.length - 1]
}

export class CostBench extends Bench {
  override readonly name = 'cost'
  override readonly isDeterministic = true

  override async run ({ seed }: BenchOptions): Promise<BenchResult> {
    const runs = Array.from({ length: SEEDS }, (_, index) => runSeed(seed * 1000 + index))
    const toBest = runs.map(({ cost, bestCost }) => cost / bestCost)
    const toOracle = runs.map(({ cost, oracleCost }) => cost / oracleCost)
    const losses = runs.map(({ lowestGoodPart }) => TARGET - lowestGoodPart)
    return {
      figures: [
        { name: 'cost_to_best_version', value: mean(toBest), unit: 'ratio', bound: BEST_COST_BOUND },
        { name: 'cost_to_oracle', value: mean(toOracle), unit: 'ratio', bound: ORACLE_BOUND },
        { name: 'quality_below_target', value: Math.max(...losses), unit: 'score', bound: QUALITY_LOSS_BOUND }
      ],
      report: [
        `cost_to_best_version seeds=${SEEDS} ${describeSpread(toBest)} oracle=${mean(runs.map(({ oracleCost, bestCost }) => oracleCost / bestCost)).toFixed(3)}`,
        `cost_to_oracle seeds=${SEEDS} ${describeSpread(toOracle)}`,
        `expected_quality target=${TARGET} mean=${mean(runs.map(({ meanQuality }) => meanQuality)).toFixed(4)} worst_window ${describeSpread(runs.map(({ lowestQuality }) => lowestQuality))}`,
        `good_part worst_window ${describeSpread(runs.map(({ lowestGoodPart }) => lowestGoodPart))}`
      ]
    }
  }
}

function describeSpread (values: readonly number[]): string {
  return `lowest=${Math.min(...values).toFixed(4)} highest=${Math.max(...values).toFixed(4)}`
}
