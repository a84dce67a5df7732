/** Answers the calls of other instances from the recent changes of the tables that this instance follows. */

import { type Clock } from '#jayfall/shared'
import { isPlatformError, type TableChanges } from '#jayfall/store'

import { MAXIMUM_RELAYED_BYTES, MINIMUM_RELAYED_BYTES, REFRESH_WAIT_MILLISECONDS, RELAY_SECONDS } from './JayfallFeedConstants'
import { type FeedHistory } from './JayfallFeedHistory'
import { ChangesSource, type ChangesReply, type ChangesRequest, type RequestedPosition, type TableReply } from './JayfallFeedPeerClient'
import { type FeedSubscribers } from './JayfallFeedSubscribers'
import { type FeedTimings } from './JayfallFeedTimings'
import { ChangeEncoder } from './JayfallRelayedChange'

const BITS_PER_MEGABYTE = 8
const BYTES_PER_MEGABYTE = 1e6

export interface ChangesServerParts {
  readonly histories: ReadonlyMap<string, FeedHistory>
  readonly subscribers: FeedSubscribers
  readonly timingsOf: (table: string) => FeedTimings
  /** Bandwidth of this instance's link in Mbit/s; undefined when it is unknown. */
  readonly link: number | undefined
  readonly clock: Clock
  /** Makes this instance renew its own reading. @param era the latest era of the store that the caller has heard of. */
  readonly refresh: (era: number) => void
  /** Reads all rows of a table from the store. */
  readonly readRows: (table: string) => Promise<TableChanges>
}

/** Serves changes to the instances that read from this one. */
export class ChangesServer extends ChangesSource {
  private isStopping = false
  /** Functions that wake the calls waiting for a change. */
  private readonly wakeCallbacks = new Set<() => void>()
  private readonly encoder = new ChangeEncoder()
  /** Readings of whole tables that have not ended. */
  private readonly rowReadings = new Map<string, Promise<TableChanges>>()

  constructor (private readonly parts: ChangesServerParts) {
    super()
  }

  /** Answers when a table has changes or is refused, and otherwise at the end of the wait. Before that, tables whose reading is late are read again. */
  override async answer (request: ChangesRequest): Promise<ChangesReply> {
    const { clock, subscribers, refresh } = this.parts
    const start = clock.monotonic()
    const limit = this.relayLimit(subscribers.addresses(start).length)
    if (request.notify !== undefined) subscribers.add(request.notify, start)
    for (;;) {
      const now = clock.monotonic()
      const replies = Object.entries(request.tables).map(([table, position]) => [table, this.answerTable(table, position, request.latestEra, now, limit)] as const)
      const isLate = replies.some(([, reply]) => isStale(reply)) && !this.isStopping
      const end = start + Math.max(request.wait, isLate ? REFRESH_WAIT_MILLISECONDS : 0)
      if (now >= end || (!isLate && replies.some(([, reply]) => isReadyToSend(reply)))) return this.completeReplies(replies, request, limit)
      const woken = this.waitForReading(end - now)
      if (isLate) refresh(request.latestEra)
      await woken
    }
  }

  /** Makes the waiting calls check the histories again. */
  notifyOfReading (): void {
    for (const wake of [...this.wakeCallbacks]) wake()
  }

  /** Refuses all requests from now on. */
  stop (): void {
    this.isStopping = true
    this.notifyOfReading()
  }

  /** Adds the rows of tables whose changes are not kept, if the caller cannot read them itself. */
  private async completeReplies (replies: readonly (readonly [string, TableReply])[], { acceptsRows }: ChangesRequest, limit: number): Promise<ChangesReply> {
    const completed = replies.map(async ([table, reply]) => {
      const lacksChanges = reply.kind === 'refused' && reply.reason === 'not_kept' && this.parts.histories.has(table)
      return [table, acceptsRows && lacksChanges ? await this.answerRows(table, limit) : reply] as const
    })
    return Object.fromEntries(await Promise.all(completed))
  }

  private async answerRows (table: string, limit: number): Promise<TableReply> {
    try {
      const { changes, position, storeTime } = await this.readRows(table)
      const rows = this.encoder.encodeWithin(limit, changes)
      return rows === undefined ? { kind: 'refused', reason: 'too_large' } : { kind: 'rows', reading: { changes: rows, ...position, storeTime }, age: 0 }
    } catch (error) {
      if (isPlatformError(error)) return { kind: 'refused', reason: 'stale' }
      throw error
    }
  }

  /** Reads all rows of a table. Calls at the same time share one reading. */
  private readRows (table: string): Promise<TableChanges> {
    const running = this.rowReadings.get(table)
    if (running !== undefined) return running
    const reading = this.parts.readRows(table).finally(() => this.rowReadings.delete(table))
    this.rowReadings.set(table, reading)
    return reading
  }

  private answerTable (table: string, { revision, era: requestedEra }: RequestedPosition, latestEra: number, now: number, limit: number): TableReply {
    const history = this.parts.histories.get(table)
    if (this.isStopping) return { kind: 'refused', reason: 'stale' }
    if (history === undefined) return { kind: 'refused', reason: 'not_kept' }
    const age = now - history.completeUntil
    if (age > this.parts.timingsOf(table).maximumPassedAge) return { kind: 'refused', reason: 'stale' }
    const { era: ownEra } = history.completePosition
    const era = requestedEra ?? ownEra
    if (Math.max(era, latestEra) > ownEra) return { kind: 'refused', reason: 'stale' }
    const reading = history.changesAfter({ era, revision }, now)
    if (reading === undefined) return { kind: 'refused', reason: 'not_kept' }
    const changes = this.encoder.encodeWithin(limit, reading.changes)
    if (changes === undefined) return { kind: 'refused', reason: 'too_large' }
    const { position, storeTime } = reading
    return { kind: 'changes', reading: { changes, ...position, storeTime }, age }
  }

  /** Maximum size of the changes for one instance, so that this instance's link delivers them to all of its subscribers in time. */
  private relayLimit (subscribers: number): number {
    const { link = 0 } = this.parts
    const bytes = link * BYTES_PER_MEGABYTE / BITS_PER_MEGABYTE * RELAY_SECONDS / Math.max(1, subscribers)
    return Math.min(MAXIMUM_RELAYED_BYTES, Math.max(MINIMUM_RELAYED_BYTES, bytes))
  }

  private waitForReading (milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        this.wakeCallbacks.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, Math.max(1, milliseconds))
      this.wakeCallbacks.add(wake)
    })
  }
}

function isStale (reply: TableReply): boolean {
  return reply.kind === 'refused' && reply.reason === 'stale'
}

function isReadyToSend (reply: TableReply): boolean {
  return reply.kind !== 'changes' || reply.reading.changes.length > 0
}
