/** Observes which servers this instance can open connections to, and probes those that are out of reach. */

import { type Clock, type RandomSource } from '#jayfall/shared'
import { type Log, type Metrics } from '#jayfall/telemetry'

import { type BackendDirectory } from './JayfallBackendDirectory'
import { type ServerConnectionCheck } from './JayfallServerConnectionCheck'
import { type BackendServer } from './JayfallForwardingCatalogue'
import { PATH_CHECK_SERVERS } from './JayfallForwardingConstants'
import { type ReachChange, type ServiceReach } from './JayfallServiceReach'

export interface ReachMonitorParts {
  readonly reach: ServiceReach
  readonly directory: BackendDirectory
  readonly check: ServerConnectionCheck
  /** Whether nothing is sent to the servers of a zone, so that they cannot show whether this instance reaches them. */
  readonly isEvacuated: (zone: string) => boolean
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  readonly metrics: Metrics
}

export class ReachMonitor {
  constructor (private readonly parts: ReachMonitorParts) {}

  recordOpened ({ service }: BackendServer): void {
    this.logChange(service, this.parts.reach.recordOpened(service, this.parts.clock.monotonic()))
  }

  recordUnopened ({ service, id }: BackendServer): void {
    const { reach, clock } = this.parts
    this.logChange(service, reach.recordUnopened(service, id, this.serversOf(service).length, clock.monotonic()))
  }

  /** Probes the servers that are out of reach; called at an interval. */
  probe (): void {
    const { reach, clock, random } = this.parts
    for (const service of [...reach.dueProbes(clock.monotonic())]) {
      const server = random.pick(this.serversOf(service))
      if (server !== undefined) this.probeServer(server).catch(error => this.parts.log.error('probe_failed', { server: server.id, message: String(error) }))
    }
  }

  /**
   * Whether no server answers this instance, so that a server that does not either has not ended.
   * Servers of other services are asked where there are some, because one cause may end all servers of one service.
   */
  async isCutOff (server: BackendServer): Promise<boolean> {
    const { directory, check, random } = this.parts
    const others = [...directory.rows.entries()].map(([, row]) => row.server).filter(({ id, isDraining }) => id !== server.id && !isDraining)
    const elsewhere = others.filter(({ service }) => service !== server.service)
    const candidates = elsewhere.length > 0 ? elsewhere : others
    if (candidates.length === 0) return false
    const first = random.integer(0, candidates.length - 1)
    const asked = [...candidates, ...candidates].slice(first, first + Math.min(PATH_CHECK_SERVERS, candidates.length))
    const outcomes = await Promise.all(asked.map(({ address }) => check.tryConnection(address)))
    return !outcomes.includes('opened')
  }

  private async probeServer (server: BackendServer): Promise<void> {
    if (await this.parts.check.tryConnection(server.address) === 'opened') this.recordOpened(server)
  }

  private serversOf (service: string): readonly BackendServer[] {
    return [...this.parts.directory.rowsOfService(service)].map(({ server }) => server).filter(({ isDraining, zone }) => !isDraining && !this.parts.isEvacuated(zone))
  }

  private logChange (service: string, change: ReachChange | undefined): void {
    if (change === undefined) return
    const { log, metrics } = this.parts
    metrics.count('jayfall_forwarding_reach_changes_total', { service, change })
    if (change === 'cut') log.warn('service_out_of_reach', { service, servers: this.serversOf(service).length })
    else log.info('service_in_reach', { service })
  }
}
