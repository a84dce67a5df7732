/**
 * Which model answers a request whose route leaves that to the router.
 *
 * The smallest model is asked first. Its answer is dropped, before the caller has any of it, when
 * the model itself has too little confidence; the largest model is asked then. The fuller the
 * engines are, the less confidence is needed, because a large model takes several times the time
 * of a small one and would keep other callers waiting.
 */

import { CASCADE_FULL_EFFORT_LOAD, CASCADE_MINIMUM_TIME_SHARE, CASCADE_NO_EFFORT_LOAD, CONFIDENCE_THRESHOLD } from './JayfallForwardingConstants'

export interface LadderInputs {
  /** Smallest first. */
  readonly models: readonly string[]
  /** Load of the service's engines as a part of their slots. */
  readonly load: number
  /** Part of the caller's time that is left. */
  readonly timeLeftShare: number
  /** Whether one more server may be asked. */
  readonly mayAskAgain: boolean
}

export interface LadderStep {
  readonly model: string
  /** Answers with less confidence are dropped. */
  readonly minimumConfidence: number
}

/** The model of the first attempt, and how sure its answer must be. */
export function chooseFirstModel ({ models, load, timeLeftShare, mayAskAgain }: LadderInputs): LadderStep {
  const isFinal = models.length < 2 || !mayAskAgain || timeLeftShare < CASCADE_MINIMUM_TIME_SHARE
  return { model: models[0], minimumConfidence: isFinal ? 0 : confidenceThreshold(load) }
}

/** The model that is asked when the first was not sure. */
export function chooseSurerModel (models: readonly string[]): LadderStep {
  return { model: models[models.length - 1], minimumConfidence: 0 }
}

/** Falls from its full value to 0 as the engines fill up. */
export function confidenceThreshold (load: number): number {
  const effort = (CASCADE_NO_EFFORT_LOAD - load) / (CASCADE_NO_EFFORT_LOAD - CASCADE_FULL_EFFORT_LOAD)
  return CONFIDENCE_THRESHOLD * Math.min(1, Math.max(0, effort))
}
