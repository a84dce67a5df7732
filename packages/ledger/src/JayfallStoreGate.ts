/**
 * Keeps calls from a store that is down.
 *
 * A caller must learn at once that its call cannot be claimed. Without the gate each claim
 * would wait for the timeout of a silent store. While the gate is shut only probes reach the store.
 */

import { PlatformError, TableStore, isPlatformError } from '#jayfall/store'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { Backoff } from './JayfallBackoff'
import { CALLS_TABLE, OUTAGE_FAILURES, SLOW_STORE_MILLISECONDS } from './JayfallLedgerConstants'

/** A key that no call has, as call keys contain a slash. */
const PROBE_KEY = 'probe'

/** Passes calls to the store unless it is known to be down. */
export class StoreGate {
  private shut = false
  private failures = 0
  private probing = false
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
      this.failures = 0
      return result
    } catch (error) {
      this.countFailure(error, this.clock.monotonic() - startedAt)
      throw error
    }
  }

  /** Asks a store that was down whether it is back. Calls that come too early do nothing. */
  async probe (): Promise<void> {
    if (!this.shut || this.probing || !this.backoff.isDue) return
    this.probing = true
    try {
      await this.store.read(CALLS_TABLE, PROBE_KEY)
      this.shut = false
      this.failures = 0
      this.backoff.succeed()
    } catch {
      this.backoff.fail()
    } finally {
      this.probing = false
    }
  }

  private countFailure (error: unknown, elapsed: number): void {
    if (isPlatformError(error, 'conflict', 'rate_limited')) {
      this.failures = 0
      return
    }
    this.failures++
    // A single lost reply is no outage; a refusal or a long silence is.
    const isOutage = isPlatformError(error, 'unavailable') || elapsed >= SLOW_STORE_MILLISECONDS || this.failures >= OUTAGE_FAILURES
    this.shut = this.shut || isOutage
  }
}
