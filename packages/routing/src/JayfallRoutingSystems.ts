/** The systems that a router runs on each tick. None looks at all servers for a request. */

import { System } from '#jayfall/shared'

import { type HedgePolicy } from './JayfallHedgePolicy'
import { type Pool } from './JayfallPool'
import { EXPIRY_INTERVAL_MILLISECONDS, SPLIT_INTERVAL_MILLISECONDS } from './JayfallRoutingConstants'
import { type RefusalCode } from './JayfallRouter'
import { type AttemptRow, type RequestRow, type RoutingTables } from './JayfallRoutingTables'

/** Gives up waiting requests once even an immediate start would miss their deadline. */
export class ExpirySystem extends System {
  private ranAt = -Infinity

  constructor (private readonly pools: ReadonlyMap<string, Pool>, private readonly refuse: (row: RequestRow, code: RefusalCode) => void) {
    super()
  }

  override run (now: number): void {
    if (now - this.ranAt < EXPIRY_INTERVAL_MILLISECONDS) return
    this.ranAt = now
    for (const pool of this.pools.values()) {
      for (const { queue, window } of Object.values(pool.lanes)) {
        if (queue.size > 0) this.expire([...queue.rows()], window.attemptRate ?? Infinity, now)
      }
    }
  }

  private expire (rows: readonly RequestRow[], rate: number, now: number): void {
    for (const row of rows) {
      if (now + row.work / rate < row.request.deadline) continue
      this.refuse(row, row.request.deadline <= now ? 'deadline_passed' : 'deadline_unreachable')
    }
  }
}

/** Finds attempts whose first token is overdue. */
export class OverdueSystem extends System {
  constructor (
    private readonly tables: RoutingTables,
    private readonly hedges: HedgePolicy,
    private readonly takeOverdue: (row: RequestRow, attempt: AttemptRow) => void
  ) {
    super()
  }

  override run (now: number): void {
    for (const [id, attempt] of this.tables.awaiting.entries()) {
      const row = this.tables.requests.get(attempt.requestId)
      if (row === undefined || now - attempt.dispatchedAt < this.hedges.overdueAfter(row)) continue
      this.tables.awaiting.delete(id)
      this.tables.attempts.set(id, { ...attempt, isOverdue: true })
      this.takeOverdue(row, attempt)
    }
  }
}

/** Adapts each pool's split between short and long work. */
export class SplitSystem extends System {
  private ranAt = -Infinity

  constructor (private readonly pools: ReadonlyMap<string, Pool>) {
    super()
  }

  override run (now: number): void {
    if (now - this.ranAt < SPLIT_INTERVAL_MILLISECONDS) return
    this.ranAt = now
    for (const pool of this.pools.values()) pool.splitServers()
  }
}

/** Lets each pool's window follow its use, and sends what then fits. */
export class WindowSystem extends System {
  constructor (private readonly pools: ReadonlyMap<string, Pool>, private readonly pump: (pool: Pool) => void) {
    super()
  }

  override run (now: number): void {
    for (const pool of this.pools.values()) {
      for (const { window } of Object.values(pool.lanes)) window.run(now)
      if (pool.queued > 0) this.pump(pool)
    }
  }
}
