/**
 * Shares the load reports of servers with other instances, and keeps the share of requests that may leave the zone.
 *
 * It does so for the services that are ordered by priority.
 */

import { LoadReports, type LoadReport, type LoadReportChannel, type WorkOrders, type ZoneLoad, type ZoneSpill } from '#jayfall/capacity'
import { type Clock } from '#jayfall/shared'
import { type Metrics } from '#jayfall/telemetry'

import { estimateLoad, isOutOfReach, slotsOf, type BackendDirectory } from './JayfallBackendDirectory'
import { type BackendServer } from './JayfallForwardingCatalogue'
import { type ServerLoad } from './JayfallForwardingProtocol'

export interface LoadSharingParts {
  readonly channel: LoadReportChannel
  readonly directory: BackendDirectory
  readonly workOrders: WorkOrders
  readonly zoneSpill: ZoneSpill
  readonly isEvacuated: (zone: string) => boolean
  readonly clock: Clock
  readonly metrics: Metrics
}

export class LoadSharing {
  private readonly reports = new LoadReports()

  constructor (private readonly parts: LoadSharingParts) {
    parts.channel.subscribe(report => this.receive(report))
  }

  /** Records what a server reported to this instance. */
  record ({ id, service }: BackendServer, load: ServerLoad): void {
    const { directory, workOrders, clock } = this.parts
    const measuredAt = clock.monotonic()
    directory.recordLoad(id, load, measuredAt)
    if (workOrders.isPriorityFirst(service)) this.reports.record({ server: id, ...load, measuredAt })
  }

  /** Sends reports to other instances, and updates the share of requests that may leave the zone; called at an interval. */
  update (): void {
    const { channel, workOrders, zoneSpill, clock, metrics } = this.parts
    const now = clock.monotonic()
    for (const service of workOrders.priorityFirstServices) {
      const before = zoneSpill.leavingShare(service)
      zoneSpill.update(service, this.loadsByZone(service, now), now)
      const share = zoneSpill.leavingShare(service)
      if (share !== before) metrics.count('jayfall_capacity_zone_leaving_share', { service }, share - before)
    }
    const newest = this.reports.takeNewest(now)
    if (newest.length > 0) channel.publish(newest, now)
  }

  private receive (report: LoadReport): void {
    const { server, measuredAt, ...load } = report
    const { directory, metrics } = this.parts
    if (directory.get(server) === undefined || !this.reports.record(report)) return
    directory.recordLoad(server, load, measuredAt)
    metrics.count('jayfall_capacity_load_reports_received_total', {})
  }

  /** The load of the service's servers that are in use, by zone. */
  private loadsByZone (service: string, now: number): ReadonlyMap<string, ZoneLoad> {
    const loads = new Map<string, ZoneLoad>()
    for (const row of this.parts.directory.rowsOfService(service)) {
      const { zone, isDraining } = row.server
      if (isDraining || row.isLapsed || isOutOfReach(row, now) || this.parts.isEvacuated(zone) || this.parts.directory.isZoneUnreachable(zone, now)) continue
      const { load, slots } = loads.get(zone) ?? { load: 0, slots: 0 }
      loads.set(zone, { load: load + estimateLoad(row, now), slots: slots + slotsOf(row) })
    }
    return loads
  }
}
