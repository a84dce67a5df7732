/**
 * Reads changes of the store from the instance that reads for this one.
 *
 * The notices of the reader tell whether there are changes, so a call is made only to fetch them, or when a notice
 * is overdue. One call requests the changes of all tables that are waiting.
 */

import { messageOf, type Clock } from '#jayfall/shared'
import { type TableChanges } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { MAXIMUM_READERS_TRIED } from './JayfallFeedConstants'
import { type ReaderNotices } from './JayfallFeedNotice'
import { type FeedPeerClient, type TableReply } from './JayfallFeedPeerClient'
import { type FeedTimings } from './JayfallFeedTimings'
import { type FeedInstance, type ReaderSelector } from './JayfallReaderSelector'

/** Changes that were read from a reader. */
export interface RelayedRead {
  /** The identifier of the reader. */
  readonly reader: string
  readonly reading: TableChanges
  /** Time at which the reader read them from the store, in monotonic milliseconds of this instance. */
  readonly readAt: number
}

/** `failed`: the reader did not answer or has lost the store; `refused`: it cannot serve the table. */
type FetchResult = RelayedRead | 'failed' | 'refused'

interface PendingRead {
  readonly table: string
  readonly revision: number
  readonly resolve: (result: FetchResult) => void
}

export interface PeerChangesReaderParts {
  readonly client: FeedPeerClient
  readonly readerSelector: ReaderSelector
  readonly notices: ReaderNotices
  readonly timingsOf: (table: string) => FeedTimings
  /** IP address and port that notices are sent to. */
  readonly noticeAddress: () => string | undefined
  readonly clock: Clock
  readonly log: Log
}

/** Follows the reader's notices and fetches changes from it. */
export class PeerChangesReader {
  /** Reads that the next call to a reader makes, by the reader's identifier. */
  private readonly pendingReads = new Map<string, readonly PendingRead[]>()

  constructor (private readonly parts: PeerChangesReaderParts) {}

  /**
   * Reads the changes of a table after a revision, and waits while there are none. Resolves to undefined when they
   * have to be read from the store.
   * @param completeUntil monotonic milliseconds up to which this instance knows all changes of the table.
   */
  async read (table: string, revision: number, completeUntil: number): Promise<RelayedRead | undefined> {
    const { readerSelector, notices, clock } = this.parts
    for (let failures = 0; failures < MAXIMUM_READERS_TRIED;) {
      const now = clock.monotonic()
      const reader = readerSelector.selectReader(now)
      if (reader === undefined) return undefined
      const noticed = this.readNotice(reader, table, revision, completeUntil)
      if (noticed !== undefined) return noticed
      const overdueIn = completeUntil + this.patienceAt(now, table) - now
      if (!this.mustFetch(reader, table, revision) && overdueIn > 0) {
        await notices.waitForNotice(overdueIn)
        continue
      }
      const result = await this.fetch(reader, table, revision)
      if (result === 'refused') return undefined
      if (result !== 'failed') return result
      failures++
    }
    return undefined
  }

  /** The reading that the latest notice implies: there were no changes up to its time. */
  private readNotice (reader: FeedInstance, table: string, revision: number, completeUntil: number): RelayedRead | undefined {
    const known = this.parts.notices.get(reader.id, table)
    if (known === undefined || known.changed > revision || known.complete < revision || known.readAt <= completeUntil) return undefined
    return { reader: reader.id, reading: { changes: [], revision: known.complete, storeTime: known.readAt + known.storeTimeOffset, isRelayed: true }, readAt: known.readAt }
  }

  private mustFetch (reader: FeedInstance, table: string, revision: number): boolean {
    const known = this.parts.notices.get(reader.id, table)
    return known === undefined || known.changed > revision
  }

  private patienceAt (now: number, table: string): number {
    const { followerPatience, zoneReaderPatience } = this.parts.timingsOf(table)
    return this.parts.readerSelector.roleAt(now) === 'follower' ? followerPatience : zoneReaderPatience
  }

  private fetch (reader: FeedInstance, table: string, revision: number): Promise<FetchResult> {
    return new Promise(resolve => {
      const pending = this.pendingReads.get(reader.id)
      this.pendingReads.set(reader.id, [...pending ?? [], { table, revision, resolve }])
      // The other tables request their reads in the same turn of the event loop.
      if (pending === undefined) setImmediate(() => this.callReader(reader))
    })
  }

  private async callReader (reader: FeedInstance): Promise<void> {
    const { client, readerSelector, noticeAddress } = this.parts
    const reads = this.pendingReads.get(reader.id) ?? []
    this.pendingReads.delete(reader.id)
    const tables = Object.fromEntries(reads.map(({ table, revision }) => [table, revision]))
    try {
      const replies = await client.changes(reader, { tables, wait: 0, notify: noticeAddress() })
      const isStale = Object.values(replies).some(reply => reply.kind === 'refused' && reply.reason === 'stale')
      if (isStale) this.excludeReader(reader, 'its own reading is stale')
      else readerSelector.recordReaderSuccess(reader.id)
      for (const { table, resolve } of reads) resolve(this.toFetchResult(reader, table, replies[table]))
    } catch (error) {
      this.excludeReader(reader, messageOf(error))
      for (const { resolve } of reads) resolve('failed')
    }
  }

  private toFetchResult (reader: FeedInstance, table: string, reply: TableReply | undefined): FetchResult {
    if (reply?.kind !== 'changes') return reply?.reason === 'stale' ? 'failed' : 'refused'
    const { reading, age } = reply
    const now = this.parts.clock.monotonic()
    const { revision, storeTime } = reading
    // The next read needs no call until a notice tells of a change.
    this.parts.notices.record({ feed: 'notice', reader: reader.id, storeTime, tables: { [table]: { changed: revision, complete: revision, age } } }, now)
    return { reader: reader.id, reading: { ...reading, storeTime: storeTime - age }, readAt: now - age }
  }

  private excludeReader (reader: FeedInstance, reason: string): void {
    const { readerSelector, notices, clock, log } = this.parts
    readerSelector.recordReaderFailure(reader.id, clock.monotonic())
    notices.forget(reader.id)
    log.warn('feed_reader_lost', { reader: reader.id, address: reader.address, reason })
  }
}
