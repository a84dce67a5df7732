/**
 * A sequential test that may be looked at after every observation.
 *
 * The test bets against "the mean is at most 0": each bet multiplies its capital by
 * 1 + size * observation, which does not grow in expectation while the hypothesis holds.
 * Capital of 1 is spread over bet sizes and over the times at which a change may begin, so the
 * total is a non-negative supermartingale, and by Ville's inequality the probability that it ever
 * reaches 1/p is at most p, without a limit on the number of observations.
 *
 * Ratings come late and out of order. A change begins with a cohort of answers, not of ratings, so
 * that late ratings of answers from before the change do not use up the capital.
 */

import { BET_FRACTIONS, COHORT_MILLISECONDS, FIRST_EPOCH_COHORTS, SEPARATE_COHORTS } from './JayfallRolloutConstants'

/** Capital that bets on a change with one cohort of answers. */
interface Cohort {
  /** Wall-clock milliseconds of its first answers. */
  readonly from: number
  /** Capital of each bet size. */
  readonly capitals: readonly number[]
}

/** Progress of a test; JSON-compatible. */
export interface TestState {
  /** Cohorts that have begun. */
  readonly begun: number
  /** The merged early cohorts and the latest ones, in order of time. */
  readonly cohorts: readonly Cohort[]
}

export const NEW_TEST: TestState = { begun: 0, cohorts: [] }

/** When the change that a test looks for may begin. */
export type ChangeTime = 'at-start' | 'any-time'

/** One observation. */
export interface Observation {
  /** At least `lowest`; its mean is at most 0 under the hypothesis. */
  readonly value: number
  /** Below 0. */
  readonly lowest: number
  /** Wall-clock milliseconds of the answer. */
  readonly answeredAt: number
}

/** Adds one observation. */
export function observe (state: TestState, { value, lowest, answeredAt }: Observation, changeTime: ChangeTime): TestState {
  const { begun, cohorts } = beginCohort(state, answeredAt, changeTime)
  const factors = BET_FRACTIONS.map(fraction => 1 - fraction * value / lowest)
  return {
    begun,
    cohorts: cohorts.map((cohort, index) => index > 0 && cohort.from > answeredAt
      ? cohort
      : { from: cohort.from, capitals: cohort.capitals.map((capital, bet) => capital * factors[bet]) })
  }
}

/** The capital that has been in play; the test rejects with error probability p at 1/p. */
export function evidence ({ cohorts }: TestState): number {
  return cohorts.reduce((sum, { capitals }) => sum + capitals.reduce((total, capital) => total + capital, 0), 0) / BET_FRACTIONS.length
}

function beginCohort (state: TestState, answeredAt: number, changeTime: ChangeTime): TestState {
  const latest = state.cohorts[state.cohorts.length - 1]
  if (latest !== undefined && answeredAt < latest.from + COHORT_MILLISECONDS) return state
  const capital = startingCapital(state.begun, changeTime)
  if (capital === 0) return state
  const cohorts = [...state.cohorts, { from: answeredAt, capitals: BET_FRACTIONS.map(() => capital) }]
  return { begun: state.begun + 1, cohorts: cohorts.length > SEPARATE_COHORTS ? mergeFirst(cohorts) : cohorts }
}

function mergeFirst ([first, second, ...rest]: readonly Cohort[]): readonly Cohort[] {
  return [{ from: second.from, capitals: first.capitals.map((capital, index) => capital + second.capitals[index]) }, ...rest]
}

/** The part of the capital that begins to play after `begun` cohorts; all parts sum to 1. */
export function startingCapital (begun: number, changeTime: ChangeTime): number {
  if (changeTime === 'at-start') return begun === 0 ? 1 : 0
  // Most bad versions are bad from their first answer.
  if (begun === 0) return 0.5
  const epoch = Math.floor(Math.log2((begun - 1) / FIRST_EPOCH_COHORTS + 1))
  return 0.5 * 2 ** -(epoch + 1) / (FIRST_EPOCH_COHORTS * 2 ** epoch)
}
