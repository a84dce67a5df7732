/**
 * Which model answers a request whose route leaves that to the router.
 *
 * The smallest model is asked first. Its answer is dropped, before the caller has any of it, when
 * the model itself has too little confidence; the largest model is asked then. The less likely the
 * larger model answers in time, the less confidence is needed: its answer would come late, and its
 * work would delay other callers.
 */

import { CASCADE_EASY_SHARE, CASCADE_LATE_SHARE, CONFIDENCE_THRESHOLD } from './JayfallForwardingConstants'

/**
 * The confidence below which an answer of a smaller model is dropped.
 * @param firstEvent estimated milliseconds until the larger model's first event.
 * @param timeLeft milliseconds until the answer is late.
 */
export function confidenceThreshold (firstEvent: number, timeLeft: number): number {
  const share = timeLeft <= 0 ? Infinity : firstEvent / timeLeft
  const ease = Math.min(1, Math.max(0, (CASCADE_LATE_SHARE - share) / (CASCADE_LATE_SHARE - CASCADE_EASY_SHARE)))
  return CONFIDENCE_THRESHOLD * ease
}
