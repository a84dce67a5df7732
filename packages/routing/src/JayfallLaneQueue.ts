/** What waits and what is open of one lane of a pool: its queue, its window and its demand. */

import { type Clock, halfLifeWeight } from '#jayfall/shared'

import { ConcurrencyWindow } from './JayfallConcurrencyWindow'
import { computeFairLevel } from './JayfallFairShare'
import { type QueueOrder } from './JayfallQueueOrder'
import { DEMAND_HALF_LIFE_MILLISECONDS, FAIR_LEVEL_INTERVAL_MILLISECONDS } from './JayfallRoutingConstants'

interface Demand {
  /** Tokens of work per millisecond. */
  readonly rate: number
  readonly at: number
}

export class LaneQueue {
  private readonly demands = new Map<string, Demand>()
  private fairLevel = Infinity
  private demandTotal = 0
  private fairLevelAt = -Infinity

  constructor (private readonly clock: Clock, readonly queue: QueueOrder, readonly window: ConcurrencyWindow) {}

  /** Whether the window, and not the demand, decides how much is open. */
  get isBinding (): boolean {
    return this.queue.size > 0 || !this.window.hasRoom
  }

  get canSend (): boolean {
    return this.queue.size > 0 && this.window.hasRoom
  }

  /** Takes the arrival of work, whether or not it is admitted. */
  noteDemand (workspace: string, work: number): void {
    const now = this.clock.monotonic()
    const rate = this.demandOf(workspace, now) + work * Math.LN2 / DEMAND_HALF_LIFE_MILLISECONDS
    this.demands.set(workspace, { rate, at: now })
  }

  /** Milliseconds until a request of `work` tokens would be sent; 0 when that is at once or not known. */
  expectedWait (workspace: string, work: number): number {
    const { rate } = this.window
    if (rate === undefined || !this.isBinding) return 0
    return (this.queue.workOf(workspace) + work) / Math.max(this.availableRate(workspace, rate), rate * 0.01)
  }

  /** What a workspace recently asked for as a multiple of its fair share; 0 while the window does not bind. */
  demandToFairShare (workspace: string): number {
    return this.isBinding ? this.demandOf(workspace, this.clock.monotonic()) / this.fairLevel : 0
  }

  /** The rate that a workspace gets when all others keep asking for what they recently asked for. */
  private availableRate (workspace: string, rate: number): number {
    const now = this.clock.monotonic()
    if (now - this.fairLevelAt >= FAIR_LEVEL_INTERVAL_MILLISECONDS) this.updateFairLevel(rate, now)
    return Math.max(this.fairLevel, rate - this.demandTotal + this.demandOf(workspace, now))
  }

  private updateFairLevel (rate: number, now: number): void {
    const demands = new Map<string, number>()
    for (const workspace of this.demands.keys()) {
      const demand = this.demandOf(workspace, now)
      if (demand < rate * 1e-4) this.demands.delete(workspace)
      else demands.set(workspace, demand)
    }
    this.demandTotal = [...demands.values()].reduce((sum, demand) => sum + demand, 0)
    this.fairLevel = computeFairLevel(rate, [...demands.values()])
    this.fairLevelAt = now
  }

  private demandOf (workspace: string, now: number): number {
    const demand = this.demands.get(workspace)
    return demand === undefined ? 0 : demand.rate * halfLifeWeight(now - demand.at, DEMAND_HALF_LIFE_MILLISECONDS)
  }
}
