/** The systems that a router runs on each tick. None looks at all servers for a request. */

import { System } from '#jayfall/shared'

import { type HedgePolicy } from './JayfallHedgePolicy'
import { type Pool } from './JayfallPool'
import { DEADLINE_MARGIN, EXPIRY_INTERVAL_MILLISECONDS, SPLIT_INTERVAL_MILLISECONDS, URGENT_MILLISECONDS } from './JayfallRoutingConstants'
import { type RefusalCode } from './JayfallRouter'
import { type AttemptRow, type RequestRow, type RoutingTables } from './JayfallRoutingTables'

/**
 * Sends waiting requests whose deadline comes near ahead of their turn, as they were admitted,
 * and gives them up once even an immediate start would miss it.
 */
export class ExpirySystem extends System {
  private ranAt = -Infinity

  constructor (
    private readonly pools: ReadonlyMap<string, Pool>,
    private readonly trySendNow: (row: RequestRow) => boolean,
    private readonly refuse: (row: RequestRow, code: RefusalCode) => void
  ) {
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
      const service = row.work / rate
      const { deadline } = row.request
      if (now + service * DEADLINE_MARGIN + URGENT_MILLISECONDS < deadline) continue
      if (now + service < deadline && this.trySendNow(row)) continue
      if (now + service >= deadline) this.refuse(row, deadline <= now ? 'deadline_passed' : 'deadline_unreachable')
    }
  }
}

/** Finds attempts whose first token is overdue, and keeps reporting them until they have one or are hedged. */
export class OverdueSystem extends System {
  constructor (
    private readonly tables: RoutingTables,
    private readonly hedges: HedgePolicy,
    /** `delay` is in multiples of the time after which the first token is overdue; returns whether to go on reporting. */
    private readonly takeOverdue: (row: RequestRow, attempt: AttemptRow, delay: number) => boolean
  ) {
    super()
  }

  override run (now: number): void {
    for (const [id, attempt] of this.tables.awaiting.entries()) {
      const row = this.tables.requests.get(attempt.requestId)
      const delay = row === undefined ? 0 : (now - attempt.dispatchedAt) / this.hedges.overdueAfter(row)
      if (row === undefined || delay < 1) continue
      const goesOn = this.takeOverdue(row, attempt, delay)
      if (!attempt.isOverdue) {
        const overdue = { ...attempt, isOverdue: true }
        this.tables.attempts.set(id, overdue)
        this.tables.awaiting.set(id, overdue)
      }
      if (!goesOn) this.tables.awaiting.delete(id)
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
      for (const { window } of Object.values(pool.lanes)) window.run(now, pool.freeAttempts)
      if (pool.queued > 0) this.pump(pool)
    }
  }
}
