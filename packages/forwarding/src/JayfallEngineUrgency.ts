/**
 * How urgent a prompt is to the engine that reads it.
 *
 * Engines admit urgent prompts first. A short prompt costs those behind it little and waits long
 * behind a long one, so length decides before the operators' rank, which orders prompts of like
 * length.
 */

import { LONG_READING, LOWEST_RANK, SHORT_READING } from './JayfallForwardingConstants'

export interface EnginePrompt {
  /** Estimated milliseconds of reading. */
  readonly reading: number
  /** The operators' rank, 0 first. */
  readonly rank: number
  /** Whether its stream has begun, so that the caller sees a pause. */
  readonly isResumed: boolean
}

/** 0 is the most urgent. */
export function engineUrgency ({ reading, rank, isResumed }: EnginePrompt): number {
  const lengthClass = isResumed || reading < SHORT_READING ? 0 : reading < LONG_READING ? 1 : 2
  return lengthClass * (LOWEST_RANK + 1) + Math.min(LOWEST_RANK, Math.max(0, rank))
}
