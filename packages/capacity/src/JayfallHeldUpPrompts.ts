/**
 * Decides when a prompt that has no first event yet is sent to another server.
 *
 * Load that it answers: an engine that is held up, by a very long prompt or by prompts that several instances sent it at
 * once. Reports of its load show that too late. A short prompt that stays there until the engine counts as silent misses
 * its objective, while other servers would answer within a part of it. Only prompts that cost little to read are moved,
 * and only when the other server is expected to answer in time.
 */

import { FIRST_MOVE_CHECK_OBJECTIVES, LAST_MOVE_CHECK_OBJECTIVES, MAXIMUM_MOVED_PREFILL_OBJECTIVES, MOVE_CHECK_OBJECTIVES, MOVE_ESTIMATE_FACTOR, UNEXPECTED_WAIT_FACTOR } from './JayfallCapacityConstants'

/** The estimates of a server for a prompt, in milliseconds. */
export interface FirstEventEstimate {
  readonly timeToFirstEvent: number
  readonly prefillTime: number
}

/**
 * Yields the milliseconds to wait before each check whether the prompt is moved; none for a prompt that is not.
 * @param objective milliseconds within which a first event is timely.
 */
export function * moveCheckWaits (objective: number, { timeToFirstEvent, prefillTime }: FirstEventEstimate): Generator<number> {
  if (prefillTime > objective * MAXIMUM_MOVED_PREFILL_OBJECTIVES) return
  let elapsed = Math.max(objective * FIRST_MOVE_CHECK_OBJECTIVES, timeToFirstEvent * UNEXPECTED_WAIT_FACTOR)
  for (let wait = elapsed; elapsed <= objective * LAST_MOVE_CHECK_OBJECTIVES; elapsed += wait) {
    yield wait
    wait = objective * MOVE_CHECK_OBJECTIVES
  }
}

/** @param left milliseconds until a first event is late. */
export function isWorthMoving (left: number, other: FirstEventEstimate): boolean {
  return other.timeToFirstEvent * MOVE_ESTIMATE_FACTOR <= left
}
