/**
 * How much one router may have open on a pool of servers.
 *
 * The routers that share the pool do not see each other. Each grows its window slowly while it
 * is full and shrinks it when its own attempts wait at the servers, so that the windows of all
 * settle near the pool's slots and requests wait in the routers, where their order and their
 * deadlines are known.
 */

import { halfLifeWeight } from '#jayfall/shared'

import {
  INITIAL_WINDOW, MINIMUM_WINDOW, URGENT_WINDOW_FACTOR, WINDOW_AVERAGE_HALF_LIFE_MILLISECONDS, WINDOW_DECREASE_FACTOR, WINDOW_GROWTH, WINDOW_HEADROOM,
  WINDOW_INTERVAL_MILLISECONDS, WINDOW_INTERVAL_WAITS, WINDOW_PEAK_HALF_LIFE_MILLISECONDS
} from './JayfallRoutingConstants'

/** Additive increase, multiplicative decrease, by delay. */
export class ConcurrencyWindow {
  private size = INITIAL_WINDOW
  private peak = INITIAL_WINDOW / WINDOW_HEADROOM
  private averageOpen = 0
  private ranAt = 0
  /** Below this size, that of the last decrease, the window doubles with each round of attempts. */
  private threshold = Infinity
  private shortestWait = Infinity
  private waits = 0
  private intervalAt = -Infinity
  private openAttempts = 0
  private rateWork = 0
  private rateTime = 0

  /** @param waitLimit wait at the servers, in milliseconds, above which the window shrinks when all attempts wait that long. */
  constructor (private readonly waitLimit: number) {}

  get limit (): number {
    return this.size
  }

  get hasRoom (): boolean {
    return this.openAttempts < this.size
  }

  /** Whether a request may be sent whose deadline does not allow it to wait. */
  get hasUrgentRoom (): boolean {
    return this.openAttempts < this.size * URGENT_WINDOW_FACTOR
  }

  noteOpened (): void {
    this.openAttempts++
  }

  noteClosed (): void {
    this.openAttempts--
  }

  /**
   * Takes the wait of an attempt at its server. Only the shortest wait of an interval counts:
   * single waits come from one busy server, while an overload makes all attempts wait.
   */
  noteWait (wait: number, now: number, isBinding: boolean): void {
    this.shortestWait = Math.min(this.shortestWait, wait)
    this.waits++
    if (isBinding && wait < this.waitLimit) this.size += this.size < this.threshold ? 1 : Math.max(1 / this.size, WINDOW_GROWTH)
    if (this.waits < WINDOW_INTERVAL_WAITS || now - this.intervalAt < WINDOW_INTERVAL_MILLISECONDS) return
    if (isBinding && this.shortestWait > this.waitLimit) {
      this.size = Math.max(MINIMUM_WINDOW, this.size * WINDOW_DECREASE_FACTOR)
      this.threshold = this.size
    }
    this.shortestWait = Infinity
    this.waits = 0
    this.intervalAt = now
  }

  /**
   * Lets the window follow the recent use, so that a sudden rise cannot flood the servers.
   * `free` attempts are allowed in any case: a new router has no use to follow, and must not
   * throttle itself while the pool has room.
   */
  run (now: number, free: number): void {
    const floor = Math.max(INITIAL_WINDOW, free)
    this.averageOpen += (this.openAttempts - this.averageOpen) * (1 - halfLifeWeight(now - this.ranAt, WINDOW_AVERAGE_HALF_LIFE_MILLISECONDS))
    this.peak = Math.max(this.averageOpen, this.peak * halfLifeWeight(now - this.ranAt, WINDOW_PEAK_HALF_LIFE_MILLISECONDS))
    this.ranAt = now
    this.size = Math.min(this.size, Math.max(floor, this.peak * WINDOW_HEADROOM))
    if (this.threshold === Infinity) this.size = Math.max(this.size, free)
    // A window that a past overload has shrunk opens again once it is not used up.
    if (this.openAttempts >= this.size / 2) return
    this.size = Math.max(this.size, Math.min(INITIAL_WINDOW, this.peak * WINDOW_HEADROOM))
    this.threshold = Infinity
  }

  /** Takes a finished attempt. */
  noteFinished (work: number, milliseconds: number): void {
    this.rateWork = this.rateWork * 0.98 + work
    this.rateTime = this.rateTime * 0.98 + Math.max(1, milliseconds)
  }

  /** Tokens of work per millisecond of one open attempt; undefined before anything finished. */
  get attemptRate (): number | undefined {
    return this.rateTime === 0 ? undefined : this.rateWork / this.rateTime
  }

  /** Tokens of work per millisecond that the whole window brings. */
  get rate (): number | undefined {
    return this.attemptRate === undefined ? undefined : this.attemptRate * this.size
  }
}
