/**
 * Computes the confidence that an answer of a smaller model needs in a cascade of models.
 *
 * When a route leaves the choice of the model to the router, the smallest model is asked first. If that
 * model reports too little confidence, its answer is dropped before any of it reaches the caller, and the
 * largest model is asked. The threshold falls as the larger model becomes less likely to answer in time,
 * because a late answer is of no use and its work would delay other callers.
 */

import { FULL_THRESHOLD_TIME_RATIO, ZERO_THRESHOLD_TIME_RATIO, CONFIDENCE_THRESHOLD } from './JayfallForwardingConstants'

/**
 * The confidence, from 0 to 100, below which an answer of a smaller model is dropped.
 * @param timeToFirstEvent estimated milliseconds until the larger model's first event.
 * @param timeLeft milliseconds until the answer is late.
 */
export function confidenceThreshold (timeToFirstEvent: number, timeLeft: number): number {
  const timeRatio = timeLeft <= 0 ? Infinity : timeToFirstEvent / timeLeft
  const thresholdFactor = Math.min(1, Math.max(0, (ZERO_THRESHOLD_TIME_RATIO - timeRatio) / (ZERO_THRESHOLD_TIME_RATIO - FULL_THRESHOLD_TIME_RATIO)))
  return CONFIDENCE_THRESHOLD * thresholdFactor
}
