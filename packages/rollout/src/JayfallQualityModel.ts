/**
 * A mixture model of one step's answers: each kind has its own quality, and a good or bad answer
 * shows a signal with the same probability in all kinds.
 *
 * Signals are seen for every answer and ratings for few. Expectation maximisation uses both: rated
 * answers count as what they were rated, the others as the model expects. The frequencies of a
 * kind's signals therefore tell its quality before it has many ratings.
 */

import { CATALOGUE_PRIOR_RATINGS, KIND_PRIOR_RATINGS, MODEL_ITERATIONS, UNRATED_ANSWERS } from './JayfallRolloutConstants'

/** What was seen of the answers with one signal. */
export interface SignalCounts {
  readonly answers: number
  readonly ratings: number
  /** Of the ratings' scores. */
  readonly scoreSum: number
}

/** One kind's counts for each signal. */
export type KindCounts = readonly SignalCounts[]

/** For each kind and signal, the expected quality. */
export type QualityTable = readonly (readonly number[])[]

interface Mixture {
  readonly qualities: readonly number[]
  readonly goodSignals: readonly number[]
  readonly badSignals: readonly number[]
}

/** Signals that good answers are expected to show more often before any rating, from the least promising. */
const PRIOR_SIGNAL_WEIGHTS: readonly number[] = [1, 2, 3]

/** Fits the model. `priorQuality` is the quality that the catalogue states. */
export function fitQuality (kinds: readonly KindCounts[], priorQuality: number): QualityTable {
  let mixture: Mixture = { qualities: kinds.map(() => priorQuality), goodSignals: normalise(PRIOR_SIGNAL_WEIGHTS), badSignals: normalise([...PRIOR_SIGNAL_WEIGHTS].reverse()) }
  const prior = mixture
  const pooled = pooledQuality(kinds, priorQuality)
  const weights = kinds.map(unratedWeight)
  for (let iteration = 0; iteration < MODEL_ITERATIONS; iteration++) mixture = improve(kinds, weights, mixture, prior, pooled)
  return kinds.map((_, kind) => mixture.goodSignals.map((_, signal) => expectedQuality(mixture, kind, signal)))
}

function improve (kinds: readonly KindCounts[], weights: readonly number[], mixture: Mixture, prior: Mixture, pooled: number): Mixture {
  const split = (isGood: boolean): readonly (readonly number[])[] => kinds.map((counts, kind) => counts.map(({ answers, ratings, scoreSum }, signal) => {
    const quality = expectedQuality(mixture, kind, signal)
    return isGood ? scoreSum + (answers - ratings) * weights[kind] * quality : ratings - scoreSum + (answers - ratings) * weights[kind] * (1 - quality)
  }))
  const [good, bad] = [split(true), split(false)]
  return {
    qualities: good.map((values, kind) => (total(values) + KIND_PRIOR_RATINGS * pooled) / (total(values) + total(bad[kind]) + KIND_PRIOR_RATINGS)),
    goodSignals: normalise(prior.goodSignals.map((part, signal) => CATALOGUE_PRIOR_RATINGS * part + total(good.map(values => values[signal])))),
    badSignals: normalise(prior.badSignals.map((part, signal) => CATALOGUE_PRIOR_RATINGS * part + total(bad.map(values => values[signal]))))
  }
}

/** The mean over all kinds' ratings, leaning on the catalogue. */
function pooledQuality (kinds: readonly KindCounts[], prior: number): number {
  const counts = kinds.flat()
  return (total(counts.map(({ scoreSum }) => scoreSum)) + CATALOGUE_PRIOR_RATINGS * prior) / (total(counts.map(({ ratings }) => ratings)) + CATALOGUE_PRIOR_RATINGS)
}

/** What one answer without a rating counts for. A kind's signals differ from the model, so more of them do not tell more. */
function unratedWeight (counts: KindCounts): number {
  return Math.min(1, UNRATED_ANSWERS / Math.max(1, total(counts.map(({ answers, ratings }) => answers - ratings))))
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
