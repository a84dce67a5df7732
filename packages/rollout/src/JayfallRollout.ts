/**
 * The roll-out of one version: its steps and the tests that decide them.
 *
 * Two tests can stop it, and their evidence is averaged. One compares each rating of the new
 * version with the ratings of the old version that arrived since the comparison before, each used
 * once; it needs no history, and a change of the workload cancels out. The other compares each
 * rating with the reference of the old version (see the service monitor), which is less noisy and
 * finds a bad version with fewer ratings; the reference follows when the old version's own recent
 * ratings fall.
 */

import {
  FALSE_STEP_PROBABILITY, FALSE_STOP_PROBABILITY, MAXIMUM_UNPAIRED_RATINGS, RECENT_MEAN_SLACK, RECENT_MEAN_WEIGHT, REFERENCE_ERROR_PART, ROLLOUT_STEPS, SCORE_TOLERANCE,
  STEP_MARGIN
} from './JayfallRolloutConstants'
import { NEW_MONITOR, type MonitorState } from './JayfallServiceMonitor'
import { evidence, NEW_TEST, observe, type TestState } from './JayfallSequentialTest'

/** Ratings that have not been compared yet. */
interface Unpaired {
  readonly oldSum: number
  readonly oldCount: number
  readonly newRatings: readonly RolloutRating[]
}

/** State of a roll-out; JSON-compatible. */
export interface RolloutState {
  /** Index into the steps. */
  readonly step: number
  /** Wall-clock milliseconds. */
  readonly stepStartedAt: number
  /** Against ratings of the old version that arrived at the same time. */
  readonly pairTest: TestState
  /** Against the old version's reference. */
  readonly referenceTest: TestState
  /** Begins anew with each step, with the answers that are given from then on. */
  readonly stepTest: TestState
  readonly unpaired: Unpaired
  /** Exponentially weighted mean of the old version's ratings; unset before the first. */
  readonly recentOldMean?: number
  readonly outcome: 'running' | 'finished' | 'stopped'
}

/** A rated answer of one of the two versions. */
export interface RolloutRating {
  readonly isNew: boolean
  /** 0 (bad) to 1 (good). */
  readonly score: number
  /** Wall-clock milliseconds at which the answer was given. */
  readonly answeredAt: number
}

/** A roll-out at its first step. `now`: wall-clock milliseconds. */
export function createRollout (now: number): RolloutState {
  return {
    step: 0, stepStartedAt: now, pairTest: NEW_TEST, referenceTest: NEW_TEST, stepTest: NEW_TEST, unpaired: { oldSum: 0, oldCount: 0, newRatings: [] }, outcome: 'running'
  }
}

/** The share of new sessions that the new version gets, in hundredths. */
export function trafficShareOf (state: RolloutState): number {
  return state.outcome === 'stopped' ? 0 : state.outcome === 'finished' ? 100 : ROLLOUT_STEPS[state.step]
}

/** The traffic share that makes up `share` hundredths of the traffic next to versions with `others` together. */
export function shareAgainst (share: number, others: number): number {
  return share >= 100 ? 100 : Math.min(100, others * share / (100 - share))
}

/** What a roll-out decision needs besides the ratings. */
export interface RolloutConditions {
  /** Wall-clock milliseconds. */
  readonly now: number
  /** The old version's reference, when it has one. */
  readonly reference?: number
}

/** Adds ratings in order and decides after each; a roll-out that has ended stays as it is. */
export function advanceRollout (state: RolloutState, ratings: readonly RolloutRating[], conditions: RolloutConditions): RolloutState {
  return ratings.reduce((current, rating) =>
    current.outcome === 'running' ? decide(addRating(current, rating, conditions.reference), conditions.now) : current, state)
}

/**
 * The monitor of a version whose roll-out has finished.
 * It keeps the evidence, so that a version that turned bad during its last step is found as early.
 */
export function createMonitorAfter ({ referenceTest }: RolloutState, reference: number | undefined): MonitorState {
  return reference === undefined ? NEW_MONITOR : { ...NEW_MONITOR, reference, test: referenceTest }
}

function addRating (state: RolloutState, rating: RolloutRating, reference: number | undefined): RolloutState {
  const { oldSum, oldCount, newRatings } = state.unpaired
  const { score } = rating
  if (!rating.isNew) {
    const recentOldMean = state.recentOldMean === undefined ? score : state.recentOldMean + RECENT_MEAN_WEIGHT * (score - state.recentOldMean)
    return comparePair({ ...state, recentOldMean, unpaired: { oldSum: oldSum + score, oldCount: oldCount + 1, newRatings } })
  }
  const referenceTest = reference === undefined ? state.referenceTest : compareWithReference(state, rating, reference)
  return comparePair({ ...state, referenceTest, unpaired: { oldSum, oldCount, newRatings: [...newRatings, rating].slice(-MAXIMUM_UNPAIRED_RATINGS) } })
}

function compareWithReference (state: RolloutState, { score, answeredAt }: RolloutRating, reference: number): TestState {
  const recent = (state.recentOldMean ?? 1) - RECENT_MEAN_SLACK
  const hasDrifted = recent < reference - 2 * RECENT_MEAN_SLACK
  const threshold = Math.max(0, (hasDrifted ? recent : reference) - SCORE_TOLERANCE)
  return observe(state.referenceTest, { value: threshold - score, lowest: threshold - 1, answeredAt }, 'any-time')
}

function comparePair (state: RolloutState): RolloutState {
  const { oldSum, oldCount, newRatings: [rating, ...newRatings] } = state.unpaired
  if (oldCount === 0 || rating === undefined) return state
  const loss = oldSum / oldCount - rating.score
  const { answeredAt } = rating
  return {
    ...state,
    unpaired: { oldSum: 0, oldCount: 0, newRatings },
    pairTest: observe(state.pairTest, { value: loss - SCORE_TOLERANCE, lowest: -1 - SCORE_TOLERANCE, answeredAt }, 'any-time'),
    stepTest: answeredAt < state.stepStartedAt
      ? state.stepTest
      : observe(state.stepTest, { value: STEP_MARGIN - loss, lowest: STEP_MARGIN - 1, answeredAt }, 'at-start')
  }
}

function decide (state: RolloutState, now: number): RolloutState {
  const stopEvidence = (evidence(state.pairTest) + evidence(state.referenceTest)) / 2
  if (stopEvidence >= 1 / (FALSE_STOP_PROBABILITY * (1 - REFERENCE_ERROR_PART))) return { ...state, outcome: 'stopped' }
  if (evidence(state.stepTest) < 1 / FALSE_STEP_PROBABILITY) return state
  const step = state.step + 1
  if (ROLLOUT_STEPS[step] === 100) return { ...state, step, stepStartedAt: now, outcome: 'finished' }
  return { ...state, step, stepStartedAt: now, stepTest: NEW_TEST }
}
