/** Exponential backoff with full jitter for repeated attempts. */

import { type RandomSource } from '#jayfall/shared'

import { FIRST_BACKOFF_MILLISECONDS, MAXIMUM_BACKOFF_MILLISECONDS } from './JayfallControlConstants'

/** The delay before the next attempt after `failures` failures, in milliseconds: uniform between 0 and a bound that doubles with each failure. */
export function backoffDelay (failures: number, random: RandomSource): number {
  const bound = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** Math.min(failures, 10))
  return random.uniform() * bound
}
