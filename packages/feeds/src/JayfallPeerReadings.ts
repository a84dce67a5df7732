/**
 * Readings from the zone's reader.
 *
 * One call at a time asks for all tables that wait for changes, so that the calls between
 * instances do not grow with the tables.
 */

import { messageOf, type Clock } from '#jayfall/shared'
import { type TableChanges } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { PEER_WAIT } from './JayfallFeedConstants'
import { type FeedPeerClient, type TableReply } from './JayfallFeedPeers'
import { type FeedInstance, type ReaderChoice } from './JayfallReaderChoice'

/** Changes that a reader passed on. */
export interface RelayedReading {
  /** The identifier of the reader. */
  readonly reader: string
  readonly reading: TableChanges
  /** Monotonic milliseconds at which the reader heard them from the store. */
  readonly readAt: number
}

interface WaitingTable {
  readonly table: string
  readonly revision: number
  readonly resolve: (relayed: RelayedReading | undefined) => void
}

export class PeerReadings {
  private waiting: readonly WaitingTable[] = []
  private isAsking = false

  constructor (private readonly client: FeedPeerClient, private readonly choice: ReaderChoice, private readonly clock: Clock, private readonly log: Log) {}

  /** Changes of a table after a revision; undefined when the table has to be read from the store. */
  read (table: string, revision: number): Promise<RelayedReading | undefined> {
    return new Promise(resolve => {
      this.waiting = [...this.waiting, { table, revision, resolve }]
      // The other tables of the call before ask again in the same turn of the event loop.
      if (!this.isAsking) setImmediate(() => this.ask())
    })
  }

  private async ask (): Promise<void> {
    if (this.isAsking || this.waiting.length === 0) return
    const { waiting } = this
    this.waiting = []
    const reader = this.choice.readerAt(this.clock.monotonic())
    if (reader === undefined) return resolveAll(waiting, undefined)
    this.isAsking = true
    try {
      await this.askReader(reader, waiting)
    } finally {
      this.isAsking = false
      setImmediate(() => this.ask())
    }
  }

  private async askReader (reader: FeedInstance, waiting: readonly WaitingTable[]): Promise<void> {
    const tables = Object.fromEntries(waiting.map(({ table, revision }) => [table, revision]))
    try {
      const replies = await this.client.changes(reader, { tables, wait: PEER_WAIT })
      const now = this.clock.monotonic()
      if (Object.values(replies).some(reply => reply.kind === 'refused' && reply.reason === 'stale')) this.drop(reader, 'its own reading is stale')
      else this.choice.noteReaderSuccess(reader.id)
      for (const { table, resolve } of waiting) resolve(toRelayed(reader, replies[table], now))
    } catch (error) {
      this.drop(reader, messageOf(error))
      resolveAll(waiting, undefined)
    }
  }

  private drop (reader: FeedInstance, reason: string): void {
    this.choice.noteReaderFailure(reader.id, this.clock.monotonic())
    this.log.warn('feed_reader_lost', { reader: reader.id, address: reader.address, reason })
  }
}

function toRelayed (reader: FeedInstance, reply: TableReply | undefined, now: number): RelayedReading | undefined {
  return reply?.kind === 'changes' ? { reader: reader.id, reading: reply.reading, readAt: now - reply.age } : undefined
}

function resolveAll (waiting: readonly WaitingTable[], relayed: RelayedReading | undefined): void {
  for (const { resolve } of waiting) resolve(relayed)
}
