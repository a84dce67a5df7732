/**
 * Limits what servers get while they are cold, over all instances together.
 *
 * After a restart of servers or the evacuation of a zone, all instances prefer the servers without load, and a cold
 * server crashes well above the rate that it can handle. Each instance sends a cold server only its share of that rate.
 *
 * A server is cold as long as its entry in the registry, or an answer of it, says. Both come late. So a server is also
 * presumed cold for its service's duration after the evacuation of its zone has ended, and after it could not be reached,
 * because it may have been restarted meanwhile.
 */

import { Table, type Clock } from '#jayfall/shared'
import { type Log, type Metrics } from '#jayfall/telemetry'

import { COLD_WINDOW_MILLISECONDS, MAXIMUM_COLD_MILLISECONDS, MAXIMUM_COLD_REQUESTS_PER_SECOND } from './JayfallCapacityConstants'
import { WindowShares, type WindowSharesParts } from './JayfallWindowShares'

/** What the cold servers of a service can handle, as operators configure it. */
export interface ColdPolicy {
  /** Milliseconds for which a server is cold after its start. */
  readonly duration: number
  /** Requests per second that a cold server can handle from all instances together. */
  readonly requestsPerSecond: number
}

/** Why a server is presumed cold although it has not said so. */
export type ColdPresumption = 'evacuation_ended' | 'unreached'

export interface ColdServersParts extends WindowSharesParts {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
  /** Whether the server is in use; nothing is kept of others. */
  readonly isRegistered: (server: string) => boolean
}

interface ColdRow {
  readonly service: string
  /** Monotonic milliseconds until which the server says that it is cold. */
  readonly reportedUntil: number
  /** Monotonic milliseconds until which the server is presumed cold; Infinity while it cannot be reached. */
  readonly presumedUntil: number
  /** The window that `sent` and `share` are of. */
  readonly window: number
  readonly sent: number
  readonly share: number
}

export class ColdServers {
  private readonly rows = new Table<ColdRow>()
  private readonly shares: WindowShares
  private policies: ReadonlyMap<string, ColdPolicy> = new Map()

  constructor (private readonly parts: ColdServersParts) {
    this.shares = new WindowShares(parts, COLD_WINDOW_MILLISECONDS)
  }

  /** Sets the policies of the services in which servers can be cold. Reports that came before count too, because servers and policies are read independently. */
  setPolicies (policies: ReadonlyMap<string, ColdPolicy>): void {
    this.policies = policies
  }

  /** Records how many milliseconds longer the server says that it is cold, in an answer. */
  recordReport (server: string, service: string, left: number): void {
    if (left > 0) this.set(server, service, { reportedUntil: this.endOf(left) }, 'reported', left)
    else this.rows.update(server, row => ({ ...row, reportedUntil: -Infinity }))
  }

  /** Records how many milliseconds longer the server is cold by its entry. An entry may be older than an answer, so it never shortens the time. */
  recordEntry (server: string, service: string, left: number): void {
    if (left > 0) this.set(server, service, { reportedUntil: Math.max(this.rows.get(server)?.reportedUntil ?? -Infinity, this.endOf(left)) }, 'reported', left)
  }

  /** Presumes that the server is cold for the duration of its service from now on, and longer while it cannot be reached. */
  presume (server: string, service: string, reason: ColdPresumption): void {
    if (this.rows.get(server)?.presumedUntil !== Infinity) this.presumeFromNow(server, service, reason)
  }

  /** Records that no connection to the server could be opened, so that it may be starting again. */
  recordUnreached (server: string, service: string): void {
    if (this.policies.has(service)) this.set(server, service, { presumedUntil: Infinity }, 'unreached')
  }

  /** Records that the server answered. */
  recordReached (server: string): void {
    const row = this.rows.get(server)
    if (row?.presumedUntil === Infinity) this.presumeFromNow(server, row.service, 'unreached')
  }

  /** Forgets a server that has left. */
  delete (server: string): void {
    this.rows.delete(server)
  }

  isCold (server: string): boolean {
    return this.rows.size > 0 && this.coldRow(server) !== undefined
  }

  /** Whether this instance may send the server another request now. */
  maySend (server: string): boolean {
    if (this.rows.size === 0) return true
    const row = this.coldRow(server)
    if (row === undefined) return true
    const current = this.inPresentWindow(server, row)
    return current.sent < current.share
  }

  /** Records that a request is sent to the server. */
  recordSent (server: string): void {
    const row = this.rows.size === 0 ? undefined : this.coldRow(server)
    if (row === undefined) return
    const current = this.inPresentWindow(server, row)
    this.rows.set(server, { ...current, sent: current.sent + 1 })
    this.parts.metrics.count('jayfall_capacity_cold_requests_total', { service: row.service })
  }

  /** Milliseconds until the next window, in which shares are assigned anew; 0 when the store's clock is unknown. */
  get untilNextShare (): number {
    return this.shares.untilNextWindow
  }

  /** Monotonic milliseconds at which a cold time ends that has so many milliseconds left. */
  private endOf (left: number): number {
    return this.parts.clock.monotonic() + Math.min(MAXIMUM_COLD_MILLISECONDS, left)
  }

  private presumeFromNow (server: string, service: string, reason: ColdPresumption): void {
    const policy = this.policies.get(service)
    if (policy !== undefined) this.set(server, service, { presumedUntil: this.parts.clock.monotonic() + policy.duration }, reason, policy.duration)
  }

  private set (server: string, service: string, change: Partial<ColdRow>, reason: string, left?: number): void {
    // A request may end after its server has left.
    if (!this.parts.isRegistered(server)) return
    const wasCold = this.isCold(server)
    const row = this.rows.get(server) ?? { service, reportedUntil: -Infinity, presumedUntil: -Infinity, window: NaN, sent: 0, share: 0 }
    this.rows.set(server, { ...row, service, ...change })
    if (!wasCold && this.isCold(server)) this.parts.log.info('server_cold', { server, service, reason, left_ms: left === undefined ? undefined : Math.round(left) })
  }

  /** The row of a server that is cold now; undefined for all others. */
  private coldRow (server: string): ColdRow | undefined {
    const row = this.rows.get(server)
    if (row === undefined || !this.policies.has(row.service)) return undefined
    const now = this.parts.clock.monotonic()
    return now < row.reportedUntil || now < row.presumedUntil ? row : undefined
  }

  private inPresentWindow (server: string, row: ColdRow): ColdRow {
    const { window } = this.shares
    if (window === row.window) return row
    const rate = Math.min(MAXIMUM_COLD_REQUESTS_PER_SECOND, this.policies.get(row.service)?.requestsPerSecond ?? 0)
    const current = { ...row, window, sent: 0, share: this.shares.shareOf(server, rate, window) }
    this.rows.set(server, current)
    return current
  }
}
