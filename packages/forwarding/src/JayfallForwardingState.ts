/**
 * State that this instance reads from the store: the catalogue, the backend servers and the rollouts.
 *
 * An older version of the catalogue never replaces a newer one. When the entries of servers expire around
 * an outage of the store, the servers are kept for a grace period, because running servers register again
 * after the outage. Until then they are used only when there is no other server, because they may have left.
 */

import { type Clock } from '#jayfall/shared'
import { type TablePosition } from '#jayfall/store'
import { type Log, type LogFields } from '#jayfall/telemetry'

import { type BackendDirectory } from './JayfallBackendDirectory'
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

  constructor (private readonly directory: BackendDirectory, private readonly clock: Clock, private readonly log: Log) {}

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
    this.log.info('catalogue_in_force', { version: catalogue.version, replaced: known, routes: catalogue.routes.length, keys: catalogue.workspacesByKey?.size, ...describeOrigin(origin) })
    this.notifyReady()
  }

  /** @param isAfterLoss whether the store was unreachable just before. */
  applyServerChanges (changes: readonly ServerChange[], isAfterLoss: boolean): void {
    const now = this.clock.monotonic()
    if (isAfterLoss) this.graceUntil = now + LAPSED_ENTRY_GRACE_MILLISECONDS
    this.hasServerList = true
    for (const { id, server } of changes) {
      if (server === undefined) this.markServerLapsed(id, now)
      else this.addServer(server, now)
    }
    this.notifyReady()
  }

  /** Replaces the list of servers; the entries of servers that are not listed have expired. */
  applyServerSnapshot (servers: readonly ServerChange[], isAfterLoss: boolean): void {
    const listed = new Set(servers.map(({ id }) => id))
    const missing = [...this.directory.rows.entries()].map(([id]) => id).filter(id => !listed.has(id))
    this.applyServerChanges([...servers, ...missing.map(id => ({ id, server: undefined }))], isAfterLoss)
  }

  /** Removes the servers whose grace period has ended; called at an interval. */
  removeLapsedServers (): void {
    const now = this.clock.monotonic()
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

  private addServer (server: BackendServer, now: number): void {
    const known = this.directory.get(server.id)
    this.lapsed.delete(server.id)
    this.directory.set(server, now)
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
    this.directory.delete(id)
    this.log.info('server_gone', { server: id })
  }
}

function describeOrigin ({ position, reader, readDuration, age }: CatalogueOrigin): LogFields {
  return { ...position, through: reader ?? 'store', reading_ms: Math.round(readDuration), age_ms: Math.round(age) }
}
