/**
 * A limit on the attempts that one router may have open on a pool of servers.
 *
 * The routers that share the pool do not know of each other. Each increases its window slowly
 * while it is full and decreases it when its own attempts wait at the servers. The windows of all
 * routers thus settle near the pool's slots, and requests wait in the routers, where their order
 * and their deadlines are known.
 */

import { halfLifeWeight } from '#jayfall/shared'

import {
  INITIAL_WINDOW_ATTEMPTS, MINIMUM_WINDOW_ATTEMPTS, URGENT_WINDOW_FACTOR, WINDOW_AVERAGE_HALF_LIFE_MILLISECONDS, WINDOW_DECREASE_FACTOR, MINIMUM_WINDOW_GROWTH, WINDOW_HEADROOM_FACTOR,
  WINDOW_INTERVAL_MILLISECONDS, WINDOW_INTERVAL_WAITS, WINDOW_PEAK_HALF_LIFE_MILLISECONDS
} from './JayfallRoutingConstants'

/** A window with additive increase and multiplicative decrease, controlled by delay. */
export class ConcurrencyWindow {
  /** Greatest number of open attempts. */
  private size = INITIAL_WINDOW_ATTEMPTS
  /** Recent peak of `averageOpen`, which decays over time. */
  private peakOpen = INITIAL_WINDOW_ATTEMPTS / WINDOW_HEADROOM_FACTOR
  private averageOpen = 0
  private updatedAt = 0
  /** Size after the last decrease. Below it the window doubles with each round of attempts. */
  private slowStartThreshold = Infinity
  /** Shortest wait of the current interval, in milliseconds. */
  private shortestWait = Infinity
  private waitCount = 0
  private intervalStartedAt = -Infinity
  private openAttempts = 0
  private finishedWork = 0
  private finishedMilliseconds = 0

  /** @param waitLimit wait at the servers, in milliseconds. The window shrinks when all attempts wait longer. */
  constructor (private readonly waitLimit: number) {}

  get limit (): number {
    return this.size
  }

  get hasCapacity (): boolean {
    return this.openAttempts < this.size
  }

  /** Whether a request may be sent whose deadline does not allow it to wait. */
  get hasUrgentCapacity (): boolean {
    return this.openAttempts < this.size * URGENT_WINDOW_FACTOR
  }

  recordOpened (): void {
    this.openAttempts++
  }

  recordClosed (): void {
    this.openAttempts--
  }

  /**
   * Records the wait of an attempt at its server, in milliseconds. Only the shortest wait of an
   * interval counts: single waits come from one busy server, while an overload makes all attempts
   * wait. `isLimiting` says whether the window, rather than the demand, limits the open attempts.
   */
  recordWait (wait: number, now: number, isLimiting: boolean): void {
    this.shortestWait = Math.min(this.shortestWait, wait)
    this.waitCount++
    if (isLimiting && wait < this.waitLimit) this.size += this.size < this.slowStartThreshold ? 1 : Math.max(1 / this.size, MINIMUM_WINDOW_GROWTH)
    if (this.waitCount < WINDOW_INTERVAL_WAITS || now - this.intervalStartedAt < WINDOW_INTERVAL_MILLISECONDS) return
    if (isLimiting && this.shortestWait > this.waitLimit) {
      this.size = Math.max(MINIMUM_WINDOW_ATTEMPTS, this.size * WINDOW_DECREASE_FACTOR)
      this.slowStartThreshold = this.size
    }
    this.shortestWait = Infinity
    this.waitCount = 0
    this.intervalStartedAt = now
  }

  /**
   * Adjusts the window to its recent use, so that a sudden rise cannot overload the servers.
   * `freeAttempts` attempts are allowed in any case: a new router has no recent use, and must not
   * limit itself while the pool has capacity.
   */
  update (now: number, freeAttempts: number): void {
    const floor = Math.max(INITIAL_WINDOW_ATTEMPTS, freeAttempts)
    this.averageOpen += (this.openAttempts - this.averageOpen) * (1 - halfLifeWeight(now - this.updatedAt, WINDOW_AVERAGE_HALF_LIFE_MILLISECONDS))
    this.peakOpen = Math.max(this.averageOpen, this.peakOpen * halfLifeWeight(now - this.updatedAt, WINDOW_PEAK_HALF_LIFE_MILLISECONDS))
    this.updatedAt = now
    this.size = Math.min(this.size, Math.max(floor, this.peakOpen * WINDOW_HEADROOM_FACTOR))
    if (this.slowStartThreshold === Infinity) this.size = Math.max(this.size, freeAttempts)
    // A window that an earlier overload has reduced opens again once it is not used up.
    if (this.openAttempts >= this.size / 2) return
    this.size = Math.max(this.size, Math.min(INITIAL_WINDOW_ATTEMPTS, this.peakOpen * WINDOW_HEADROOM_FACTOR))
    this.slowStartThreshold = Infinity
  }

  /** Records a finished attempt: its work in tokens and its duration. */
  recordFinished (work: number, milliseconds: number): void {
    this.finishedWork = this.finishedWork * 0.98 + work
    this.finishedMilliseconds = this.finishedMilliseconds * 0.98 + Math.max(1, milliseconds)
  }

  /** Work rate of one open attempt, in tokens per millisecond; undefined before any attempt finished. */
  get attemptRate (): number | undefined {
    return this.finishedMilliseconds === 0 ? undefined : this.finishedWork / this.finishedMilliseconds
  }

  /** Work rate of the whole window, in tokens per millisecond. */
  get rate (): number | undefined {
    return this.attemptRate === undefined ? undefined : this.attemptRate * this.size
  }
}
