/**
 * Estimates of the quality of each step's answers for each request kind, from ratings.
 *
 * One combination of kind, step and signal (a cell) has few ratings, so its mean is shrunk towards
 * a model that is fitted to the ratings and signals of all kinds.
 */

import { CATALOGUE_PRIOR_RATINGS, MODEL_ERROR_FACTOR, MAXIMUM_RATING_OFFER_FACTOR, MODEL_PRIOR_RATINGS, SIGNAL_PRIOR_ANSWERS } from './JayfallRolloutConstants'
import { ANSWER_SIGNALS, type AnswerSignal } from './JayfallRequestKind'
import { type KindModel, type SignalModel, type StepModel } from './JayfallCascadePlan'
import { fitQuality, type SignalCounts } from './JayfallQualityModel'

/** Counts of one kind, or of all kinds together. The arrays are indexed by step and signal; the object is JSON-compatible. */
interface KindCounters {
  requests: number
  readonly answers: number[]
  readonly ratings: number[]
  readonly scoreSums: number[]
}

/** JSON-compatible copy of the estimates, by kind. */
export type QualitySnapshot = Readonly<Record<string, Readonly<KindCounters>>>

/** A step of the cascade as the catalogue describes it. */
export interface StepPrior {
  /** The fraction of good answers that the catalogue states, 0 to 1. */
  readonly quality: number
  /** Returns the expected cost of one answer to a request of `kind`. */
  cost (kind: string): number
}

const SIGNAL_COUNT = ANSWER_SIGNALS.length

/** Counts the answers and ratings of one cascade and estimates the quality of its steps. */
export class QualityEstimates {
  private readonly kinds = new Map<string, KindCounters>()
  /** Counts of all kinds together. */
  private readonly pooledCounts = createKindCounters()
  /** Number of cells that have a rating. */
  private ratedCellCount = 0
  private totalRatings = 0

  constructor (snapshot: QualitySnapshot = {}) {
    for (const [kind, counters] of Object.entries(snapshot)) this.merge(kind, counters)
  }

  /** Counts a request once, however many steps answer it. */
  addRequest (kind: string): void {
    this.countsOf(kind).requests++
  }

  /** Counts the signal of an answer, whether it was delivered or not. */
  addAnswer (kind: string, step: number, signal: AnswerSignal): void {
    const index = cellIndex(step, signal)
    increase(this.countsOf(kind).answers, index, 1)
    increase(this.pooledCounts.answers, index, 1)
  }

  addRating (kind: string, step: number, signal: AnswerSignal, score: number): void {
    const index = cellIndex(step, signal)
    const { ratings, scoreSums } = this.countsOf(kind)
    if ((ratings[index] ?? 0) === 0) this.ratedCellCount++
    this.totalRatings++
    increase(ratings, index, 1)
    increase(scoreSums, index, score)
    increase(this.pooledCounts.ratings, index, 1)
    increase(this.pooledCounts.scoreSums, index, score)
  }

  /** Returns how many times as often as an answer with the average number of ratings this one should be offered for rating. */
  ratingOfferFactor (kind: string, step: number, signal: AnswerSignal): number {
    const average = this.totalRatings / Math.max(1, this.ratedCellCount)
    const ownRatings = this.kinds.get(kind)?.ratings[cellIndex(step, signal)] ?? 0
    return Math.min(MAXIMUM_RATING_OFFER_FACTOR, Math.sqrt((average + 10) / (ownRatings + 10)))
  }

  /** Adds the counts of one kind from another instance or an earlier time. */
  merge (kind: string, { requests, answers, ratings, scoreSums }: Readonly<KindCounters>): void {
    const ownCounts = this.countsOf(kind)
    ownCounts.requests += requests
    answers.forEach((count, index) => {
      increase(ownCounts.answers, index, count)
      increase(this.pooledCounts.answers, index, count)
    })
    ratings.forEach((count, index) => {
      if (count > 0 && (ownCounts.ratings[index] ?? 0) === 0) this.ratedCellCount++
      this.totalRatings += count
      increase(ownCounts.ratings, index, count)
      increase(ownCounts.scoreSums, index, scoreSums[index])
      increase(this.pooledCounts.ratings, index, count)
      increase(this.pooledCounts.scoreSums, index, scoreSums[index])
    })
  }

  /** Returns models of the kinds that have had requests. */
  models (steps: readonly StepPrior[]): readonly KindModel[] {
    const kinds = [...this.kinds].filter(([, { requests }]) => requests > 0)
    const total = kinds.reduce((sum, [, { requests }]) => sum + requests, 0)
    const fitted = steps.map(({ quality }, step) => fitQuality(kinds.map(([, counters]) => signalCounts(counters, step)), quality))
    return kinds.map(([kind, counters], index) => ({
      kind,
      part: counters.requests / total,
      steps: steps.map((prior, step) => this.buildStepModel(prior, kind, signalCounts(counters, step), step, fitted[step][index]))
    }))
  }

  snapshot (): QualitySnapshot {
    return Object.fromEntries([...this.kinds].map(([kind, { requests, answers, ratings, scoreSums }]) =>
      [kind, { requests, answers: fillGaps(answers), ratings: fillGaps(ratings), scoreSums: fillGaps(scoreSums) }]))
  }

  private buildStepModel (prior: StepPrior, kind: string, counts: readonly SignalCounts[], step: number, fitted: readonly number[]): StepModel {
    const pooledStepCounts = signalCounts(this.pooledCounts, step)
    const pooledFrequencies = estimateSignalFrequencies(pooledStepCounts, counts.map(() => 1 / SIGNAL_COUNT))
    const frequencies = estimateSignalFrequencies(counts, pooledFrequencies)
    return {
      cost: prior.cost(kind),
      sharedVariance: pooledMeanVariance(pooledStepCounts, prior.quality),
      signals: counts.map((count, index) => ({ part: frequencies[index], ...estimateQuality(count, fitted[index]) }))
    }
  }

  private countsOf (kind: string): KindCounters {
    let counters = this.kinds.get(kind)
    if (counters === undefined) {
      counters = createKindCounters()
      this.kinds.set(kind, counters)
    }
    return counters
  }
}

function createKindCounters (): KindCounters {
  return { requests: 0, answers: [], ratings: [], scoreSums: [] }
}

function cellIndex (step: number, signal: AnswerSignal): number {
  return step * SIGNAL_COUNT + ANSWER_SIGNALS.indexOf(signal)
}

function increase (counts: number[], index: number, amount: number): void {
  counts[index] = (counts[index] ?? 0) + amount
}

function fillGaps (counts: readonly number[]): number[] {
  return Array.from(counts, count => count ?? 0)
}

function signalCounts ({ answers, ratings, scoreSums }: KindCounters, step: number): readonly SignalCounts[] {
  return ANSWER_SIGNALS.map((_, signal) => {
    const index = step * SIGNAL_COUNT + signal
    const ratingCount = ratings[index] ?? 0
    return { answers: Math.max(ratingCount, answers[index] ?? 0), ratings: ratingCount, scoreSum: scoreSums[index] ?? 0 }
  })
}

function estimateSignalFrequencies (counts: readonly SignalCounts[], prior: readonly number[]): readonly number[] {
  const total = counts.reduce((sum, { answers }) => sum + answers, 0) + SIGNAL_PRIOR_ANSWERS
  return counts.map(({ answers }, index) => (answers + SIGNAL_PRIOR_ANSWERS * prior[index]) / total)
}

/** Returns the variance of the mean over all kinds, which the fitted model uses as its prior. */
function pooledMeanVariance (counts: readonly SignalCounts[], prior: number): number {
  const ratings = counts.reduce((sum, count) => sum + count.ratings, CATALOGUE_PRIOR_RATINGS)
  const mean = (counts.reduce((sum, { scoreSum }) => sum + scoreSum, 0) + CATALOGUE_PRIOR_RATINGS * prior) / ratings
  return MODEL_ERROR_FACTOR * MODEL_ERROR_FACTOR * mean * (1 - mean) / ratings
}

/** Returns the mean of a cell's own ratings and the fitted quality, whose error all signals of a kind share. */
function estimateQuality ({ ratings, scoreSum }: SignalCounts, fitted: number): Omit<SignalModel, 'part'> {
  const count = ratings + MODEL_PRIOR_RATINGS
  const quality = (scoreSum + MODEL_PRIOR_RATINGS * fitted) / count
  const scoreVariance = quality * (1 - quality)
  return { quality, variance: ratings * scoreVariance / (count * count), commonDeviation: MODEL_ERROR_FACTOR * Math.sqrt(MODEL_PRIOR_RATINGS * scoreVariance) / count }
}
