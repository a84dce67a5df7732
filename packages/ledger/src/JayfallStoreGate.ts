/**
 * Circuit breaker for the table service.
 *
 * A caller must learn at once that its call cannot be claimed. Without the gate each claim would wait for the
 * timeout of a silent store. While the gate is shut, calls are rejected and only probes reach the store.
 */

import { PlatformError, TableStore, isPlatformError } from '#jayfall/store'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { Backoff } from './JayfallBackoff'
import { CALLS_TABLE, OUTAGE_CONSECUTIVE_FAILURES, SLOW_FAILURE_MILLISECONDS } from './JayfallLedgerConstants'

/** A key that no call has, because call keys contain a slash. */
const PROBE_KEY = 'probe'

/** Passes calls to the store unless the store is known to be down. */
export class StoreGate {
  private shut = false
  private consecutiveFailures = 0
  private isProbing = false
  private readonly backoff: Backoff

  constructor (readonly store: TableStore, private readonly clock: Clock, random: RandomSource) {
    this.backoff = new Backoff(clock, random)
  }

  get isShut (): boolean {
    return this.shut
  }

  /** Runs one store call. @throws PlatformError of the call, or `unavailable` at once while the gate is shut. */
  async run<Result> (call: (store: TableStore) => Promise<Result>): Promise<Result> {
    if (this.shut) throw new PlatformError('unavailable', 'the store did not answer recent calls')
    const startedAt = this.clock.monotonic()
    try {
      const result = await call(this.store)
      this.consecutiveFailures = 0
      return result
    } catch (error) {
      this.recordFailure(error, this.clock.monotonic() - startedAt)
      throw error
    }
  }

  /** Probes a store that was down and lets calls pass again if it answers. Does nothing until the backoff has passed. */
  async probe (): Promise<void> {
    if (!this.shut || this.isProbing || !this.backoff.isDue) return
    this.isProbing = true
    try {
      await this.store.read(CALLS_TABLE, PROBE_KEY)
      this.shut = false
      this.consecutiveFailures = 0
      this.backoff.recordSuccess()
    } catch {
      this.backoff.recordFailure()
    } finally {
      this.isProbing = false
    }
  }

  private recordFailure (error: unknown, elapsed: number): void {
    if (isPlatformError(error, 'conflict', 'rate_limited')) {
      this.consecutiveFailures = 0
      return
    }
    this.consecutiveFailures++
    // A single lost reply is not an outage; a refusal or a long silence is.
    const isOutage = isPlatformError(error, 'unavailable') || elapsed >= SLOW_FAILURE_MILLISECONDS || this.consecutiveFailures >= OUTAGE_CONSECUTIVE_FAILURES
    this.shut = this.shut || isOutage
  }
}
