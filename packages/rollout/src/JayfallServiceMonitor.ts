/**
 * Monitors a version in service for a loss of quality, compared with its own earlier ratings.
 *
 * A version that has all the traffic has no other version to be compared with. The mean of its
 * ratings, less a bound on the error of that mean, is its reference; each later rating is tested
 * against the reference.
 */

import { FALSE_STOP_PROBABILITY, MINIMUM_REFERENCE_RATINGS, MAXIMUM_REFERENCE_RATINGS, REFERENCE_ERROR_FRACTION, SCORE_TOLERANCE } from './JayfallRolloutConstants'
import { evidence, NEW_TEST, observe, type TestState } from './JayfallSequentialTest'

/** State of a monitor; JSON-compatible. */
export interface MonitorState {
  readonly ratings: number
  readonly sum: number
  readonly sumOfSquares: number
  /** Lower confidence bound of the mean score; unset until enough ratings have arrived. */
  readonly reference?: number
  readonly test: TestState
  readonly isBad: boolean
}

export const NEW_MONITOR: MonitorState = { ratings: 0, sum: 0, sumOfSquares: 0, test: NEW_TEST, isBad: false }

/** A rated answer of the version. */
export interface MonitorRating {
  /** Score of the answer, from 0 (bad) to 1 (good). */
  readonly score: number
  /** Wall-clock time at which the answer was given, in milliseconds. */
  readonly answeredAt: number
}

/** Adds a version's ratings in order and returns the new state. */
export function advanceMonitor (state: MonitorState, ratings: readonly MonitorRating[]): MonitorState {
  return ratings.reduce(addRating, state)
}

function addRating (state: MonitorState, { score, answeredAt }: MonitorRating): MonitorState {
  if (state.isBad) return state
  const next = updateReference(state, score)
  if (state.reference === undefined) return next
  const threshold = Math.max(0, state.reference - SCORE_TOLERANCE)
  const test = observe(state.test, { value: threshold - score, lowest: threshold - 1, answeredAt }, 'any-time')
  return { ...next, test, isBad: evidence(test) >= 1 / (FALSE_STOP_PROBABILITY * (1 - REFERENCE_ERROR_FRACTION)) }
}

/** Adds a score to the mean, and computes the reference again when the number of ratings has doubled. */
function updateReference (state: MonitorState, score: number): MonitorState {
  const ratings = state.ratings + 1
  if (ratings > MAXIMUM_REFERENCE_RATINGS) return state
  const next = { ...state, ratings, sum: state.sum + score, sumOfSquares: state.sumOfSquares + score * score }
  const doublings = Math.log2(ratings / MINIMUM_REFERENCE_RATINGS)
  if (doublings < 0 || !Number.isInteger(doublings)) return next
  const mean = next.sum / ratings
  const variance = Math.max(0, next.sumOfSquares / ratings - mean * mean)
  const errorProbability = FALSE_STOP_PROBABILITY * REFERENCE_ERROR_FRACTION * 2 ** -(doublings + 1)
  return { ...next, reference: Math.max(0, mean - meanErrorBound(variance, ratings, errorProbability)) }
}

/** Returns the one-sided empirical Bernstein bound on the error of a mean of scores in [0, 1]. */
function meanErrorBound (variance: number, ratings: number, errorProbability: number): number {
  const logarithm = Math.log(2 / errorProbability)
  return Math.sqrt(2 * variance * logarithm / ratings) + 7 * logarithm / (3 * (ratings - 1))
}
