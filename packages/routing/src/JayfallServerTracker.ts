/** The rows of the servers: this router's open attempts, load reports, observed speed and breakers. */

import { halfLifeWeight } from '#jayfall/shared'

import { CLOSED_BREAKER, mayDispatch, recordDispatch, recordFailure, recordInconclusive, recordSuccess, type BreakerLimits } from './JayfallBreaker'
import { type Pool } from './JayfallPool'
import {
  OVERDUE_AVOIDANCE_INITIAL_MILLISECONDS, OVERDUE_AVOIDANCE_MAXIMUM_MILLISECONDS, BREAKER_FAILURES, BREAKER_INITIAL_MILLISECONDS, BREAKER_MAXIMUM_MILLISECONDS, DEFAULT_SLOTS,
  MAXIMUM_SLOWNESS, MAXIMUM_SPEED_SAMPLE_MILLISECONDS, MINIMUM_SPEED_SAMPLE_TOKENS, REPORT_HALF_LIFE_MILLISECONDS, REPORT_AVERAGE_HALF_LIFE_MILLISECONDS, SPEED_HALF_LIFE_MILLISECONDS, SPEED_WEIGHT,
  WAIT_HALF_LIFE_MILLISECONDS, WAIT_WEIGHT
} from './JayfallRoutingConstants'
import { type LoadReport, type RoutedServer } from './JayfallRouter'
import { type AttemptRow, type Lane, type RoutingTables, type ServerRow } from './JayfallRoutingTables'

const FAILURE_LIMITS: BreakerLimits = { failures: BREAKER_FAILURES, initialOpenMilliseconds: BREAKER_INITIAL_MILLISECONDS, maximumOpenMilliseconds: BREAKER_MAXIMUM_MILLISECONDS }
const OVERDUE_LIMITS: BreakerLimits = { failures: 1, initialOpenMilliseconds: OVERDUE_AVOIDANCE_INITIAL_MILLISECONDS, maximumOpenMilliseconds: OVERDUE_AVOIDANCE_MAXIMUM_MILLISECONDS }

/** Updates the server rows on the events of attempts and reports. */
export class ServerTracker {
  constructor (private readonly tables: Pick<RoutingTables, 'servers'>) {}

  /** Replaces the set of servers, and keeps what is known about those that stay. */
  replaceAll (servers: readonly RoutedServer[], now: number): void {
    const keptIds = new Set(servers.map(({ id }) => id))
    for (const id of [...this.tables.servers.entries()].map(([id]) => id)) if (!keptIds.has(id)) this.tables.servers.delete(id)
    for (const server of servers) {
      const previous = this.tables.servers.get(server.id)
      this.tables.servers.set(server.id, previous === undefined ? createServerRow(server, now) : { ...previous, server })
    }
  }

  recordDispatch (server: string, lane: Lane): void {
    this.tables.servers.update(server, row => ({
      ...row,
      openAttempts: row.openAttempts + 1,
      openLongAttempts: row.openLongAttempts + (lane === 'long' ? 1 : 0),
      failureBreaker: recordDispatch(row.failureBreaker),
      delayBreaker: recordDispatch(row.delayBreaker)
    }))
  }

  /** Records a first token, or the answer of a plain call, that arrived in time. */
  recordTimelyResponse (server: string): void {
    this.tables.servers.update(server, row => ({ ...row, failureBreaker: recordSuccess(), delayBreaker: recordSuccess() }))
  }

  recordOverdue (server: string, now: number): void {
    this.tables.servers.update(server, row => ({ ...row, delayBreaker: recordFailure(row.delayBreaker, now, OVERDUE_LIMITS) }))
  }

  recordFailedAttempt (server: string, now: number): void {
    this.tables.servers.update(server, row => ({ ...row, failureBreaker: recordFailure(row.failureBreaker, now, FAILURE_LIMITS) }))
  }

  /** Records the end of an attempt, however it ended. */
  recordAttemptEnd (server: string, lane: Lane): void {
    this.tables.servers.update(server, row => ({
      ...row,
      openAttempts: Math.max(0, row.openAttempts - 1),
      openLongAttempts: Math.max(0, row.openLongAttempts - (lane === 'long' ? 1 : 0)),
      failureBreaker: recordInconclusive(row.failureBreaker),
      delayBreaker: recordInconclusive(row.delayBreaker)
    }))
  }

  /** Records the speed of a finished stream. Long streams are ignored, as they show conditions that have passed. */
  recordSpeed (attempt: AttemptRow, outputTokens: number, pool: Pool, now: number): void {
    const duration = now - (attempt.firstTokenAt ?? now)
    if (outputTokens < MINIMUM_SPEED_SAMPLE_TOKENS || duration <= 0 || duration > MAXIMUM_SPEED_SAMPLE_MILLISECONDS) return
    const tokenTime = duration / (outputTokens - 1)
    pool.recordTokenTime(tokenTime)
    const ratio = Math.min(MAXIMUM_SLOWNESS, Math.max(1 / MAXIMUM_SLOWNESS, tokenTime / pool.tokenTime))
    this.tables.servers.update(attempt.server, row => {
      const current = currentSlowness(row, now)
      return { ...row, slowness: current + (ratio - current) * SPEED_WEIGHT, slownessUpdatedAt: now }
    })
  }

  /** Records the wait of an attempt of short work, or the time that it has waited so far, in milliseconds. */
  recordWait (server: string, wait: number, now: number): void {
    this.tables.servers.update(server, row => {
      const current = currentWait(row, now)
      return { ...row, wait: current + (Math.max(0, wait) - current) * WAIT_WEIGHT, waitUpdatedAt: now }
    })
  }

  recordLoadReport (server: string, report: LoadReport, pools: Iterable<Pool>): void {
    this.tables.servers.update(server, row => {
      const retainedWeight = row.report === undefined ? 0 : halfLifeWeight(report.receivedAt - row.report.receivedAt, REPORT_AVERAGE_HALF_LIFE_MILLISECONDS)
      return { ...row, report, reportedLoad: loadOfReport(report) * (1 - retainedWeight) + row.reportedLoad * retainedWeight, openAttemptsAtReport: row.openAttempts }
    })
    for (const pool of pools) pool.recordReportedLoad(loadOfReport(report), Math.max(1, report.slots))
  }
}

function createServerRow (server: RoutedServer, now: number): ServerRow {
  return { server, openAttempts: 0, openLongAttempts: 0, reportedLoad: 0, openAttemptsAtReport: 0, slowness: 1, slownessUpdatedAt: now, wait: 0, waitUpdatedAt: now, failureBreaker: CLOSED_BREAKER, delayBreaker: CLOSED_BREAKER }
}

/** Returns the observed slowness, which decays to the pool's average. */
export function currentSlowness ({ slowness, slownessUpdatedAt }: ServerRow, now: number): number {
  return 1 + (slowness - 1) * halfLifeWeight(now - slownessUpdatedAt, SPEED_HALF_LIFE_MILLISECONDS)
}

/** Returns the recent wait of this router's short work in milliseconds, which decays to 0. */
export function currentWait ({ wait, waitUpdatedAt }: ServerRow, now: number): number {
  return wait * halfLifeWeight(now - waitUpdatedAt, WAIT_HALF_LIFE_MILLISECONDS)
}

/** Returns the load of a report in slots. With waiting streams, all slots count as used, and the logarithm of the waiting tokens is added. */
export function loadOfReport ({ active, slots, queuedTokens }: LoadReport): number {
  return queuedTokens === 0 ? active : Math.max(active, slots) + Math.log2(1 + queuedTokens)
}

/**
 * Returns the likely load in slots: the reported load, corrected by this router's attempts since
 * the report, and increasingly replaced by the pool's average load as the report ages.
 */
export function estimateLoad (row: ServerRow, meanLoad: number, now: number): number {
  if (row.report === undefined) return meanLoad + row.openAttempts
  const reportWeight = halfLifeWeight(now - row.report.receivedAt, REPORT_HALF_LIFE_MILLISECONDS)
  const expectedLoad = Math.max(row.openAttempts, row.reportedLoad + row.openAttempts - row.openAttemptsAtReport)
  return reportWeight * expectedLoad + (1 - reportWeight) * Math.max(row.openAttempts, meanLoad)
}

export function slotsOf ({ report }: ServerRow): number {
  return Math.max(1, report?.slots ?? DEFAULT_SLOTS)
}

/** Returns whether new work may go to the server. With `isStrict`, this excludes servers whose first tokens are overdue. */
export function isUsable (row: ServerRow | undefined, now: number, isStrict: boolean): row is ServerRow {
  return row !== undefined && !row.server.leaving && mayDispatch(row.failureBreaker, now) && (!isStrict || mayDispatch(row.delayBreaker, now))
}
