/**
 * Estimates of the quality of each step's answers for each request kind, from ratings.
 *
 * The ratings of one kind, step and signal are few, so their mean leans on a model that is fitted
 * to the ratings and signals of all kinds.
 */

import { CATALOGUE_PRIOR_RATINGS, FIT_ERROR_FACTOR, HIGHEST_OFFER_BOOST, MODEL_PRIOR_RATINGS, SIGNAL_PRIOR_ANSWERS } from './JayfallRolloutConstants'
import { ANSWER_SIGNALS, type AnswerSignal } from './JayfallRequestKind'
import { type KindModel, type SignalModel, type StepModel } from './JayfallCascadePlan'
import { fitQuality, type SignalCounts } from './JayfallQualityModel'

/** Counts of one kind, or of all kinds together; arrays are indexed by step and signal. JSON-compatible. */
interface KindTally {
  requests: number
  readonly answers: number[]
  readonly ratings: number[]
  readonly scoreSums: number[]
}

/** JSON-compatible copy of the estimates, by kind. */
export type QualitySnapshot = Readonly<Record<string, Readonly<KindTally>>>

/** A step of the cascade as the catalogue describes it. */
export interface StepPrior {
  readonly quality: number
  /** Expected cost of one answer to a request of the kind. */
  cost (kind: string): number
}

const SIGNALS = ANSWER_SIGNALS.length

/** Counts ratings and answers of one cascade. */
export class QualityEstimates {
  private readonly kinds = new Map<string, KindTally>()
  /** Of all kinds. */
  private readonly pooled = emptyTally()
  private ratedCells = 0
  private totalRatings = 0

  constructor (snapshot: QualitySnapshot = {}) {
    for (const [kind, tally] of Object.entries(snapshot)) this.merge(kind, tally)
  }

  /** Counts a request once, however many steps answer it. */
  addRequest (kind: string): void {
    this.tally(kind).requests++
  }

  /** Counts the signal of an answer, whether it was delivered or not. */
  addAnswer (kind: string, step: number, signal: AnswerSignal): void {
    const index = cellIndex(step, signal)
    increase(this.tally(kind).answers, index, 1)
    increase(this.pooled.answers, index, 1)
  }

  addRating (kind: string, step: number, signal: AnswerSignal, score: number): void {
    const index = cellIndex(step, signal)
    const { ratings, scoreSums } = this.tally(kind)
    if ((ratings[index] ?? 0) === 0) this.ratedCells++
    this.totalRatings++
    increase(ratings, index, 1)
    increase(scoreSums, index, score)
    increase(this.pooled.ratings, index, 1)
    increase(this.pooled.scoreSums, index, score)
  }

  /** How much more often than the average an answer should be offered for rating. */
  ratingOfferFactor (kind: string, step: number, signal: AnswerSignal): number {
    const average = this.totalRatings / Math.max(1, this.ratedCells)
    const own = this.kinds.get(kind)?.ratings[cellIndex(step, signal)] ?? 0
    return Math.min(HIGHEST_OFFER_BOOST, Math.sqrt((average + 10) / (own + 10)))
  }

  /** Adds the counts of another instance or an earlier time. */
  merge (kind: string, { requests, answers, ratings, scoreSums }: Readonly<KindTally>): void {
    const own = this.tally(kind)
    own.requests += requests
    answers.forEach((count, index) => {
      increase(own.answers, index, count)
      increase(this.pooled.answers, index, count)
    })
    ratings.forEach((count, index) => {
      if (count > 0 && (own.ratings[index] ?? 0) === 0) this.ratedCells++
      this.totalRatings += count
      increase(own.ratings, index, count)
      increase(own.scoreSums, index, scoreSums[index])
      increase(this.pooled.ratings, index, count)
      increase(this.pooled.scoreSums, index, scoreSums[index])
    })
  }

  /** Models of the kinds seen so far. */
  models (steps: readonly StepPrior[]): readonly KindModel[] {
    const kinds = [...this.kinds].filter(([, { requests }]) => requests > 0)
    const total = kinds.reduce((sum, [, { requests }]) => sum + requests, 0)
    const fitted = steps.map(({ quality }, step) => fitQuality(kinds.map(([, tally]) => signalCounts(tally, step)), quality))
    return kinds.map(([kind, tally], index) => ({
      kind,
      part: tally.requests / total,
      steps: steps.map((prior, step) => this.stepModel(prior, kind, signalCounts(tally, step), step, fitted[step][index]))
    }))
  }

  snapshot (): QualitySnapshot {
    return Object.fromEntries([...this.kinds].map(([kind, { requests, answers, ratings, scoreSums }]) =>
      [kind, { requests, answers: dense(answers), ratings: dense(ratings), scoreSums: dense(scoreSums) }]))
  }

  private stepModel (prior: StepPrior, kind: string, counts: readonly SignalCounts[], step: number, fitted: readonly number[]): StepModel {
    const all = signalCounts(this.pooled, step)
    const pooled = signalParts(all, counts.map(() => 1 / SIGNALS))
    const parts = signalParts(counts, pooled)
    return {
      cost: prior.cost(kind),
      sharedVariance: sharedVariance(all, prior.quality),
      signals: counts.map((count, index) => ({ part: parts[index], ...estimateQuality(count, fitted[index]) }))
    }
  }

  private tally (kind: string): KindTally {
    let tally = this.kinds.get(kind)
    if (tally === undefined) {
      tally = emptyTally()
      this.kinds.set(kind, tally)
    }
    return tally
  }
}

function emptyTally (): KindTally {
  return { requests: 0, answers: [], ratings: [], scoreSums: [] }
}

function cellIndex (step: number, signal: AnswerSignal): number {
  return step * SIGNALS + ANSWER_SIGNALS.indexOf(signal)
}

function increase (counts: number[], index: number, by: number): void {
  counts[index] = (counts[index] ?? 0) + by
}

function dense (counts: readonly number[]): number[] {
  return Array.from(counts, count => count ?? 0)
}

function signalCounts ({ answers, ratings, scoreSums }: KindTally, step: number): readonly SignalCounts[] {
  return ANSWER_SIGNALS.map((_, signal) => {
    const index = step * SIGNALS + signal
    const rated = ratings[index] ?? 0
    return { answers: Math.max(rated, answers[index] ?? 0), ratings: rated, scoreSum: scoreSums[index] ?? 0 }
  })
}

function signalParts (counts: readonly SignalCounts[], prior: readonly number[]): readonly number[] {
  const total = counts.reduce((sum, { answers }) => sum + answers, 0) + SIGNAL_PRIOR_ANSWERS
  return counts.map(({ answers }, index) => (answers + SIGNAL_PRIOR_ANSWERS * prior[index]) / total)
}

/** The variance of the mean over all kinds that the fit leans on. */
function sharedVariance (counts: readonly SignalCounts[], prior: number): number {
  const ratings = counts.reduce((sum, count) => sum + count.ratings, CATALOGUE_PRIOR_RATINGS)
  const mean = (counts.reduce((sum, { scoreSum }) => sum + scoreSum, 0) + CATALOGUE_PRIOR_RATINGS * prior) / ratings
  return FIT_ERROR_FACTOR * FIT_ERROR_FACTOR * mean * (1 - mean) / ratings
}

/** A mean of own ratings and the fit, whose error the signals of a kind have in common. */
function estimateQuality ({ ratings, scoreSum }: SignalCounts, fitted: number): Omit<SignalModel, 'part'> {
  const count = ratings + MODEL_PRIOR_RATINGS
  const quality = (scoreSum + MODEL_PRIOR_RATINGS * fitted) / count
  const spread = quality * (1 - quality)
  return { quality, variance: ratings * spread / (count * count), commonDeviation: FIT_ERROR_FACTOR * Math.sqrt(MODEL_PRIOR_RATINGS * spread) / count }
}
