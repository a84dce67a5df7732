/** The queue, the concurrency window and the demand of one lane of a pool. */

import { type Clock, halfLifeWeight } from '#jayfall/shared'

import { ConcurrencyWindow } from './JayfallConcurrencyWindow'
import { computeFairLevel } from './JayfallFairShare'
import { type RequestQueue } from './JayfallRequestQueue'
import { DEMAND_HALF_LIFE_MILLISECONDS, FAIR_LEVEL_INTERVAL_MILLISECONDS } from './JayfallRoutingConstants'

/** Recent demand of one workspace, which decays over time. */
interface Demand {
  /** Work rate in tokens per millisecond. */
  readonly rate: number
  /** Monotonic time at which the rate was computed, in milliseconds. */
  readonly updatedAt: number
}

/** Waiting requests and open attempts of one lane. */
export class LaneQueue {
  private readonly demands = new Map<string, Demand>()
  /** Level up to which every workspace's demand is met, in tokens per millisecond. */
  private fairLevel = Infinity
  /** Recent demand of all workspaces, in tokens per millisecond. */
  private totalDemand = 0
  private fairLevelUpdatedAt = -Infinity

  constructor (private readonly clock: Clock, readonly queue: RequestQueue, readonly window: ConcurrencyWindow) {}

  /** Whether the window, rather than the demand, limits the number of open attempts. */
  get isLimiting (): boolean {
    return this.queue.size > 0 || !this.window.hasCapacity
  }

  get canSend (): boolean {
    return this.queue.size > 0 && this.window.hasCapacity
  }

  /** Records the arrival of work, in tokens, whether or not it is admitted. */
  recordDemand (workspace: string, work: number): void {
    const now = this.clock.monotonic()
    const rate = this.demandOf(workspace, now) + work * Math.LN2 / DEMAND_HALF_LIFE_MILLISECONDS
    this.demands.set(workspace, { rate, updatedAt: now })
  }

  /** Returns the milliseconds until a request of `work` tokens would be sent; 0 when that is at once or not known. */
  expectedWait (workspace: string, work: number): number {
    const { rate } = this.window
    if (rate === undefined || !this.isLimiting) return 0
    return (this.queue.queuedWorkOf(workspace) + work) / Math.max(this.availableRate(workspace, rate), rate * 0.01)
  }

  /** Returns the recent demand of a workspace as a multiple of its fair share; 0 while the window is not the limit. */
  demandToFairShare (workspace: string): number {
    return this.isLimiting ? this.demandOf(workspace, this.clock.monotonic()) / this.fairLevel : 0
  }

  /** Returns the rate that a workspace gets when all others keep their recent demand, in tokens per millisecond. */
  private availableRate (workspace: string, rate: number): number {
    const now = this.clock.monotonic()
    if (now - this.fairLevelUpdatedAt >= FAIR_LEVEL_INTERVAL_MILLISECONDS) this.updateFairLevel(rate, now)
    return Math.max(this.fairLevel, rate - this.totalDemand + this.demandOf(workspace, now))
  }

  private updateFairLevel (rate: number, now: number): void {
    const demands = new Map<string, number>()
    for (const workspace of this.demands.keys()) {
      const demand = this.demandOf(workspace, now)
      if (demand < rate * 1e-4) this.demands.delete(workspace)
      else demands.set(workspace, demand)
    }
    this.totalDemand = [...demands.values()].reduce((sum, demand) => sum + demand, 0)
    this.fairLevel = computeFairLevel(rate, [...demands.values()])
    this.fairLevelUpdatedAt = now
  }

  private demandOf (workspace: string, now: number): number {
    const demand = this.demands.get(workspace)
    return demand === undefined ? 0 : demand.rate * halfLifeWeight(now - demand.updatedAt, DEMAND_HALF_LIFE_MILLISECONDS)
  }
}
