/**
 * State that this instance reads from the store: the catalogue, the backend servers and the rollouts.
 *
 * An older version of the catalogue never replaces a newer one. When the entries of servers expire around
 * an outage of the store, the servers are kept for a grace period, because running servers register again
 * after the outage. Until then they are used only when there is no other server, because they may have left.
 * When the store comes back from a copy, a server that was seen to leave stays out of use.
 */

import { type ColdServers, type WorkOrders } from '#jayfall/capacity'
import { type Clock } from '#jayfall/shared'
import { type TablePosition } from '#jayfall/store'
import { type Log, type LogFields } from '#jayfall/telemetry'

import { type BackendDirectory } from './JayfallBackendDirectory'
import { DepartedServers, isSameIncarnation } from './JayfallDepartedServers'
import { type BackendServer, type ForwardingCatalogue } from './JayfallForwardingCatalogue'
import { LAPSED_ENTRY_GRACE_MILLISECONDS } from './JayfallForwardingConstants'
import { RouteTable } from './JayfallRouteTable'

/** A change of the list of backend servers; `server` is undefined when the entry was removed or describes no usable server. */
export interface ServerChange {
  readonly id: string
  readonly server: BackendServer | undefined
}

/** The origin of a version of the catalogue; for the log. */
export interface CatalogueOrigin {
  readonly position: TablePosition
  /** The instance that read the catalogue from the store; undefined when it was this instance. */
  readonly reader: string | undefined
  /** Milliseconds that the read took, including the time that it waited for a change. */
  readonly readDuration: number
  /** Milliseconds since the store answered the read, by the store's clock. */
  readonly age: number
}

/** What follows from the services of the catalogue. */
export interface ServicePolicies {
  readonly coldServers: ColdServers
  readonly workOrders: WorkOrders
}

export class ForwardingState {
  private routeTable: RouteTable | undefined
  private hasServerList = false
  private hasRolloutState = false
  /** Called once when the state becomes ready. */
  private readyCallbacks: (() => void)[] = []
  /** Servers whose entries expired, each with the monotonic time until which it is still used. */
  private readonly lapsed = new Map<string, number>()
  /** Monotonic milliseconds until which missing entries may still reappear. */
  private graceUntil = -Infinity

  private readonly departed: DepartedServers

  /** @param entryLifetime milliseconds after which the store removes the entry of a silent server. */
  constructor (private readonly directory: BackendDirectory, private readonly policies: ServicePolicies, private readonly clock: Clock, private readonly log: Log, entryLifetime: number) {
    this.departed = new DepartedServers(entryLifetime)
  }

  /** undefined until the first catalogue is known. */
  get routes (): RouteTable | undefined {
    return this.routeTable
  }

  get isReady (): boolean {
    return this.routeTable !== undefined && this.hasServerList && this.hasRolloutState
  }

  /** Resolves when the state is ready, or after `limit` milliseconds. */
  waitUntilReady (limit: number): Promise<void> {
    if (this.isReady) return Promise.resolve()
    return new Promise(resolve => {
      const timer = setTimeout(resolve, limit)
      this.readyCallbacks.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  /** Records that it is known which versions the services run on. */
  markRolloutsKnown (): void {
    this.hasRolloutState = true
    this.notifyReady()
  }

  applyCatalogue (catalogue: ForwardingCatalogue, origin: CatalogueOrigin): void {
    const known = this.routeTable?.catalogue.version
    if (known !== undefined && catalogue.version <= known) return
    this.routeTable = new RouteTable(catalogue)
    this.policies.workOrders.setRoutes(catalogue.routes.map(({ targets, priority, objective }) => ({ services: targets.map(({ service }) => service), priority, objective })))
    this.policies.coldServers.setPolicies(new Map([...catalogue.services].flatMap(([name, { cold }]) => cold === undefined ? [] : [[name, cold]])))
    this.log.info('catalogue_in_force', { version: catalogue.version, replaced: known, routes: catalogue.routes.length, keys: catalogue.workspacesByKey?.size, ...describeOrigin(origin) })
    this.notifyReady()
  }

  /** Applies how the list differs from the one before, after the store came back from a copy. */
  applyServersOfCopy (changes: readonly ServerChange[]): void {
    const now = this.clock.monotonic()
    this.applyServerChanges(changes.flatMap(change => [...this.reviseChange(change, now)]), true)
  }

  /** @param isAfterLoss whether the store was unreachable just before. */
  applyServerChanges (changes: readonly ServerChange[], isAfterLoss: boolean): void {
    const now = this.clock.monotonic()
    if (isAfterLoss) this.graceUntil = now + LAPSED_ENTRY_GRACE_MILLISECONDS
    this.hasServerList = true
    for (const { id, server } of changes) {
      this.departed.forget(id)
      if (server === undefined) this.markServerLapsed(id, now)
      else this.addServer(server, now)
    }
    this.notifyReady()
  }

  /** Replaces the list of servers; the entries of servers that are not listed have expired. */
  applyServerSnapshot (servers: readonly ServerChange[], isAfterLoss: boolean): void {
    this.applyServerChanges(this.withMissing(servers), isAfterLoss)
  }

  /** Replaces the list of servers by that of a copy from which the store came back. */
  applySnapshotOfCopy (servers: readonly ServerChange[]): void {
    this.applyServersOfCopy(this.withMissing(servers))
  }

  /** Removes the servers whose grace period has ended, and uses those that were held back long enough; called at an interval. */
  updateServers (): void {
    const now = this.clock.monotonic()
    for (const server of this.departed.release(now)) this.addServer(server, now)
    for (const [id, keptUntil] of this.lapsed) {
      if (now < keptUntil) continue
      this.lapsed.delete(id)
      this.removeServer(id)
    }
  }

  private notifyReady (): void {
    if (!this.isReady) return
    const { readyCallbacks } = this
    this.readyCallbacks = []
    for (const callback of readyCallbacks) callback()
  }

  /** Adds the servers that are not listed any more to a whole list. */
  private withMissing (servers: readonly ServerChange[]): readonly ServerChange[] {
    const listed = new Set(servers.map(({ id }) => id))
    const missing = [...this.directory.rows.entries()].map(([id]) => id).filter(id => !listed.has(id))
    return [...servers, ...missing.map(id => ({ id, server: undefined }))]
  }

  /** Corrects an entry of a copy by what this instance saw since the copy was made. */
  private * reviseChange ({ id, server }: ServerChange, now: number): Generator<ServerChange> {
    if (server === undefined) return yield { id, server }
    const known = this.directory.get(id)?.server
    if (known === undefined && this.departed.hold(server, now)) {
      this.log.info('server_held_back', { server: id, reason: 'it left after the copy of the store was made' })
      return
    }
    const isDraining = server.isDraining || (known !== undefined && known.isDraining && isSameIncarnation(known, server))
    yield { id, server: { ...server, isDraining } }
  }

  private addServer (server: BackendServer, now: number): void {
    const known = this.directory.get(server.id)
    this.lapsed.delete(server.id)
    this.directory.set(server, now)
    if (server.coldTime !== undefined) this.policies.coldServers.recordEntry(server.id, server.service, server.coldTime)
    if (known?.server.isDraining === server.isDraining && known.server.address === server.address) return
    this.log.info('server_known', { server: server.id, service: server.service, version: server.version, zone: server.zone, address: server.address, leaving: server.isDraining })
  }

  private markServerLapsed (id: string, now: number): void {
    if (this.directory.get(id) === undefined || this.lapsed.has(id)) return
    if (now >= this.graceUntil) return this.removeServer(id)
    this.lapsed.set(id, this.graceUntil)
    this.directory.markLapsed(id)
    this.log.info('server_lapsed', { server: id, kept_ms: Math.round(this.graceUntil - now) })
  }

  private removeServer (id: string): void {
    const known = this.directory.get(id)
    if (known !== undefined) this.departed.recordDeparture(known.server, this.clock.monotonic())
    this.directory.delete(id)
    this.policies.coldServers.delete(id)
    this.log.info('server_gone', { server: id })
  }
}

function describeOrigin ({ position, reader, readDuration, age }: CatalogueOrigin): LogFields {
  return { ...position, through: reader ?? 'store', reading_ms: Math.round(readDuration), age_ms: Math.round(age) }
}
