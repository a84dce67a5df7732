/**
 * Computes the priority that an engine gives to a prompt.
 *
 * Engines admit prompts of high priority first. A short prompt delays those behind it only a little, but
 * may wait long behind a long one. So the length of a prompt decides before the priority set by
 * operators, which orders prompts of similar length.
 */

import { LONG_PREFILL_MILLISECONDS, LOWEST_OPERATOR_PRIORITY, SHORT_PREFILL_MILLISECONDS } from './JayfallForwardingConstants'

export interface PromptToRank {
  /** Estimated milliseconds of prefill. */
  readonly prefillTime: number
  /** The priority set by operators; 0 is the most urgent. */
  readonly operatorPriority: number
  /** Whether the prompt resumes a stream that has begun, so that the caller notices the delay as a pause. */
  readonly isResumed: boolean
}

/** Returns the priority for the engine; 0 is the most urgent. */
export function enginePriority ({ prefillTime, operatorPriority, isResumed }: PromptToRank): number {
  const lengthClass = isResumed || prefillTime < SHORT_PREFILL_MILLISECONDS ? 0 : prefillTime < LONG_PREFILL_MILLISECONDS ? 1 : 2
  return lengthClass * (LOWEST_OPERATOR_PRIORITY + 1) + Math.min(LOWEST_OPERATOR_PRIORITY, Math.max(0, operatorPriority))
}
