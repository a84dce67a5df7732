/** The systems that a router runs on each tick. None of them examines all servers for a request. */

import { System } from '#jayfall/shared'

import { type HedgePolicy } from './JayfallHedgePolicy'
import { type Pool } from './JayfallPool'
import { DEADLINE_MARGIN, EXPIRY_INTERVAL_MILLISECONDS, SPLIT_INTERVAL_MILLISECONDS, URGENT_SLACK_MILLISECONDS } from './JayfallRoutingConstants'
import { type RefusalCode } from './JayfallRouter'
import { type AttemptRow, type RequestRow, type RoutingTables } from './JayfallRoutingTables'

/**
 * Sends waiting requests whose deadline is near ahead of their turn, as they were admitted,
 * and refuses them once even an immediate start would miss the deadline.
 */
export class ExpirySystem extends System {
  private lastRunAt = -Infinity

  constructor (
    private readonly pools: ReadonlyMap<string, Pool>,
    private readonly trySendUrgent: (row: RequestRow) => boolean,
    private readonly refuse: (row: RequestRow, code: RefusalCode) => void
  ) {
    super()
  }

  override run (now: number): void {
    if (now - this.lastRunAt < EXPIRY_INTERVAL_MILLISECONDS) return
    this.lastRunAt = now
    for (const pool of this.pools.values()) {
      for (const { queue, window } of Object.values(pool.lanes)) {
        if (queue.size > 0) this.checkDeadlines([...queue.rows()], window.attemptRate ?? Infinity, now)
      }
    }
  }

  private checkDeadlines (rows: readonly RequestRow[], rate: number, now: number): void {
    for (const row of rows) {
      const serviceTime = row.work / rate
      const { deadline } = row.request
      if (now + serviceTime * DEADLINE_MARGIN + URGENT_SLACK_MILLISECONDS < deadline) continue
      if (now + serviceTime < deadline && this.trySendUrgent(row)) continue
      if (now + serviceTime >= deadline) this.refuse(row, deadline <= now ? 'deadline_passed' : 'deadline_unreachable')
    }
  }
}

/** Finds attempts whose first token is overdue, and keeps reporting them until they have one or are hedged. */
export class OverdueSystem extends System {
  constructor (
    private readonly tables: RoutingTables,
    private readonly hedgePolicy: HedgePolicy,
    /** `overdueRatio` is the time since the dispatch as a multiple of the time after which a first token is overdue. Returns whether to report the attempt again. */
    private readonly handleOverdue: (row: RequestRow, attempt: AttemptRow, overdueRatio: number) => boolean
  ) {
    super()
  }

  override run (now: number): void {
    for (const [id, attempt] of this.tables.awaitingFirstToken.entries()) {
      const row = this.tables.requests.get(attempt.requestId)
      const overdueRatio = row === undefined ? 0 : (now - attempt.dispatchedAt) / this.hedgePolicy.overdueDelay(row)
      if (row === undefined || overdueRatio < 1) continue
      const isStillWatched = this.handleOverdue(row, attempt, overdueRatio)
      if (!attempt.isOverdue) {
        const overdue = { ...attempt, isOverdue: true }
        this.tables.attempts.set(id, overdue)
        this.tables.awaitingFirstToken.set(id, overdue)
      }
      if (!isStillWatched) this.tables.awaitingFirstToken.delete(id)
    }
  }
}

/** Adjusts each pool's split of its servers between short and long work. */
export class LaneSplitSystem extends System {
  private lastRunAt = -Infinity

  constructor (private readonly pools: ReadonlyMap<string, Pool>) {
    super()
  }

  override run (now: number): void {
    if (now - this.lastRunAt < SPLIT_INTERVAL_MILLISECONDS) return
    this.lastRunAt = now
    for (const pool of this.pools.values()) pool.assignServersToLanes()
  }
}

/** Adjusts each pool's windows to their use, and sends the waiting requests that then fit. */
export class WindowSystem extends System {
  constructor (private readonly pools: ReadonlyMap<string, Pool>, private readonly sendQueuedRequests: (pool: Pool) => void) {
    super()
  }

  override run (now: number): void {
    for (const pool of this.pools.values()) {
      for (const { window } of Object.values(pool.lanes)) window.update(now, pool.freeAttempts)
      if (pool.queued > 0) this.sendQueuedRequests(pool)
    }
  }
}
