/**
 * Passes on what servers report of their load, without network I/O.
 *
 * A server reports its load with its answers. With many instances and many servers, an instance gets a report of each
 * server only every few seconds, which is too old to choose by. So each instance sends the latest reports that it knows,
 * its own and those that it received, to a few others several times a second. The number of messages of an instance
 * depends neither on the number of instances nor on that of servers. A lost message only makes estimates older.
 */

import { combineHashes, Table } from '#jayfall/shared'

import { EQUAL_COST_MILLISECONDS, MAXIMUM_REPORT_AGE_MILLISECONDS, MAXIMUM_REPORTS_PER_MESSAGE, MAXIMUM_SILENCE_MILLISECONDS, MINIMUM_SILENCE_MILLISECONDS, SAME_REPORT_MILLISECONDS, SILENCE_MEAN_AGES, SLOT_WAIT_MILLISECONDS, STEP_MILLISECONDS_PER_REQUEST } from './JayfallCapacityConstants'

/** The load of a server at one time. */
export interface LoadReport {
  readonly server: string
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Slowdown of the server's machine as a factor; 1 is the usual speed. */
  readonly slowness: number
  /** Monotonic milliseconds. */
  readonly measuredAt: number
}

/** Sends and receives reports. */
export abstract class LoadReportChannel {
  /** Sends the reports to some other instances. */
  abstract publish (reports: readonly LoadReport[], now: number): void
  /** Sets the function that is called with the reports of other instances. */
  abstract subscribe (handler: (report: LoadReport) => void): void
}

/** Used by an instance that has no connection to other instances. */
export class NoLoadReports extends LoadReportChannel {
  override publish (): void {}

  override subscribe (): void {}
}

export class LoadReports {
  private readonly latest = new Table<LoadReport>()

  /** Takes in a report. @returns whether it is newer than those known of its server. */
  record (report: LoadReport): boolean {
    const known = this.latest.get(report.server)
    if (known !== undefined && (known.measuredAt >= report.measuredAt || isSameReport(known, report))) return false
    this.latest.delete(report.server)
    this.latest.set(report.server, report)
    return true
  }

  /** Returns the newest reports, for other instances, and forgets those that are too old to help. */
  takeNewest (now: number): readonly LoadReport[] {
    // Other instances may still return a report that has just become too old.
    for (const [server, { measuredAt }] of [...this.latest.entries()]) if (now - measuredAt > MAXIMUM_REPORT_AGE_MILLISECONDS + SAME_REPORT_MILLISECONDS) this.latest.delete(server)
    return [...this.latest.rows()].filter(({ measuredAt }) => now - measuredAt <= MAXIMUM_REPORT_AGE_MILLISECONDS).sort((left, right) => right.measuredAt - left.measuredAt).slice(0, MAXIMUM_REPORTS_PER_MESSAGE)
  }
}

/** Whether both may be one report, of which one has come back: the age in a message lacks the time that the message takes. */
function isSameReport (known: LoadReport, report: LoadReport): boolean {
  return report.measuredAt - known.measuredAt < SAME_REPORT_MILLISECONDS && report.running === known.running && report.waiting === known.waiting && report.slots === known.slots
}

const HASH_COUNT = 2 ** 32

/**
 * The milliseconds that are added to the estimated time of a server for one request, so that instances which know the
 * same reports choose different ones of equally good servers.
 * @param range milliseconds within which servers count as equally good.
 */
export function equalCostDraw (requestHash: number, serverHash: number, range = EQUAL_COST_MILLISECONDS): number {
  return combineHashes(requestHash, serverHash) / HASH_COUNT * range
}

/**
 * The milliseconds for which a busy server has been silent beyond what is usual.
 * @param age milliseconds since its last report.
 * @param meanAge mean of that over the servers of the service.
 */
export function silenceOf (age: number, meanAge: number): number {
  return Math.max(0, Math.min(MAXIMUM_SILENCE_MILLISECONDS, age - Math.max(MINIMUM_SILENCE_MILLISECONDS, SILENCE_MEAN_AGES * meanAge)))
}

/** The cost of a known load for one more request, in milliseconds: longer batch steps, and the wait for a slot when none is free. */
export function knownLoadCost (load: number, slots: number, outputTokens: number): number {
  return load * STEP_MILLISECONDS_PER_REQUEST * outputTokens + Math.max(0, load + 1 - slots) * SLOT_WAIT_MILLISECONDS
}
