/**
 * Reads changes of the store from the zone's reader.
 *
 * One call at a time requests the changes of all tables that are waiting, so that the number of calls
 * between instances does not grow with the number of tables.
 */

import { messageOf, type Clock } from '#jayfall/shared'
import { type TableChanges } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { PEER_POLL_WAIT_MILLISECONDS } from './JayfallFeedConstants'
import { type FeedPeerClient, type TableReply } from './JayfallFeedPeerClient'
import { type FeedInstance, type ReaderSelector } from './JayfallReaderSelector'

/** Changes that were read from a reader. */
export interface RelayedRead {
  /** The identifier of the reader. */
  readonly reader: string
  readonly reading: TableChanges
  /** Time at which the reader read them from the store, in monotonic milliseconds of this instance. */
  readonly readAt: number
}

interface PendingRead {
  readonly table: string
  readonly revision: number
  readonly resolve: (relayed: RelayedRead | undefined) => void
}

/** Combines the reads of several tables into one call to the zone's reader. */
export class PeerChangesReader {
  private pendingReads: readonly PendingRead[] = []
  private isCalling = false

  constructor (private readonly client: FeedPeerClient, private readonly readerSelector: ReaderSelector, private readonly clock: Clock, private readonly log: Log) {}

  /** Reads the changes of a table after a revision; resolves to undefined when they have to be read from the store. */
  read (table: string, revision: number): Promise<RelayedRead | undefined> {
    return new Promise(resolve => {
      this.pendingReads = [...this.pendingReads, { table, revision, resolve }]
      // The other tables of the previous call request their next read in the same turn of the event loop.
      if (!this.isCalling) setImmediate(() => this.callNext())
    })
  }

  private async callNext (): Promise<void> {
    if (this.isCalling || this.pendingReads.length === 0) return
    const { pendingReads: reads } = this
    this.pendingReads = []
    const reader = this.readerSelector.selectReader(this.clock.monotonic())
    if (reader === undefined) return resolveAll(reads, undefined)
    this.isCalling = true
    try {
      await this.callReader(reader, reads)
    } finally {
      this.isCalling = false
      setImmediate(() => this.callNext())
    }
  }

  private async callReader (reader: FeedInstance, reads: readonly PendingRead[]): Promise<void> {
    const tables = Object.fromEntries(reads.map(({ table, revision }) => [table, revision]))
    try {
      const replies = await this.client.changes(reader, { tables, wait: PEER_POLL_WAIT_MILLISECONDS })
      const now = this.clock.monotonic()
      if (Object.values(replies).some(reply => reply.kind === 'refused' && reply.reason === 'stale')) this.excludeReader(reader, 'its own reading is stale')
      else this.readerSelector.recordReaderSuccess(reader.id)
      for (const { table, resolve } of reads) resolve(toRelayedRead(reader, replies[table], now))
    } catch (error) {
      this.excludeReader(reader, messageOf(error))
      resolveAll(reads, undefined)
    }
  }

  private excludeReader (reader: FeedInstance, reason: string): void {
    this.readerSelector.recordReaderFailure(reader.id, this.clock.monotonic())
    this.log.warn('feed_reader_lost', { reader: reader.id, address: reader.address, reason })
  }
}

function toRelayedRead (reader: FeedInstance, reply: TableReply | undefined, now: number): RelayedRead | undefined {
  return reply?.kind === 'changes' ? { reader: reader.id, reading: reply.reading, readAt: now - reply.age } : undefined
}

function resolveAll (reads: readonly PendingRead[], relayed: RelayedRead | undefined): void {
  for (const { resolve } of reads) resolve(relayed)
}
