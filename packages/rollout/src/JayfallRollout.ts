/**
 * The roll-out of one version: its steps and the tests that decide them.
 *
 * Two tests can stop a roll-out, and their evidence is averaged. The first compares each rating of
 * the new version with the mean of the old version's ratings that arrived since the previous
 * comparison; each rating is used once. It needs no history, and a change of the workload cancels
 * out. The second compares each rating with the reference of the old version (see the service
 * monitor). It is less noisy and finds a bad version with fewer ratings. When the old version's
 * own recent ratings fall, they replace the reference.
 */

import {
  FALSE_STEP_PROBABILITY, FALSE_STOP_PROBABILITY, MAXIMUM_UNPAIRED_RATINGS, RECENT_MEAN_TOLERANCE, RECENT_MEAN_WEIGHT, REFERENCE_ERROR_FRACTION, ROLLOUT_STEPS, SCORE_TOLERANCE,
  STEP_MARGIN
} from './JayfallRolloutConstants'
import { NEW_MONITOR, type MonitorState } from './JayfallServiceMonitor'
import { evidence, NEW_TEST, observe, type TestState } from './JayfallSequentialTest'

/** Ratings that have not been compared yet. */
interface UnpairedRatings {
  readonly oldSum: number
  readonly oldCount: number
  readonly newRatings: readonly RolloutRating[]
}

/** State of a roll-out; JSON-compatible. */
export interface RolloutState {
  /** Index into `ROLLOUT_STEPS`. */
  readonly step: number
  /** Wall-clock time at which the step started, in milliseconds. */
  readonly stepStartedAt: number
  /** Test against ratings of the old version that arrived at the same time. */
  readonly pairTest: TestState
  /** Test against the old version's reference. */
  readonly referenceTest: TestState
  /** Test that allows the next step. It begins anew with each step and uses only answers that are given from then on. */
  readonly stepTest: TestState
  readonly unpaired: UnpairedRatings
  /** Exponentially weighted mean of the old version's scores; unset before its first rating. */
  readonly recentOldMean?: number
  readonly outcome: 'running' | 'finished' | 'stopped'
}

/** A rated answer of one of the two versions. */
export interface RolloutRating {
  readonly isNew: boolean
  /** Score of the answer, from 0 (bad) to 1 (good). */
  readonly score: number
  /** Wall-clock time at which the answer was given, in milliseconds. */
  readonly answeredAt: number
}

/** Returns a roll-out at its first step. `now` is the wall-clock time in milliseconds. */
export function createRollout (now: number): RolloutState {
  return {
    step: 0, stepStartedAt: now, pairTest: NEW_TEST, referenceTest: NEW_TEST, stepTest: NEW_TEST, unpaired: { oldSum: 0, oldCount: 0, newRatings: [] }, outcome: 'running'
  }
}

/** Returns the new version's share of new sessions, in percent. */
export function trafficShareOf (state: RolloutState): number {
  return state.outcome === 'stopped' ? 0 : state.outcome === 'finished' ? 100 : ROLLOUT_STEPS[state.step]
}

/** Returns the traffic share that gives a version `share` percent of the traffic next to versions whose shares add up to `otherShares`. */
export function shareAgainst (share: number, otherShares: number): number {
  return share >= 100 ? 100 : Math.min(100, otherShares * share / (100 - share))
}

/** What the decisions of a roll-out need besides the ratings. */
export interface RolloutConditions {
  /** Wall-clock time in milliseconds. */
  readonly now: number
  /** The old version's reference, when it has one. */
  readonly reference?: number
}

/** Adds ratings in order and applies the tests after each. A roll-out that has ended does not change. */
export function advanceRollout (state: RolloutState, ratings: readonly RolloutRating[], conditions: RolloutConditions): RolloutState {
  return ratings.reduce((current, rating) =>
    current.outcome === 'running' ? applyTests(addRating(current, rating, conditions.reference), conditions.now) : current, state)
}

/**
 * Returns the monitor of a version whose roll-out has finished.
 * It takes over the evidence, so that a version that turned bad during its last step is found as early.
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
  const recentThreshold = (state.recentOldMean ?? 1) - RECENT_MEAN_TOLERANCE
  const hasDrifted = recentThreshold < reference - 2 * RECENT_MEAN_TOLERANCE
  const threshold = Math.max(0, (hasDrifted ? recentThreshold : reference) - SCORE_TOLERANCE)
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

function applyTests (state: RolloutState, now: number): RolloutState {
  const stopEvidence = (evidence(state.pairTest) + evidence(state.referenceTest)) / 2
  if (stopEvidence >= 1 / (FALSE_STOP_PROBABILITY * (1 - REFERENCE_ERROR_FRACTION))) return { ...state, outcome: 'stopped' }
  if (evidence(state.stepTest) < 1 / FALSE_STEP_PROBABILITY) return state
  const step = state.step + 1
  if (ROLLOUT_STEPS[step] === 100) return { ...state, step, stepStartedAt: now, outcome: 'finished' }
  return { ...state, step, stepStartedAt: now, stepTest: NEW_TEST }
}
