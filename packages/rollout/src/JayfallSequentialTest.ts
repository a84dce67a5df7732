/**
 * A sequential test that may be evaluated after every observation.
 *
 * The test bets against the hypothesis "the mean is at most 0": each bet multiplies its capital by
 * 1 + size * observation, which does not grow in expectation while the hypothesis holds.
 * A capital of 1 is spread over bet sizes and over the times at which a change may begin, so the
 * total is a non-negative supermartingale, and by Ville's inequality the probability that it ever
 * reaches 1/p is at most p, without a limit on the number of observations.
 *
 * Ratings arrive late and out of order. A change is assumed to begin with a cohort of answers, not
 * of ratings, so that late ratings of answers from before the change do not reduce the capital.
 */

import { BET_FRACTIONS, COHORT_DURATION_MILLISECONDS, FIRST_EPOCH_COHORTS, MAXIMUM_SEPARATE_COHORTS } from './JayfallRolloutConstants'

/** Capital that bets on a change that begins with one cohort of answers. */
interface Cohort {
  /** Wall-clock time of the cohort's first answer, in milliseconds. */
  readonly from: number
  /** Capital by bet size. */
  readonly capitals: readonly number[]
}

/** State of a test; JSON-compatible. */
export interface TestState {
  /** Number of cohorts that have begun. */
  readonly begun: number
  /** The merged early cohorts, followed by the latest ones in order of time. */
  readonly cohorts: readonly Cohort[]
}

export const NEW_TEST: TestState = { begun: 0, cohorts: [] }

/** When the change that a test looks for may begin. */
export type ChangeTime = 'at-start' | 'any-time'

/** One observation. */
export interface Observation {
  /** The observed value. It is at least `lowest`, and its mean is at most 0 under the hypothesis. */
  readonly value: number
  /** The lowest possible value, which is below 0. */
  readonly lowest: number
  /** Wall-clock time of the answer, in milliseconds. */
  readonly answeredAt: number
}

/** Adds one observation and returns the new state. */
export function observe (state: TestState, { value, lowest, answeredAt }: Observation, changeTime: ChangeTime): TestState {
  const { begun, cohorts } = beginCohortIfDue(state, answeredAt, changeTime)
  const factors = BET_FRACTIONS.map(fraction => 1 - fraction * value / lowest)
  return {
    begun,
    cohorts: cohorts.map((cohort, index) => index > 0 && cohort.from > answeredAt
      ? cohort
      : { from: cohort.from, capitals: cohort.capitals.map((capital, bet) => capital * factors[bet]) })
  }
}

/** Returns the total capital of the cohorts that have begun. The test rejects the hypothesis with error probability p when this reaches 1/p. */
export function evidence ({ cohorts }: TestState): number {
  return cohorts.reduce((sum, { capitals }) => sum + capitals.reduce((total, capital) => total + capital, 0), 0) / BET_FRACTIONS.length
}

/** Begins a cohort when the answer is later than the latest cohort. */
function beginCohortIfDue (state: TestState, answeredAt: number, changeTime: ChangeTime): TestState {
  const latest = state.cohorts[state.cohorts.length - 1]
  if (latest !== undefined && answeredAt < latest.from + COHORT_DURATION_MILLISECONDS) return state
  const capital = initialCapital(state.begun, changeTime)
  if (capital === 0) return state
  const cohorts = [...state.cohorts, { from: answeredAt, capitals: BET_FRACTIONS.map(() => capital) }]
  return { begun: state.begun + 1, cohorts: cohorts.length > MAXIMUM_SEPARATE_COHORTS ? mergeEarliestCohorts(cohorts) : cohorts }
}

function mergeEarliestCohorts ([first, second, ...rest]: readonly Cohort[]): readonly Cohort[] {
  return [{ from: second.from, capitals: first.capitals.map((capital, index) => capital + second.capitals[index]) }, ...rest]
}

/** Returns the fraction of the capital that is bet from the cohort after `begun` cohorts on; all fractions sum to 1. */
export function initialCapital (begun: number, changeTime: ChangeTime): number {
  if (changeTime === 'at-start') return begun === 0 ? 1 : 0
  // Half of the capital bets on the first cohort, as most bad versions are bad from their first answer.
  if (begun === 0) return 0.5
  const epoch = Math.floor(Math.log2((begun - 1) / FIRST_EPOCH_COHORTS + 1))
  return 0.5 * 2 ** -(epoch + 1) / (FIRST_EPOCH_COHORTS * 2 ** epoch)
}
