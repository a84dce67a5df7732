/**
 * The backend servers of all services, with what this instance knows of each.
 *
 * Rows are replaced as a whole. A server's load is its last report, moved on by this instance's
 * own work since then and fading with the report's age.
 */

import { halfLifeWeight, type ReadonlyTable, Table } from '#jayfall/shared'

import { type BackendServer } from './JayfallForwardingCatalogue'
import {
  AVOID_INITIAL, AVOID_MAXIMUM, CUT_ZONE_AVOIDANCE, CUT_ZONE_SERVERS, CUT_ZONE_WINDOW, DELAY_HALF_LIFE, DELAY_WEIGHT, FAILURES_UNTIL_AVOIDED, FAILURE_RATE_HALF_LIFE,
  FAILURE_RATE_WEIGHT, LOAD_REPORT_HALF_LIFE, MAXIMUM_OTHERS_READING, SERVICE_DELAY_HALF_LIFE, SERVICE_DELAY_WEIGHT, WAITING_REPORT_HALF_LIFE
} from './JayfallForwardingConstants'
import { type ServerLoad } from './JayfallForwardingProtocol'

export interface BackendRow {
  readonly server: BackendServer
  /** Whether its entry went missing around an outage of the store, so that it may have left. */
  readonly isLapsed: boolean
  /** Own requests that have not ended. */
  readonly open: number
  readonly report: ServerLoad | undefined
  /** Monotonic milliseconds. */
  readonly reportedAt: number
  /** Own open requests when the report arrived. */
  readonly openAtReport: number
  readonly consecutiveFailures: number
  /** Recent part of outcomes that were failures, as of `outcomeAt`. */
  readonly failureRate: number
  readonly outcomeAt: number
  /** Estimated milliseconds of prompt reading of own requests that have no first event yet. */
  readonly pendingReading: number
  /** Until when the prompts that other instances sent are being read, as far as they told. Monotonic milliseconds. */
  readonly othersReadUntil: number
  /** How much later than estimated recent first events came, as of `delayAt`; milliseconds. */
  readonly delay: number
  readonly delayAt: number
  /** Monotonic milliseconds until which new work is kept away. */
  readonly avoidedUntil: number
  readonly avoidedFor: number
}

export class BackendDirectory {
  private readonly table = new Table<BackendRow>()
  /** Identifiers by service. */
  private readonly byService = new Map<string, Set<string>>()
  /** Servers that could not be reached since one of their zone was, with the time, by zone. */
  private readonly unreachable = new Map<string, ReadonlyMap<string, number>>()
  /** Zones that count as cut off, with the time until which they do. */
  private readonly cutZones = new Map<string, number>()
  /** Called when a zone counts as cut off, by zone. */
  private readonly cutOffListeners = new Map<string, Set<() => void>>()
  /** Recent delays of first events, by service. */
  private readonly serviceDelays = new Map<string, { readonly delay: number, readonly at: number }>()

  /** @param ownZone the availability zone of this instance. */
  constructor (private readonly ownZone: string) {}

  get rows (): ReadonlyTable<BackendRow> {
    return this.table
  }

  get size (): number {
    return this.table.size
  }

  /** Adds a server or replaces its entry. */
  set (server: BackendServer, now: number): void {
    const known = this.table.get(server.id)
    if (known !== undefined && known.server.service !== server.service) this.delete(server.id)
    this.table.set(server.id, known === undefined ? createRow(server, now) : { ...known, server, isLapsed: false })
    const ids = this.byService.get(server.service) ?? new Set()
    this.byService.set(server.service, ids.add(server.id))
  }

  noteLapsed (id: string): void {
    this.table.update(id, row => ({ ...row, isLapsed: true }))
  }

  delete (id: string): void {
    const row = this.table.get(id)
    if (row === undefined) return
    this.byService.get(row.server.service)?.delete(id)
    this.table.delete(id)
  }

  get (id: string): BackendRow | undefined {
    return this.table.get(id)
  }

  * ofService (service: string): Generator<BackendRow> {
    for (const id of this.byService.get(service) ?? []) {
      const row = this.table.get(id)
      if (row !== undefined) yield row
    }
  }

  /** @param reading estimated milliseconds of prompt reading; 0 for plain requests. */
  noteSent (id: string, reading: number): void {
    this.table.update(id, row => ({ ...row, open: row.open + 1, pendingReading: row.pendingReading + reading }))
  }

  /** Takes note that a request's prompt was read, or that its attempt ended before that. */
  noteRead (id: string, reading: number): void {
    this.table.update(id, row => ({ ...row, pendingReading: Math.max(0, row.pendingReading - reading) }))
  }

  /** Takes note that another instance sent a prompt that takes so long to read; engines read one after another. */
  noteOthersReading (id: string, milliseconds: number, now: number): void {
    this.table.update(id, row => ({ ...row, othersReadUntil: Math.min(now + MAXIMUM_OTHERS_READING, Math.max(now, row.othersReadUntil) + milliseconds) }))
  }

  /**
   * Takes note that a prompt waited so much less than other instances' prompts let expect. Engines
   * read in order, so what was told before it was sent has been read.
   */
  noteShorterWait (id: string, milliseconds: number): void {
    this.table.update(id, row => ({ ...row, othersReadUntil: row.othersReadUntil - milliseconds }))
  }

  /** Takes note that a first event came so much later than the reading of its prompt explains; 0 when it did not. */
  noteDelay (id: string, delay: number, now: number): void {
    const row = this.table.get(id)
    if (row === undefined) return
    this.table.set(id, { ...row, delay: this.expectedDelay(row, now) * (1 - DELAY_WEIGHT) + delay * DELAY_WEIGHT, delayAt: now })
    const { service } = row.server
    this.serviceDelays.set(service, { delay: this.serviceDelay(service, now) * (1 - SERVICE_DELAY_WEIGHT) + delay * SERVICE_DELAY_WEIGHT, at: now })
  }

  /** The likely delay of a first event: the server's own of late, and that of its service as far as its own is old. */
  expectedDelay ({ server, delay, delayAt }: BackendRow, now: number): number {
    const weight = halfLifeWeight(now - delayAt, DELAY_HALF_LIFE)
    return delay * weight + this.serviceDelay(server.service, now) * (1 - weight)
  }

  private serviceDelay (service: string, now: number): number {
    const known = this.serviceDelays.get(service)
    return known === undefined ? 0 : known.delay * halfLifeWeight(now - known.at, SERVICE_DELAY_HALF_LIFE)
  }

  noteEnded (id: string): void {
    this.table.update(id, row => ({ ...row, open: Math.max(0, row.open - 1) }))
  }

  noteLoad (id: string, report: ServerLoad, now: number): void {
    this.table.update(id, row => ({ ...row, report, reportedAt: now, openAtReport: row.open }))
  }

  /** Takes note that no connection could be opened. Nothing else can be tried there, so one failure is enough to avoid it. */
  noteUnreachable (id: string, now: number): void {
    this.table.update(id, row => avoid({ ...row, consecutiveFailures: row.consecutiveFailures + 1 }, now))
    const zone = this.table.get(id)?.server.zone
    if (zone === undefined) return
    const recent = [...this.unreachable.get(zone) ?? []].filter(([other, at]) => other !== id && now - at < CUT_ZONE_WINDOW)
    const servers = new Map<string, number>([...recent, [id, now]])
    this.unreachable.set(zone, servers)
    if (servers.size < CUT_ZONE_SERVERS || (zone !== this.ownZone && this.isOwnZoneMissed(now))) return
    this.cutZones.set(zone, now + CUT_ZONE_AVOIDANCE)
    for (const listener of this.cutOffListeners.get(zone) ?? []) listener()
  }

  /** Whether the servers beside this instance were out of reach of late: then its own link is the likely cause. */
  private isOwnZoneMissed (now: number): boolean {
    return [...this.unreachable.get(this.ownZone)?.values() ?? []].some(at => now - at < CUT_ZONE_WINDOW)
  }

  /** Has `listener` called whenever a server of the zone cannot be reached while the zone counts as cut off. */
  registerCutOffListener (zone: string, listener: () => void): () => void {
    const listeners = this.cutOffListeners.get(zone) ?? new Set()
    this.cutOffListeners.set(zone, listeners.add(listener))
    return () => {
      listeners.delete(listener)
      if (listeners.size === 0 && this.cutOffListeners.get(zone) === listeners) this.cutOffListeners.delete(zone)
    }
  }

  /** Takes note that a connection was opened. */
  noteReachable (id: string): void {
    const zone = this.table.get(id)?.server.zone
    if (zone === undefined) return
    this.unreachable.delete(zone)
    this.cutZones.delete(zone)
  }

  /** Whether several servers of the zone were out of reach of late, and none was reached since. */
  isCutOff (zone: string, now: number): boolean {
    return now < (this.cutZones.get(zone) ?? -Infinity)
  }

  noteSuccess (id: string, now: number): void {
    this.table.update(id, row => ({
      ...row, consecutiveFailures: 0, avoidedUntil: -Infinity, avoidedFor: 0, failureRate: currentFailureRate(row, now) * (1 - FAILURE_RATE_WEIGHT), outcomeAt: now
    }))
  }

  noteFailure (id: string, now: number): void {
    this.table.update(id, row => {
      const consecutiveFailures = row.consecutiveFailures + 1
      const failureRate = currentFailureRate(row, now) * (1 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT
      const counted = { ...row, consecutiveFailures, failureRate, outcomeAt: now }
      return consecutiveFailures < FAILURES_UNTIL_AVOIDED ? counted : avoid(counted, now)
    })
  }
}

/** Keeps new work away for a time that doubles while trials go on failing. */
function avoid (row: BackendRow, now: number): BackendRow {
  if (now < row.avoidedUntil) return row
  const avoidedFor = Math.min(AVOID_MAXIMUM, row.avoidedFor === 0 ? AVOID_INITIAL : row.avoidedFor * 2)
  return { ...row, avoidedFor, avoidedUntil: now + avoidedFor }
}

function createRow (server: BackendServer, now: number): BackendRow {
  return { server, isLapsed: false, open: 0, report: undefined, reportedAt: now, openAtReport: 0, consecutiveFailures: 0, failureRate: 0, outcomeAt: now, pendingReading: 0, othersReadUntil: -Infinity, delay: 0, delayAt: now, avoidedUntil: -Infinity, avoidedFor: 0 }
}

/** Milliseconds until the server has read the prompts of other instances, as far as they told. */
export function othersReading ({ othersReadUntil }: BackendRow, now: number): number {
  return Math.max(0, othersReadUntil - now)
}

/** The recent part of outcomes that were failures, fading with time. */
export function currentFailureRate ({ failureRate, outcomeAt }: BackendRow, now: number): number {
  return failureRate * halfLifeWeight(now - outcomeAt, FAILURE_RATE_HALF_LIFE)
}

/** Requests that likely wait for their prompt to be read, from the server's last report. */
export function estimateWaiting ({ report, reportedAt }: BackendRow, now: number): number {
  return report === undefined ? 0 : report.waiting * halfLifeWeight(now - reportedAt, WAITING_REPORT_HALF_LIFE)
}

/** Requests that likely run or wait at the server. */
export function estimateLoad (row: BackendRow, now: number): number {
  if (row.report === undefined) return row.open
  const weight = halfLifeWeight(now - row.reportedAt, LOAD_REPORT_HALF_LIFE)
  const reported = row.report.running + row.report.waiting + row.open - row.openAtReport
  return Math.max(row.open, weight * reported + (1 - weight) * row.open)
}

/** The slots that the server reports, or else registered. */
export function slotsOf ({ report, server }: BackendRow): number {
  return Math.max(1, report?.slots ?? server.slots)
}
