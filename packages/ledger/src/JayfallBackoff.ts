/** Exponential backoff with full jitter, as a schedule that the caller polls instead of waiting for a timer. */

import { type Clock, type RandomSource } from '#jayfall/shared'

import { INITIAL_BACKOFF_MILLISECONDS, MAXIMUM_BACKOFF_MILLISECONDS } from './JayfallLedgerConstants'

/**
 * Schedules the next attempt after failures. The upper bound of the delay doubles with each failure up to
 * `MAXIMUM_BACKOFF_MILLISECONDS`, and the delay itself is drawn uniformly below that bound.
 */
export class Backoff {
  /** Upper bound of the next delay, in milliseconds. */
  private maximumDelay = INITIAL_BACKOFF_MILLISECONDS
  /** Monotonic milliseconds. */
  private dueAt = -Infinity

  constructor (private readonly clock: Clock, private readonly random: RandomSource) {}

  get isDue (): boolean {
    return this.clock.monotonic() >= this.dueAt
  }

  recordFailure (): void {
    this.dueAt = this.clock.monotonic() + this.maximumDelay * this.random.uniform()
    this.maximumDelay = Math.min(this.maximumDelay * 2, MAXIMUM_BACKOFF_MILLISECONDS)
  }

  recordSuccess (): void {
    this.maximumDelay = INITIAL_BACKOFF_MILLISECONDS
    this.dueAt = -Infinity
  }
}
