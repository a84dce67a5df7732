/** Exponential backoff with full jitter, as a schedule that the caller polls. */

import { type Clock, type RandomSource } from '#jayfall/shared'

import { INITIAL_BACKOFF_MILLISECONDS, MAXIMUM_BACKOFF_MILLISECONDS } from './JayfallLedgerConstants'

/** Tells when the next try is due. */
export class Backoff {
  private limit = INITIAL_BACKOFF_MILLISECONDS
  private dueAt = -Infinity

  constructor (private readonly clock: Clock, private readonly random: RandomSource) {}

  get isDue (): boolean {
    return this.clock.monotonic() >= this.dueAt
  }

  fail (): void {
    this.dueAt = this.clock.monotonic() + this.limit * this.random.uniform()
    this.limit = Math.min(this.limit * 2, MAXIMUM_BACKOFF_MILLISECONDS)
  }

  succeed (): void {
    this.limit = INITIAL_BACKOFF_MILLISECONDS
    this.dueAt = -Infinity
  }
}
