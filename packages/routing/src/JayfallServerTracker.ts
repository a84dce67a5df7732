/** Keeps the server rows: own open attempts, reports, observed speed and breakers. */

import { halfLifeWeight } from '#jayfall/shared'

import { CLOSED_BREAKER, isPassable, noteDispatch, noteFailure, noteInconclusive, noteSuccess, type BreakerLimits } from './JayfallBreaker'
import { type Pool } from './JayfallPool'
import {
  AVOID_INITIAL_MILLISECONDS, AVOID_MAXIMUM_MILLISECONDS, BREAKER_FAILURES, BREAKER_INITIAL_MILLISECONDS, BREAKER_MAXIMUM_MILLISECONDS, DEFAULT_SLOTS,
  MAXIMUM_SLOWNESS, MAXIMUM_SPEED_SAMPLE_MILLISECONDS, MINIMUM_SPEED_SAMPLE_TOKENS, REPORT_HALF_LIFE_MILLISECONDS, REPORT_SMOOTHING_MILLISECONDS, SPEED_HALF_LIFE_MILLISECONDS, SPEED_WEIGHT,
  WAIT_HALF_LIFE_MILLISECONDS, WAIT_WEIGHT
} from './JayfallRoutingConstants'
import { type LoadReport, type RoutedServer } from './JayfallRouter'
import { type AttemptRow, type Lane, type RoutingTables, type ServerRow } from './JayfallRoutingTables'

const FAILURE_LIMITS: BreakerLimits = { failures: BREAKER_FAILURES, initialMilliseconds: BREAKER_INITIAL_MILLISECONDS, maximumMilliseconds: BREAKER_MAXIMUM_MILLISECONDS }
const DELAY_LIMITS: BreakerLimits = { failures: 1, initialMilliseconds: AVOID_INITIAL_MILLISECONDS, maximumMilliseconds: AVOID_MAXIMUM_MILLISECONDS }

export class ServerTracker {
  constructor (private readonly tables: Pick<RoutingTables, 'servers'>) {}

  /** Replaces the set of servers; what is known about those that stay is kept. */
  replaceAll (servers: readonly RoutedServer[], now: number): void {
    const kept = new Set(servers.map(({ id }) => id))
    for (const id of [...this.tables.servers.entries()].map(([id]) => id)) if (!kept.has(id)) this.tables.servers.delete(id)
    for (const server of servers) {
      const known = this.tables.servers.get(server.id)
      this.tables.servers.set(server.id, known === undefined ? createServerRow(server, now) : { ...known, server })
    }
  }

  noteDispatch (server: string, lane: Lane): void {
    this.tables.servers.update(server, row => ({
      ...row,
      open: row.open + 1,
      openLong: row.openLong + (lane === 'long' ? 1 : 0),
      breaker: noteDispatch(row.breaker),
      delay: noteDispatch(row.delay)
    }))
  }

  /** Takes a first token, or the answer of a plain call, that came in time. */
  noteTimely (server: string): void {
    this.tables.servers.update(server, row => ({ ...row, breaker: noteSuccess(), delay: noteSuccess() }))
  }

  noteOverdue (server: string, now: number): void {
    this.tables.servers.update(server, row => ({ ...row, delay: noteFailure(row.delay, now, DELAY_LIMITS) }))
  }

  noteFailed (server: string, now: number): void {
    this.tables.servers.update(server, row => ({ ...row, breaker: noteFailure(row.breaker, now, FAILURE_LIMITS) }))
  }

  /** Takes the end of an attempt, however it ended. */
  noteEnded (server: string, lane: Lane): void {
    this.tables.servers.update(server, row => ({
      ...row,
      open: Math.max(0, row.open - 1),
      openLong: Math.max(0, row.openLong - (lane === 'long' ? 1 : 0)),
      breaker: noteInconclusive(row.breaker),
      delay: noteInconclusive(row.delay)
    }))
  }

  /** Learns the speed from a finished stream; long streams tell about a past that is over. */
  noteSpeed (attempt: AttemptRow, outputTokens: number, pool: Pool, now: number): void {
    const duration = now - (attempt.firstTokenAt ?? now)
    if (outputTokens < MINIMUM_SPEED_SAMPLE_TOKENS || duration <= 0 || duration > MAXIMUM_SPEED_SAMPLE_MILLISECONDS) return
    const tokenTime = duration / (outputTokens - 1)
    pool.noteTokenTime(tokenTime)
    const ratio = Math.min(MAXIMUM_SLOWNESS, Math.max(1 / MAXIMUM_SLOWNESS, tokenTime / pool.tokenTime))
    this.tables.servers.update(attempt.server, row => {
      const current = currentSlowness(row, now)
      return { ...row, slowness: current + (ratio - current) * SPEED_WEIGHT, slownessAt: now }
    })
  }

  /** Takes the wait of an attempt of short work, or the time that it already waits. */
  noteWait (server: string, wait: number, now: number): void {
    this.tables.servers.update(server, row => {
      const current = currentWait(row, now)
      return { ...row, wait: current + (Math.max(0, wait) - current) * WAIT_WEIGHT, waitAt: now }
    })
  }

  noteReport (server: string, report: LoadReport, pools: Iterable<Pool>): void {
    this.tables.servers.update(server, row => {
      const kept = row.report === undefined ? 0 : halfLifeWeight(report.receivedAt - row.report.receivedAt, REPORT_SMOOTHING_MILLISECONDS)
      return { ...row, report, reportedLoad: reportedLoad(report) * (1 - kept) + row.reportedLoad * kept, openAtReport: row.open }
    })
    for (const pool of pools) pool.noteReportedLoad(reportedLoad(report), Math.max(1, report.slots))
  }
}

function createServerRow (server: RoutedServer, now: number): ServerRow {
  return { server, open: 0, openLong: 0, reportedLoad: 0, openAtReport: 0, slowness: 1, slownessAt: now, wait: 0, waitAt: now, breaker: CLOSED_BREAKER, delay: CLOSED_BREAKER }
}

/** Observed slowness, fading to that of the pool. */
export function currentSlowness ({ slowness, slownessAt }: ServerRow, now: number): number {
  return 1 + (slowness - 1) * halfLifeWeight(now - slownessAt, SPEED_HALF_LIFE_MILLISECONDS)
}

/** Recent wait of own short work in milliseconds, fading to none. */
export function currentWait ({ wait, waitAt }: ServerRow, now: number): number {
  return wait * halfLifeWeight(now - waitAt, WAIT_HALF_LIFE_MILLISECONDS)
}

/** The load of a report in slots: running streams, and waiting ones as if each waited for one slot. */
export function reportedLoad ({ active, slots, queuedTokens }: LoadReport): number {
  return queuedTokens === 0 ? active : Math.max(active, slots) + Math.log2(1 + queuedTokens)
}

/**
 * The likely load in slots: the report moved on by the own attempts since, and the pool's
 * average instead as far as the report is old.
 */
export function estimateLoad (row: ServerRow, meanLoad: number, now: number): number {
  if (row.report === undefined) return meanLoad + row.open
  const weight = halfLifeWeight(now - row.report.receivedAt, REPORT_HALF_LIFE_MILLISECONDS)
  const reported = Math.max(row.open, row.reportedLoad + row.open - row.openAtReport)
  return weight * reported + (1 - weight) * Math.max(row.open, meanLoad)
}

export function slotsOf ({ report }: ServerRow): number {
  return Math.max(1, report?.slots ?? DEFAULT_SLOTS)
}

/** Whether new work may go to the server; `isStrict` also avoids servers whose first tokens are overdue. */
export function isUsable (row: ServerRow | undefined, now: number, isStrict: boolean): row is ServerRow {
  return row !== undefined && !row.server.leaving && isPassable(row.breaker, now) && (!isStrict || isPassable(row.delay, now))
}
