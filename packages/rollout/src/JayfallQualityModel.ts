/**
 * A mixture model of one step's answers: each request kind has its own quality, and a good or bad
 * answer shows a signal with the same probability in all kinds.
 *
 * Signals are known for every answer and ratings for few. Expectation maximisation uses both: a
 * rated answer counts by its score, and an unrated one by the quality that the model expects. The
 * frequencies of a kind's signals therefore indicate its quality before it has many ratings.
 */

import { CATALOGUE_PRIOR_RATINGS, KIND_PRIOR_RATINGS, EXPECTATION_MAXIMISATION_ITERATIONS, MAXIMUM_UNRATED_ANSWER_WEIGHT } from './JayfallRolloutConstants'

/** Counts of the answers with one signal. */
export interface SignalCounts {
  readonly answers: number
  readonly ratings: number
  /** Sum of the ratings' scores. */
  readonly scoreSum: number
}

/** Counts of one kind, by signal. */
export type KindCounts = readonly SignalCounts[]

/** Expected quality by kind and signal, 0 to 1. */
export type QualityTable = readonly (readonly number[])[]

/** Parameters of the model. */
interface Mixture {
  /** Quality by kind. */
  readonly qualities: readonly number[]
  /** Probability of each signal for a good answer. */
  readonly goodSignals: readonly number[]
  /** Probability of each signal for a bad answer. */
  readonly badSignals: readonly number[]
}

/** Relative frequencies of the signals that good answers are expected to show before any rating, from the least promising signal. */
const PRIOR_GOOD_SIGNAL_WEIGHTS: readonly number[] = [1, 2, 3]

/** Fits the model and returns the expected qualities. `priorQuality` is the quality that the catalogue states. */
export function fitQuality (kinds: readonly KindCounts[], priorQuality: number): QualityTable {
  let mixture: Mixture = { qualities: kinds.map(() => priorQuality), goodSignals: normalise(PRIOR_GOOD_SIGNAL_WEIGHTS), badSignals: normalise([...PRIOR_GOOD_SIGNAL_WEIGHTS].reverse()) }
  const prior = mixture
  const pooled = computePooledQuality(kinds, priorQuality)
  const weights = kinds.map(unratedAnswerWeight)
  for (let iteration = 0; iteration < EXPECTATION_MAXIMISATION_ITERATIONS; iteration++) mixture = runIteration(kinds, weights, mixture, prior, pooled)
  return kinds.map((_, kind) => mixture.goodSignals.map((_, signal) => expectedQuality(mixture, kind, signal)))
}

/** Runs one iteration of expectation maximisation: computes the expected counts of good and bad answers, then the parameters. */
function runIteration (kinds: readonly KindCounts[], weights: readonly number[], mixture: Mixture, prior: Mixture, pooled: number): Mixture {
  const expectedCounts = (isGood: boolean): readonly (readonly number[])[] => kinds.map((counts, kind) => counts.map(({ answers, ratings, scoreSum }, signal) => {
    const quality = expectedQuality(mixture, kind, signal)
    return isGood ? scoreSum + (answers - ratings) * weights[kind] * quality : ratings - scoreSum + (answers - ratings) * weights[kind] * (1 - quality)
  }))
  const [good, bad] = [expectedCounts(true), expectedCounts(false)]
  return {
    qualities: good.map((values, kind) => (total(values) + KIND_PRIOR_RATINGS * pooled) / (total(values) + total(bad[kind]) + KIND_PRIOR_RATINGS)),
    goodSignals: normalise(prior.goodSignals.map((probability, signal) => CATALOGUE_PRIOR_RATINGS * probability + total(good.map(values => values[signal])))),
    badSignals: normalise(prior.badSignals.map((probability, signal) => CATALOGUE_PRIOR_RATINGS * probability + total(bad.map(values => values[signal]))))
  }
}

/** Returns the mean of all kinds' ratings, shrunk towards the quality that the catalogue states. */
function computePooledQuality (kinds: readonly KindCounts[], prior: number): number {
  const counts = kinds.flat()
  return (total(counts.map(({ scoreSum }) => scoreSum)) + CATALOGUE_PRIOR_RATINGS * prior) / (total(counts.map(({ ratings }) => ratings)) + CATALOGUE_PRIOR_RATINGS)
}

/** Returns the weight of one unrated answer, in ratings. The total weight is bounded: a kind's signals deviate from the model, so more of them give no more information. */
function unratedAnswerWeight (counts: KindCounts): number {
  return Math.min(1, MAXIMUM_UNRATED_ANSWER_WEIGHT / Math.max(1, total(counts.map(({ answers, ratings }) => answers - ratings))))
}

function expectedQuality ({ qualities, goodSignals, badSignals }: Mixture, kind: number, signal: number): number {
  const good = qualities[kind] * goodSignals[signal]
  const bad = (1 - qualities[kind]) * badSignals[signal]
  return good / (good + bad)
}

function normalise (weights: readonly number[]): readonly number[] {
  const sum = total(weights)
  return weights.map(weight => weight / sum)
}

function total (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
