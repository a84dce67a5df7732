/**
 * Shares the load reports of servers with other instances, and keeps the share of requests that may leave the zone and
 * the lane of long prompts.
 *
 * It does so where some service is ordered by priority.
 */

import { LoadReports, type LaneServer, type LoadReport, type LoadReportChannel, type LongWorkLanes, type WorkOrders, type ZoneLoad, type ZoneSpill } from '#jayfall/capacity'
import { type Clock } from '#jayfall/shared'
import { type Log, type Metrics } from '#jayfall/telemetry'

import { isOutOfReach, sharedLoadOf, slotsOf, type BackendDirectory, type BackendRow } from './JayfallBackendDirectory'
import { type BackendServer } from './JayfallForwardingCatalogue'
import { type ServerLoad } from './JayfallForwardingProtocol'

export interface LoadSharingParts {
  readonly channel: LoadReportChannel
  readonly directory: BackendDirectory
  readonly workOrders: WorkOrders
  readonly zoneSpill: ZoneSpill
  readonly lanes: LongWorkLanes
  readonly isEvacuated: (zone: string) => boolean
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
}

export class LoadSharing {
  private readonly reports = new LoadReports()

  constructor (private readonly parts: LoadSharingParts) {
    parts.channel.subscribe(report => this.receive(report))
  }

  /** Records what a server reported to this instance. */
  record ({ id }: BackendServer, load: ServerLoad): void {
    const { directory, workOrders, clock } = this.parts
    const measuredAt = clock.monotonic()
    directory.recordLoad(id, load, measuredAt)
    if (workOrders.areLoadsShared) this.reports.record({ server: id, ...load, measuredAt })
  }

  /** Sends reports to other instances, and updates the share and the lane; called at an interval. */
  update (): void {
    const { channel, workOrders, clock } = this.parts
    const now = clock.monotonic()
    for (const service of workOrders.priorityFirstServices) {
      this.updateLeavingShare(service, now)
      this.updateLane(service, now)
    }
    const newest = this.reports.takeNewest(now)
    if (newest.length > 0) channel.publish(newest, now)
  }

  /** The zones whose instances choose among the servers of this one's zone: its own, and those that have no servers in use. */
  zonesChoosingFrom ({ service, zone }: BackendServer): ReadonlySet<string> {
    const { directory, isEvacuated } = this.parts
    const [zones, zonesInUse] = [new Set<string>(), new Set<string>()]
    for (const { server, isLapsed } of directory.rowsOfService(service)) {
      zones.add(server.zone)
      if (!server.isDraining && !isLapsed && !isEvacuated(server.zone)) zonesInUse.add(server.zone)
    }
    return new Set([zone, ...[...zones].filter(other => !zonesInUse.has(other))])
  }

  private updateLeavingShare (service: string, now: number): void {
    const { zoneSpill, log, metrics } = this.parts
    const before = zoneSpill.leavingShare(service)
    zoneSpill.update(service, this.loadsByZone(service, now), now)
    const share = zoneSpill.leavingShare(service)
    if (share === before) return
    metrics.count('jayfall_capacity_zone_leaving_share', { service }, share - before)
    if (before === 0) log.info('requests_leave_zone', { service })
    else if (share === 0) log.info('requests_stay_in_zone', { service })
  }

  private updateLane (service: string, now: number): void {
    const { lanes, log, metrics } = this.parts
    const [sizeBefore, factorBefore] = [lanes.sizeOf(service), lanes.lowestEscalationFactor(service)]
    lanes.update(service, [...this.serversInUse(service, now)], now)
    const [size, factor] = [lanes.sizeOf(service), lanes.lowestEscalationFactor(service)]
    if (size !== sizeBefore) metrics.count('jayfall_capacity_lane_servers', { service }, size - sizeBefore)
    if (factor === factorBefore) return
    metrics.count('jayfall_capacity_escalation_reduction', { service }, factorBefore - factor)
    if (factorBefore === 1) log.info('escalations_reduced', { service })
    else if (factor === 1) log.info('escalations_restored', { service })
  }

  private receive (report: LoadReport): void {
    const { server, measuredAt, ...load } = report
    const { directory, metrics } = this.parts
    if (directory.get(server) === undefined || !this.reports.record(report)) return
    directory.recordLoad(server, load, measuredAt)
    metrics.count('jayfall_capacity_load_reports_received_total', {})
  }

  /** Records that a long prompt is sent to a server, by this instance or another one. */
  recordLongPrompt (server: string, prefillTime: number): void {
    const { directory, lanes, clock } = this.parts
    const row = directory.get(server)
    if (row !== undefined && lanes.isLong(prefillTime)) lanes.record(row.server.service, row.server, prefillTime, clock.monotonic())
  }

  private * serversInUse (service: string, now: number): Generator<LaneServer> {
    for (const { server: { id, zone, version }, affinityHash } of this.rowsInUse(service, now)) yield { id, zone, version, affinityHash }
  }

  private * rowsInUse (service: string, now: number): Generator<BackendRow> {
    const { directory, isEvacuated } = this.parts
    for (const row of directory.rowsOfService(service)) {
      const { zone, isDraining } = row.server
      if (!isDraining && !row.isLapsed && !isOutOfReach(row, now) && !isEvacuated(zone) && !directory.isZoneUnreachable(zone, now)) yield row
    }
  }

  /** The load of the service's servers that are in use, by zone. */
  private loadsByZone (service: string, now: number): ReadonlyMap<string, ZoneLoad> {
    const loads = new Map<string, ZoneLoad>()
    for (const row of this.rowsInUse(service, now)) {
      const { zone } = row.server
      const { load, slots } = loads.get(zone) ?? { load: 0, slots: 0 }
      loads.set(zone, { load: load + sharedLoadOf(row), slots: slots + slotsOf(row) })
    }
    return loads
  }
}
