/**
 * Holds the backend servers of all services and the state of each as this instance observes it.
 *
 * Rows are immutable and are replaced as a whole. The load of a server is estimated from its last
 * report, the requests that this instance started and ended since then, and the age of the report.
 */

import { halfLifeWeight, hashName, type ReadonlyTable, Table } from '#jayfall/shared'

import { type BackendServer } from './JayfallForwardingCatalogue'
import {
  INITIAL_AVOIDANCE_MILLISECONDS, MAXIMUM_AVOIDANCE_MILLISECONDS, ZONE_OUTAGE_AVOIDANCE_MILLISECONDS, ZONE_OUTAGE_SERVERS, ZONE_OUTAGE_WINDOW_MILLISECONDS, SERVER_DELAY_HALF_LIFE_MILLISECONDS, SERVER_DELAY_WEIGHT, FAILURES_BEFORE_AVOIDANCE, FAILURE_RATE_HALF_LIFE_MILLISECONDS,
  FAILURE_RATE_WEIGHT, LOAD_REPORT_HALF_LIFE_MILLISECONDS, MAXIMUM_PEER_PREFILL_MILLISECONDS, SERVICE_DELAY_HALF_LIFE_MILLISECONDS, SERVICE_DELAY_WEIGHT, UNOPENED_CONNECTIONS_OUT_OF_REACH, WAITING_REPORT_HALF_LIFE_MILLISECONDS
} from './JayfallForwardingConstants'
import { type ServerLoad } from './JayfallForwardingProtocol'

export interface BackendRow {
  readonly server: BackendServer
  /** Hash of the server's identifier, from which its affinity to prompt parts follows. */
  readonly affinityHash: number
  /** Whether the server's entry disappeared around an outage of the store, so that the server may have left. */
  readonly isLapsed: boolean
  /** Requests of this instance that have not ended. */
  readonly openRequests: number
  readonly loadReport: ServerLoad | undefined
  /** Monotonic milliseconds. */
  readonly loadReportedAt: number
  /** Open requests of this instance when the report arrived. */
  readonly openRequestsAtReport: number
  readonly consecutiveFailures: number
  /** Moving average of the fraction of outcomes that were failures, as of `failureRateAt`. */
  readonly failureRate: number
  readonly failureRateAt: number
  /** Estimated milliseconds of prefill of this instance's requests that have no first event yet. */
  readonly pendingPrefillTime: number
  /** Monotonic milliseconds until which the server is busy with the prefill of other instances' prompts, according to their hints. */
  readonly peerPrefillUntil: number
  /** Moving average of the milliseconds by which first events came later than the prefill time, as of `firstEventDelayAt`. */
  readonly firstEventDelay: number
  readonly firstEventDelayAt: number
  /** Connections in a row that could not be opened. */
  readonly unopenedConnections: number
  /** Monotonic milliseconds until which the server gets no new work. */
  readonly avoidedUntil: number
  readonly avoidanceDuration: number
}

export class BackendDirectory {
  private readonly table = new Table<BackendRow>()
  /** Identifiers of the servers of each service. */
  private readonly serverIdsByService = new Map<string, Set<string>>()
  /** By zone, the servers that could not be reached since any server of the zone was last reached, each with the time of the failure. */
  private readonly unreachableServers = new Map<string, ReadonlyMap<string, number>>()
  /** Unreachable zones, each with the time until which it is treated as unreachable. */
  private readonly unreachableZones = new Map<string, number>()
  /** Listeners by zone that are called when the zone is detected as unreachable. */
  private readonly zoneOutageListeners = new Map<string, Set<() => void>>()
  /** Moving averages of the delay of first events by service, in milliseconds. */
  private readonly serviceDelays = new Map<string, { readonly delay: number, readonly at: number }>()

  /** @param ownZone the availability zone of this instance. */
  constructor (private readonly ownZone: string) {}

  get rows (): ReadonlyTable<BackendRow> {
    return this.table
  }

  get size (): number {
    return this.table.size
  }

  /** Adds a server, or replaces its entry and keeps what was observed of it. */
  set (server: BackendServer, now: number): void {
    const known = this.table.get(server.id)
    if (known !== undefined && known.server.service !== server.service) this.delete(server.id)
    this.table.set(server.id, known === undefined ? createRow(server, now) : { ...known, server, isLapsed: false })
    const ids = this.serverIdsByService.get(server.service) ?? new Set()
    this.serverIdsByService.set(server.service, ids.add(server.id))
  }

  markLapsed (id: string): void {
    this.table.update(id, row => ({ ...row, isLapsed: true }))
  }

  delete (id: string): void {
    const row = this.table.get(id)
    if (row === undefined) return
    this.serverIdsByService.get(row.server.service)?.delete(id)
    this.table.delete(id)
  }

  get (id: string): BackendRow | undefined {
    return this.table.get(id)
  }

  * rowsOfService (service: string): Generator<BackendRow> {
    for (const id of this.serverIdsByService.get(service) ?? []) {
      const row = this.table.get(id)
      if (row !== undefined) yield row
    }
  }

  /** @param prefillTime estimated milliseconds of prefill; 0 for plain requests. */
  recordSent (id: string, prefillTime: number): void {
    this.table.update(id, row => ({ ...row, openRequests: row.openRequests + 1, pendingPrefillTime: row.pendingPrefillTime + prefillTime }))
  }

  /** Records that the prefill of a request's prompt ended, or that its attempt ended before that. */
  recordPrefillEnd (id: string, prefillTime: number): void {
    this.table.update(id, row => ({ ...row, pendingPrefillTime: Math.max(0, row.pendingPrefillTime - prefillTime) }))
  }

  /** Records that another instance sent a prompt with the given prefill time in milliseconds. Engines process prompts one after another, so the times add up. */
  recordPeerPrefill (id: string, milliseconds: number, now: number): void {
    this.table.update(id, row => ({ ...row, peerPrefillUntil: Math.min(now + MAXIMUM_PEER_PREFILL_MILLISECONDS, Math.max(now, row.peerPrefillUntil) + milliseconds) }))
  }

  /**
   * Records that a prompt waited so many milliseconds less than the hints of other instances suggested.
   * Engines process prompts in order, so the prompts announced before it have been processed.
   */
  reducePeerPrefill (id: string, milliseconds: number): void {
    this.table.update(id, row => ({ ...row, peerPrefillUntil: row.peerPrefillUntil - milliseconds }))
  }

  /** Records by how many milliseconds a first event came later than the prefill time of its prompt explains; 0 when it did not. */
  recordFirstEventDelay (id: string, delay: number, now: number): void {
    const row = this.table.get(id)
    if (row === undefined) return
    this.table.set(id, { ...row, firstEventDelay: this.expectedFirstEventDelay(row, now) * (1 - SERVER_DELAY_WEIGHT) + delay * SERVER_DELAY_WEIGHT, firstEventDelayAt: now })
    const { service } = row.server
    this.serviceDelays.set(service, { delay: this.expectedServiceDelay(service, now) * (1 - SERVICE_DELAY_WEIGHT) + delay * SERVICE_DELAY_WEIGHT, at: now })
  }

  /** The expected delay of a first event in milliseconds: the server's own moving average, replaced by that of its service as it ages. */
  expectedFirstEventDelay ({ server, firstEventDelay, firstEventDelayAt }: BackendRow, now: number): number {
    const weight = halfLifeWeight(now - firstEventDelayAt, SERVER_DELAY_HALF_LIFE_MILLISECONDS)
    return firstEventDelay * weight + this.expectedServiceDelay(server.service, now) * (1 - weight)
  }

  private expectedServiceDelay (service: string, now: number): number {
    const known = this.serviceDelays.get(service)
    return known === undefined ? 0 : known.delay * halfLifeWeight(now - known.at, SERVICE_DELAY_HALF_LIFE_MILLISECONDS)
  }

  recordEnd (id: string): void {
    this.table.update(id, row => ({ ...row, openRequests: Math.max(0, row.openRequests - 1) }))
  }

  /** @param measuredAt monotonic milliseconds; an older report than the known one changes nothing. */
  recordLoad (id: string, report: ServerLoad, measuredAt: number): void {
    this.table.update(id, row => row.loadReport !== undefined && measuredAt < row.loadReportedAt ? row : { ...row, loadReport: report, loadReportedAt: measuredAt, openRequestsAtReport: row.openRequests })
  }

  /** Records that no connection could be opened. A single failure is enough to avoid the server, because nothing else can be tried there. */
  recordUnreachable (id: string, now: number): void {
    this.table.update(id, row => startAvoidance({ ...row, consecutiveFailures: row.consecutiveFailures + 1, unopenedConnections: row.unopenedConnections + 1 }, now))
    const zone = this.table.get(id)?.server.zone
    if (zone === undefined) return
    const recent = [...this.unreachableServers.get(zone) ?? []].filter(([other, at]) => other !== id && now - at < ZONE_OUTAGE_WINDOW_MILLISECONDS)
    const servers = new Map<string, number>([...recent, [id, now]])
    this.unreachableServers.set(zone, servers)
    if (servers.size < ZONE_OUTAGE_SERVERS || (zone !== this.ownZone && this.hasUnreachableServersInOwnZone(now))) return
    this.unreachableZones.set(zone, now + ZONE_OUTAGE_AVOIDANCE_MILLISECONDS)
    for (const listener of this.zoneOutageListeners.get(zone) ?? []) listener()
  }

  /** Whether servers in this instance's own zone were unreachable recently. In that case the link of this instance is the likely cause. */
  private hasUnreachableServersInOwnZone (now: number): boolean {
    return [...this.unreachableServers.get(this.ownZone)?.values() ?? []].some(at => now - at < ZONE_OUTAGE_WINDOW_MILLISECONDS)
  }

  /**
   * Adds a listener that is called whenever a server of the zone cannot be reached while the zone is treated as unreachable.
   * @returns a function that removes the listener.
   */
  addZoneOutageListener (zone: string, listener: () => void): () => void {
    const listeners = this.zoneOutageListeners.get(zone) ?? new Set()
    this.zoneOutageListeners.set(zone, listeners.add(listener))
    return () => {
      listeners.delete(listener)
      if (listeners.size === 0 && this.zoneOutageListeners.get(zone) === listeners) this.zoneOutageListeners.delete(zone)
    }
  }

  /** Records that a connection was opened. */
  recordReachable (id: string): void {
    const row = this.table.get(id)
    if (row === undefined) return
    if (row.unopenedConnections > 0) this.table.set(id, { ...row, unopenedConnections: 0 })
    const { zone } = row.server
    this.unreachableServers.delete(zone)
    this.unreachableZones.delete(zone)
  }

  /** Whether several servers of the zone could not be reached recently, and none was reached since. */
  isZoneUnreachable (zone: string, now: number): boolean {
    return now < (this.unreachableZones.get(zone) ?? -Infinity)
  }

  /** Mean age in milliseconds of the load reports of the service's servers that are busy. */
  meanReportAge (service: string, now: number): number {
    let [sum, count] = [0, 0]
    for (const { loadReport, loadReportedAt } of this.rowsOfService(service)) {
      if (loadReport === undefined || loadReport.running === 0) continue
      sum += now - loadReportedAt
      count++
    }
    return count === 0 ? 0 : sum / count
  }

  recordSuccess (id: string, now: number): void {
    this.table.update(id, row => ({
      ...row, consecutiveFailures: 0, avoidedUntil: -Infinity, avoidanceDuration: 0, failureRate: currentFailureRate(row, now) * (1 - FAILURE_RATE_WEIGHT), failureRateAt: now
    }))
  }

  recordFailure (id: string, now: number): void {
    this.table.update(id, row => {
      const consecutiveFailures = row.consecutiveFailures + 1
      const failureRate = currentFailureRate(row, now) * (1 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT
      const updated = { ...row, consecutiveFailures, failureRate, failureRateAt: now }
      return consecutiveFailures < FAILURES_BEFORE_AVOIDANCE ? updated : startAvoidance(updated, now)
    })
  }
}

/** Keeps new work away from a server for a period that doubles with each further failure. */
function startAvoidance (row: BackendRow, now: number): BackendRow {
  if (now < row.avoidedUntil) return row
  const avoidanceDuration = Math.min(MAXIMUM_AVOIDANCE_MILLISECONDS, row.avoidanceDuration === 0 ? INITIAL_AVOIDANCE_MILLISECONDS : row.avoidanceDuration * 2)
  return { ...row, avoidanceDuration, avoidedUntil: now + avoidanceDuration }
}

function createRow (server: BackendServer, now: number): BackendRow {
  return { server, affinityHash: hashName(server.id), isLapsed: false, openRequests: 0, loadReport: undefined, loadReportedAt: now, openRequestsAtReport: 0, consecutiveFailures: 0, failureRate: 0, failureRateAt: now, pendingPrefillTime: 0, peerPrefillUntil: -Infinity, firstEventDelay: 0, firstEventDelayAt: now, unopenedConnections: 0, avoidedUntil: -Infinity, avoidanceDuration: 0 }
}

/** Whether connections to the server fail at present, so that a request would only wait for another failure. */
export function isOutOfReach ({ unopenedConnections, avoidedUntil }: BackendRow, now: number): boolean {
  return unopenedConnections >= UNOPENED_CONNECTIONS_OUT_OF_REACH && now < avoidedUntil
}

/** Milliseconds until the server has processed the announced prompts of other instances. */
export function remainingPeerPrefillTime ({ peerPrefillUntil }: BackendRow, now: number): number {
  return Math.max(0, peerPrefillUntil - now)
}

/** The moving average of the failure rate, decayed by the time since the last outcome. */
export function currentFailureRate ({ failureRate, failureRateAt }: BackendRow, now: number): number {
  return failureRate * halfLifeWeight(now - failureRateAt, FAILURE_RATE_HALF_LIFE_MILLISECONDS)
}

/** Estimated number of requests that wait for the prefill of their prompt, from the server's last report. */
export function estimateWaitingRequests ({ loadReport, loadReportedAt }: BackendRow, now: number): number {
  return loadReport === undefined ? 0 : loadReport.waiting * halfLifeWeight(now - loadReportedAt, WAITING_REPORT_HALF_LIFE_MILLISECONDS)
}

/** Requests that run or wait at the server, where instances share their reports: the last report is the best estimate, also when the server has been silent since. */
export function sharedLoadOf ({ loadReport, openRequests, openRequestsAtReport }: BackendRow): number {
  return loadReport === undefined ? openRequests : Math.max(openRequests, loadReport.running + loadReport.waiting + openRequests - openRequestsAtReport)
}

/** Estimated number of requests that run or wait at the server. */
export function estimateLoad (row: BackendRow, now: number): number {
  if (row.loadReport === undefined) return row.openRequests
  const weight = halfLifeWeight(now - row.loadReportedAt, LOAD_REPORT_HALF_LIFE_MILLISECONDS)
  const reported = row.loadReport.running + row.loadReport.waiting + row.openRequests - row.openRequestsAtReport
  return Math.max(row.openRequests, weight * reported + (1 - weight) * row.openRequests)
}

/** The number of slots that the server reported, or otherwise registered. */
export function slotsOf ({ loadReport, server }: BackendRow): number {
  return Math.max(1, loadReport?.slots ?? server.slots)
}
