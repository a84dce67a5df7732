/**
 * Reads changes of the store from the instance that reads for this one.
 *
 * The notices of the reader tell whether there are changes, so a call is made only to fetch them, or when a notice
 * is overdue. One call requests the changes of all tables that are waiting.
 */

import { messageOf, type Clock } from '#jayfall/shared'
import { comparePositions, isAfter, type TableChanges, type TablePosition } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { ERA_WAIT_MILLISECONDS, MAXIMUM_READERS_TRIED } from './JayfallFeedConstants'
import { encodeTableNotice, type ReaderNotices } from './JayfallFeedNotice'
import { decodeReading, type FeedPeerClient, type TableReply } from './JayfallFeedPeerClient'
import { type FeedTimings } from './JayfallFeedTimings'
import { type FeedInstance, type ReaderSelector } from './JayfallReaderSelector'

/** Changes that were read from a reader. */
export interface RelayedRead {
  /** The identifier of the reader. */
  readonly reader: string
  readonly reading: TableChanges
  /** Time at which the reader read them from the store, in monotonic milliseconds of this instance. */
  readonly readAt: number
  /** Whether the reading holds all rows of the table instead of changes. */
  readonly isWhole?: boolean
}

/** `failed`: the reader did not answer or has lost the store; `waiting`: it has not reached the era that was asked for; `refused`: it cannot serve the table. */
export type FetchResult = RelayedRead | 'failed' | 'waiting' | 'refused'

interface PendingRead {
  readonly table: string
  readonly position: TablePosition
  /** Whether the reader may wait until it knows a new era of the store. */
  readonly isForEra: boolean
  readonly resolve: (result: FetchResult) => void
}

export interface PeerChangesReaderParts {
  readonly client: FeedPeerClient
  readonly readerSelector: ReaderSelector
  readonly notices: ReaderNotices
  readonly timingsOf: (table: string) => FeedTimings
  /** IP address and port that notices are sent to. */
  readonly noticeAddress: () => string | undefined
  /** The latest era of the store that this instance has heard of. */
  readonly latestEra: () => number
  readonly clock: Clock
  readonly log: Log
}

/** Follows the reader's notices and fetches changes from it. */
export class PeerChangesReader {
  /** Reads that the next call to a reader makes, by the reader's identifier. */
  private readonly pendingReads = new Map<string, readonly PendingRead[]>()

  constructor (private readonly parts: PeerChangesReaderParts) {}

  /**
   * Reads the changes of a table after a position, and waits while there are none. Resolves to undefined when they
   * have to be read from the store, or when a new era of the store has begun.
   * @param completeUntil monotonic milliseconds up to which this instance knows all changes of the table.
   */
  async read (table: string, position: TablePosition, completeUntil: number): Promise<RelayedRead | undefined> {
    const { readerSelector, notices, clock, latestEra } = this.parts
    for (let failures = 0; failures < MAXIMUM_READERS_TRIED;) {
      if (latestEra() > position.era) return undefined
      const now = clock.monotonic()
      const reader = readerSelector.selectReader(now)
      if (reader === undefined) return undefined
      const noticed = this.readNotice(reader, table, position, completeUntil)
      if (noticed !== undefined) return noticed
      const overdueIn = completeUntil + this.patienceAt(now, table) - now
      if (!this.mustFetch(reader, table, position) && overdueIn > 0) {
        await notices.waitForNotice(overdueIn)
        continue
      }
      const result = await this.fetch(reader, table, position)
      if (result === 'refused' && !readerSelector.isTurnedAway(clock.monotonic())) return undefined
      if (result === 'refused') readerSelector.recordStaleReader(reader.id, clock.monotonic())
      if (typeof result !== 'string') return result
      failures++
    }
    return undefined
  }

  /** Asks a reader for the changes that lead from a position to the latest era of the store, and waits a while until the reader knows them. */
  readEra (reader: FeedInstance, table: string, position: TablePosition): Promise<FetchResult> {
    return this.fetch(reader, table, position, true)
  }

  /** The reading that the latest notice implies: there were no changes up to its time. */
  private readNotice (reader: FeedInstance, table: string, position: TablePosition, completeUntil: number): RelayedRead | undefined {
    const known = this.parts.notices.get(reader.id, table)
    if (known === undefined || known.complete.era !== position.era || isAfter(known.changed, position) || isAfter(position, known.complete) || known.readAt <= completeUntil) return undefined
    return { reader: reader.id, reading: { changes: [], position: known.complete, storeTime: known.readAt + known.storeTimeOffset, isRelayed: true }, readAt: known.readAt }
  }

  private mustFetch (reader: FeedInstance, table: string, position: TablePosition): boolean {
    const known = this.parts.notices.get(reader.id, table)
    return known === undefined || known.complete.era > position.era || isAfter(known.changed, position)
  }

  private patienceAt (now: number, table: string): number {
    const { followerPatience, zoneReaderPatience } = this.parts.timingsOf(table)
    return this.parts.readerSelector.roleAt(now) === 'follower' ? followerPatience : zoneReaderPatience
  }

  private fetch (reader: FeedInstance, table: string, position: TablePosition, isForEra = false): Promise<FetchResult> {
    return new Promise(resolve => {
      const pending = this.pendingReads.get(reader.id)
      this.pendingReads.set(reader.id, [...pending ?? [], { table, position, isForEra, resolve }])
      // The other tables request their reads in the same turn of the event loop.
      if (pending === undefined) setImmediate(() => this.callReader(reader))
    })
  }

  private async callReader (reader: FeedInstance): Promise<void> {
    const { client, readerSelector, noticeAddress, latestEra, clock } = this.parts
    const reads = this.pendingReads.get(reader.id) ?? []
    this.pendingReads.delete(reader.id)
    const isForEra = reads.some(read => read.isForEra)
    const tables = Object.fromEntries(reads.map(({ table, position }) => [table, position]))
    try {
      const replies = await client.changes(reader, { tables, wait: isForEra ? ERA_WAIT_MILLISECONDS : 0, notify: noticeAddress(), latestEra: latestEra(), acceptsRows: readerSelector.isTurnedAway(clock.monotonic()) })
      const isStale = Object.values(replies).some(reply => reply.kind === 'refused' && reply.reason === 'stale')
      if (isStale && !isForEra) this.leaveStaleReader(reader)
      else if (!isStale) readerSelector.recordReaderSuccess(reader.id)
      for (const read of reads) read.resolve(this.toFetchResult(reader, read, replies[read.table]))
    } catch (error) {
      this.excludeReader(reader, messageOf(error))
      for (const { resolve } of reads) resolve('failed')
    }
  }

  private toFetchResult (reader: FeedInstance, { table, position: after, isForEra }: PendingRead, reply: TableReply | undefined): FetchResult {
    if (reply === undefined || reply.kind === 'refused') return reply?.reason !== 'stale' ? 'refused' : isForEra ? 'waiting' : 'failed'
    const { kind, age } = reply
    const reading = decodeReading(reply.reading)
    const { position, storeTime } = reading
    // A reader of an older version names no era, so its numbers may belong to another one.
    if (comparePositions(position, after) < 0) return 'refused'
    const now = this.parts.clock.monotonic()
    // The next read needs no call until a notice tells of a change.
    this.parts.notices.record({ feed: 'notice', reader: reader.id, storeTime, tables: { [table]: encodeTableNotice(position, position, age) } }, now)
    return { reader: reader.id, reading: { ...reading, storeTime: storeTime - age }, readAt: now - age, isWhole: kind === 'rows' }
  }

  private leaveStaleReader (reader: FeedInstance): void {
    const { readerSelector, notices, clock, log } = this.parts
    readerSelector.recordStaleReader(reader.id, clock.monotonic())
    notices.forget(reader.id)
    log.warn('feed_reader_lost', { reader: reader.id, address: reader.address, reason: 'its own reading is stale' })
  }

  private excludeReader (reader: FeedInstance, reason: string): void {
    const { readerSelector, notices, clock, log } = this.parts
    readerSelector.recordReaderFailure(reader.id, clock.monotonic())
    notices.forget(reader.id)
    log.warn('feed_reader_lost', { reader: reader.id, address: reader.address, reason })
  }
}
