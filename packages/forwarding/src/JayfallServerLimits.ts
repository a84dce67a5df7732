/**
 * Keeps to the limits that servers name, without a counter that instances share.
 *
 * A server in need names how many requests a second it takes from all instances together. `WindowShares` distributes
 * them to the instances.
 *
 * An instance learns of a limit from an answer, or as a rumor from one that did. The limit ends with an answer that
 * names none, to a request that was sent after the limit was last named.
 */

import { WindowShares, type WindowSharesParts } from '#jayfall/capacity'
import { type RumorChannel, RumorTopic } from '#jayfall/peers'
import { type RandomSource, Table, type Clock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'
import * as z from 'zod'

import { LIMIT_WINDOW_MILLISECONDS, MAXIMUM_LIMIT_RETRY_AFTER_MILLISECONDS, MINIMUM_SERVER_LIMIT, SERVER_LIMIT_LIFETIME_MILLISECONDS } from './JayfallForwardingConstants'

interface LimitRow {
  /** Requests per second of all instances; undefined when the limit has ended. */
  readonly limit: number | undefined
  /** Monotonic milliseconds at which the server was last known to name this limit, or none. */
  readonly namedAt: number
  /** The window that `sent` and `quota` are of. */
  readonly window: number
  /** Requests of this instance. */
  readonly sent: number
  /** Requests that this instance may send in the window. */
  readonly quota: number
}

export interface ServerLimitsParts extends WindowSharesParts {
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  readonly rumors: RumorChannel
}

const limitBody = z.object({ server: z.string(), limit: z.number().nonnegative().nullable() }).readonly()

export class ServerLimits {
  private readonly rows = new Table<LimitRow>()
  private readonly topic = new LimitTopic(this)
  private readonly shares: WindowShares
  /** Requests that were refused in the window `refusalWindow`. */
  private refusals = 0
  private refusalWindow = NaN

  constructor (private readonly parts: ServerLimitsParts) {
    this.shares = new WindowShares(parts, LIMIT_WINDOW_MILLISECONDS)
    parts.rumors.subscribe(this.topic)
  }

  /**
   * Records what an answer of a server says.
   * @param limit undefined when it names none.
   * @param sentAt monotonic milliseconds at which the request was sent.
   */
  recordAnswer (server: string, limit: number | undefined, sentAt: number): void {
    const known = this.rows.get(server)
    if (limit === undefined && (known?.limit === undefined || sentAt <= known.namedAt)) return
    const now = this.parts.clock.monotonic()
    if (this.set(server, limit, now, 'answer')) this.parts.rumors.tell(this.topic, { server, limit: limit ?? null }, now)
  }

  /** Whether this instance may send the server another request now. */
  maySend (server: string): boolean {
    if (this.rows.size === 0) return true
    const row = this.currentRow(server)
    return row === undefined || row.sent < row.quota
  }

  /** Records that a request is sent to the server. */
  recordSent (server: string): void {
    const row = this.rows.size === 0 ? undefined : this.currentRow(server)
    if (row !== undefined) this.rows.set(server, { ...row, sent: row.sent + 1 })
  }

  /**
   * Milliseconds after which a caller may return whose request no server may take because of limits; undefined when
   * none of the servers has one. Callers that were refused first return first, as many in a window as it allows.
   */
  refuse (servers: Iterable<string>): number | undefined {
    const limits = [...servers].map(server => this.currentRow(server)?.limit).filter(limit => limit !== undefined)
    if (limits.length === 0) return undefined
    const { window, untilNextWindow } = this.shares
    this.refusals = window === this.refusalWindow ? this.refusals + 1 : 1
    this.refusalWindow = window
    const ownShare = limits.reduce((sum, limit) => sum + limit, 0) * LIMIT_WINDOW_MILLISECONDS / 1000 / (this.parts.instances()?.length ?? 1)
    const windows = Math.floor(this.refusals / ownShare) + this.parts.random.uniform()
    return Math.min(MAXIMUM_LIMIT_RETRY_AFTER_MILLISECONDS, untilNextWindow + windows * LIMIT_WINDOW_MILLISECONDS)
  }

  /** Takes in what another instance has heard. @returns whether it was new. */
  hear (body: unknown, namedAt: number): boolean {
    const { data } = limitBody.safeParse(body)
    if (data === undefined || namedAt <= (this.rows.get(data.server)?.namedAt ?? -Infinity)) return false
    return this.set(data.server, data.limit ?? undefined, namedAt, 'told')
  }

  * current (): Generator<{ readonly body: unknown, readonly happenedAt: number }> {
    for (const [server, { limit, namedAt }] of this.rows.entries()) {
      if (limit !== undefined) yield { body: { server, limit }, happenedAt: namedAt }
    }
  }

  /** @returns whether the limit has changed. */
  private set (server: string, limit: number | undefined, namedAt: number, origin: 'answer' | 'told'): boolean {
    const known = this.rows.get(server)
    const row = known ?? { limit: undefined, window: NaN, sent: 0, quota: 0 }
    // The quota is computed anew for a changed limit; what was sent in the window still counts.
    this.rows.set(server, known !== undefined && known.limit === limit ? { ...known, namedAt } : { ...row, limit, namedAt, quota: NaN })
    if (known?.limit === limit) return false
    this.removeOld(namedAt)
    this.parts.log.info(limit === undefined ? 'server_limit_ended' : 'server_limited', { server, limit, former: known?.limit, origin })
    return true
  }

  /** The row of a limited server in the present window; undefined when the server has no limit. */
  private currentRow (server: string): (LimitRow & { readonly limit: number }) | undefined {
    const row = this.rows.get(server)
    if (row?.limit === undefined) return undefined
    const { limit } = row
    const { window } = this.shares
    if (window === row.window && !Number.isNaN(row.quota)) return { ...row, limit }
    const current = { ...row, limit, window, sent: window === row.window ? row.sent : 0, quota: this.shares.shareOf(server, Math.max(MINIMUM_SERVER_LIMIT, limit), window) }
    this.rows.set(server, current)
    return current
  }

  private removeOld (now: number): void {
    for (const [server, { namedAt }] of [...this.rows.entries()]) {
      if (now - namedAt > SERVER_LIMIT_LIFETIME_MILLISECONDS) this.rows.delete(server)
    }
  }
}

class LimitTopic extends RumorTopic {
  override readonly name = 'server-limit'

  constructor (private readonly limits: ServerLimits) {
    super()
  }

  override hear (body: unknown, happenedAt: number): boolean {
    return this.limits.hear(body, happenedAt)
  }

  override * current (): Generator<{ readonly body: unknown, readonly happenedAt: number }> {
    yield * this.limits.current()
  }
}
