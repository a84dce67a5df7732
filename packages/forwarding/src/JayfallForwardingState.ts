/**
 * What this instance believes: catalogue, backend servers and rollouts, from the store.
 *
 * The catalogue never goes back to an older version. Entries of servers that lapse around an
 * outage of the store stay for a moment, because living servers register again after it; until then
 * they get work only when there is no other server, because they may have left.
 */

import { type Clock } from '#jayfall/shared'
import { type Log, type LogFields } from '#jayfall/telemetry'

import { type BackendDirectory } from './JayfallBackendDirectory'
import { type BackendServer, type ForwardingCatalogue } from './JayfallForwardingCatalogue'
import { LAPSED_ENTRY_GRACE } from './JayfallForwardingConstants'
import { RouteTable } from './JayfallRouteTable'

/** A change of the list of backend servers; `server` is undefined when the entry is gone or names no server to use. */
export interface ServerChange {
  readonly id: string
  readonly server: BackendServer | undefined
}

/** Where a version of the catalogue came from; for the log. */
export interface CatalogueOrigin {
  readonly revision: number
  /** The instance that read it from the store; undefined when this one did. */
  readonly reader: string | undefined
  /** Milliseconds of the reading, with its wait for a change. */
  readonly took: number
  /** Milliseconds since the store answered the reading, by the store's clock. */
  readonly age: number
}

export class ForwardingState {
  private table: RouteTable | undefined
  private hasServers = false
  private areRolloutsKnown = false
  /** Called once when the state becomes ready. */
  private waiting: (() => void)[] = []
  /** Servers whose entries lapsed, with the monotonic time until which they are still used. */
  private readonly lapsed = new Map<string, number>()
  /** Until this time, entries that are missing may still come back. Monotonic milliseconds. */
  private graceUntil = -Infinity

  constructor (private readonly directory: BackendDirectory, private readonly clock: Clock, private readonly log: Log) {}

  /** undefined until the first catalogue is known. */
  get routes (): RouteTable | undefined {
    return this.table
  }

  get isReady (): boolean {
    return this.table !== undefined && this.hasServers && this.areRolloutsKnown
  }

  /** Resolves when everything needed is known, or after `limit` milliseconds. */
  waitUntilReady (limit: number): Promise<void> {
    if (this.isReady) return Promise.resolve()
    return new Promise(resolve => {
      const timer = setTimeout(resolve, limit)
      this.waiting.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  /** Takes note that it is known on which versions the services run. */
  takeRolloutsKnown (): void {
    this.areRolloutsKnown = true
    this.releaseWaiting()
  }

  takeCatalogue (catalogue: ForwardingCatalogue, origin: CatalogueOrigin): void {
    const known = this.table?.catalogue.version
    if (known !== undefined && catalogue.version <= known) return
    this.table = new RouteTable(catalogue)
    this.log.info('catalogue_in_force', { version: catalogue.version, replaced: known, routes: catalogue.routes.length, keys: catalogue.workspacesByKey?.size, ...describeOrigin(origin) })
    this.releaseWaiting()
  }

  /** @param isAfterLoss whether the store was out of reach just before. */
  takeServers (changes: readonly ServerChange[], isAfterLoss: boolean): void {
    const now = this.clock.monotonic()
    if (isAfterLoss) this.graceUntil = now + LAPSED_ENTRY_GRACE
    this.hasServers = true
    for (const { id, server } of changes) {
      if (server === undefined) this.lapse(id, now)
      else this.keep(server, now)
    }
    this.releaseWaiting()
  }

  /** Takes all entries; servers that are not among them have lapsed. */
  takeAllServers (servers: readonly ServerChange[], isAfterLoss: boolean): void {
    const listed = new Set(servers.map(({ id }) => id))
    const missing = [...this.directory.rows.entries()].map(([id]) => id).filter(id => !listed.has(id))
    this.takeServers([...servers, ...missing.map(id => ({ id, server: undefined }))], isAfterLoss)
  }

  /** Removes the servers whose grace has ended; called every tick. */
  dropLapsed (): void {
    const now = this.clock.monotonic()
    for (const [id, until] of this.lapsed) {
      if (now < until) continue
      this.lapsed.delete(id)
      this.remove(id)
    }
  }

  private releaseWaiting (): void {
    if (!this.isReady) return
    const { waiting } = this
    this.waiting = []
    for (const release of waiting) release()
  }

  private keep (server: BackendServer, now: number): void {
    const known = this.directory.get(server.id)
    this.lapsed.delete(server.id)
    this.directory.set(server, now)
    if (known?.server.isDraining === server.isDraining && known.server.address === server.address) return
    this.log.info('server_known', { server: server.id, service: server.service, version: server.version, zone: server.zone, address: server.address, leaving: server.isDraining })
  }

  private lapse (id: string, now: number): void {
    if (this.directory.get(id) === undefined || this.lapsed.has(id)) return
    if (now >= this.graceUntil) return this.remove(id)
    this.lapsed.set(id, this.graceUntil)
    this.directory.noteLapsed(id)
    this.log.info('server_lapsed', { server: id, kept_ms: Math.round(this.graceUntil - now) })
  }

  private remove (id: string): void {
    this.directory.delete(id)
    this.log.info('server_gone', { server: id })
  }
}

function describeOrigin ({ revision, reader, took, age }: CatalogueOrigin): LogFields {
  return { revision, through: reader ?? 'store', reading_ms: Math.round(took), age_ms: Math.round(age) }
}
