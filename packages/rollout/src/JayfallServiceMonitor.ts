/**
 * Watches a version in service for a loss of quality against its own earlier ratings.
 *
 * A version that has all the traffic has no other to be compared with. The mean of its ratings,
 * lowered by the error of that mean, is its reference; each later rating is tested against it.
 */

import { FALSE_STOP_PROBABILITY, FIRST_REFERENCE_RATINGS, LAST_REFERENCE_RATINGS, REFERENCE_ERROR_PART, SCORE_TOLERANCE } from './JayfallRolloutConstants'
import { evidence, NEW_TEST, observe, type TestState } from './JayfallSequentialTest'

/** State of a monitor; JSON-compatible. */
export interface MonitorState {
  readonly ratings: number
  readonly sum: number
  readonly sumOfSquares: number
  /** A lower limit of the mean; unset until enough ratings have arrived. */
  readonly reference?: number
  readonly test: TestState
  readonly isBad: boolean
}

export const NEW_MONITOR: MonitorState = { ratings: 0, sum: 0, sumOfSquares: 0, test: NEW_TEST, isBad: false }

/** A rated answer of the version. */
export interface MonitorRating {
  /** 0 (bad) to 1 (good). */
  readonly score: number
  /** Wall-clock milliseconds at which the answer was given. */
  readonly answeredAt: number
}

/** Adds a version's ratings, in order. */
export function advanceMonitor (state: MonitorState, ratings: readonly MonitorRating[]): MonitorState {
  return ratings.reduce(addRating, state)
}

function addRating (state: MonitorState, { score, answeredAt }: MonitorRating): MonitorState {
  if (state.isBad) return state
  const next = addToReference(state, score)
  if (state.reference === undefined) return next
  const threshold = Math.max(0, state.reference - SCORE_TOLERANCE)
  const test = observe(state.test, { value: threshold - score, lowest: threshold - 1, answeredAt }, 'any-time')
  return { ...next, test, isBad: evidence(test) >= 1 / (FALSE_STOP_PROBABILITY * (1 - REFERENCE_ERROR_PART)) }
}

function addToReference (state: MonitorState, score: number): MonitorState {
  const ratings = state.ratings + 1
  if (ratings > LAST_REFERENCE_RATINGS) return state
  const next = { ...state, ratings, sum: state.sum + score, sumOfSquares: state.sumOfSquares + score * score }
  const doublings = Math.log2(ratings / FIRST_REFERENCE_RATINGS)
  if (doublings < 0 || !Number.isInteger(doublings)) return next
  const mean = next.sum / ratings
  const variance = Math.max(0, next.sumOfSquares / ratings - mean * mean)
  const errorProbability = FALSE_STOP_PROBABILITY * REFERENCE_ERROR_PART * 2 ** -(doublings + 1)
  return { ...next, reference: Math.max(0, mean - meanError(variance, ratings, errorProbability)) }
}

/** The empirical Bernstein bound on the error of a mean of scores in [0, 1], one-sided. */
function meanError (variance: number, ratings: number, errorProbability: number): number {
  const logarithm = Math.log(2 / errorProbability)
  return Math.sqrt(2 * variance * logarithm / ratings) + 7 * logarithm / (3 * (ratings - 1))
}
