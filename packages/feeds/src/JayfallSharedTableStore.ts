/**
 * A table store whose changes one instance of each zone reads for the others.
 *
 * The reader uses long polls with short waits and reports the age of its data. The other instances
 * therefore detect within about a second that it is frozen, has ended or is cut off from the store, and
 * read from the store themselves until another reader answers. All other operations go directly to the store.
 */

import { PeerServer } from '#jayfall/peers'
import { type Clock, type RandomSource } from '#jayfall/shared'
import { isPlatformError, WatchableTableStore, type TableChanges, type TableRow, type TableWrite } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { ChangesServer } from './JayfallChangesServer'
import { READER_PAUSE_MILLISECONDS, READER_POLL_WAIT_MILLISECONDS } from './JayfallFeedConstants'
import { FeedHistory } from './JayfallFeedHistory'
import { createFeedRouter, FeedPeerClient } from './JayfallFeedPeerClient'
import { InstanceRegistry } from './JayfallInstanceRegistry'
import { PeerChangesReader } from './JayfallPeerChangesReader'
import { ReaderSelector, type FeedInstance } from './JayfallReaderSelector'

export interface SharedTableStoreParts {
  readonly store: WatchableTableStore
  readonly instance: string
  readonly zone: string
  /** IP address and port on which this instance accepts calls from other instances. */
  readonly host: string
  readonly port: number
  /** Bandwidth of this instance's link in Mbit/s; undefined when it is unknown. */
  readonly link?: number
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  /** Called with all other registered instances after each listing. */
  readonly onInstances?: (others: readonly FeedInstance[]) => void
}

/** Reads changes from the zone's reader, or from the store when there is no reader. */
export class SharedTableStore extends WatchableTableStore {
  private readonly readerSelector: ReaderSelector
  private readonly histories = new Map<string, FeedHistory>()
  private readonly client: FeedPeerClient
  private readonly peerReader: PeerChangesReader
  private readonly changesServer: ChangesServer
  private peerServer: PeerServer | undefined
  private registry: InstanceRegistry | undefined
  /** Identifier of the reader that answered the last read of changes; undefined when the store did. */
  private lastReader: string | undefined

  constructor (private readonly parts: SharedTableStoreParts) {
    super()
    const { instance, zone, host, link, clock, log } = parts
    this.readerSelector = new ReaderSelector(instance, zone, link)
    this.client = new FeedPeerClient(host)
    this.peerReader = new PeerChangesReader(this.client, this.readerSelector, clock, log)
    this.changesServer = new ChangesServer(this.histories, this.readerSelector, clock)
  }

  /** Starts to answer other instances, registers this instance and starts to list the others. */
  async start (): Promise<void> {
    const { instance, zone, host, port, link } = this.parts
    this.peerServer = await PeerServer.start(`${host}:${port}`, createFeedRouter(this.changesServer))
    const self = { id: instance, zone, address: `${host}:${this.peerServer.port}`, link }
    this.registry = new InstanceRegistry({ ...this.parts, self, onListing: instances => this.updateInstances(instances) })
    await this.registry.start()
  }

  /** Refuses further calls of other instances, so that they read elsewhere, and removes the registration. */
  async stop (): Promise<void> {
    this.changesServer.stop()
    await this.registry?.stop()
  }

  /** Closes all connections without a notice to other instances, as a killed process does. */
  async closeAbruptly (): Promise<void> {
    this.client.close()
    await this.peerServer?.stop()
  }

  override transact (writes: readonly TableWrite[]): Promise<readonly number[]> {
    return this.parts.store.transact(writes)
  }

  override read<Value> (table: string, key: string): Promise<TableRow<Value> | undefined> {
    return this.parts.store.read(table, key)
  }

  override list<Value> (table: string, prefix: string, after?: string, limit?: number): Promise<readonly TableRow<Value>[]> {
    return this.parts.store.list(table, prefix, after, limit)
  }

  override get maximumReadPause (): number {
    return this.readerSelector.isReader(this.parts.clock.monotonic()) ? READER_PAUSE_MILLISECONDS : Infinity
  }

  override async snapshot<Value> (table: string): Promise<TableChanges<Value>> {
    const reading = await this.parts.store.snapshot<Value>(table)
    this.historyOf(table).reset(reading.revision, reading.storeTime, this.parts.clock.monotonic())
    return reading
  }

  override async changes<Value> (table: string, revision: number, wait: number): Promise<TableChanges<Value>> {
    const { clock } = this.parts
    const relayed = this.readerSelector.selectReader(clock.monotonic()) === undefined ? undefined : await this.peerReader.read(table, revision)
    this.logReaderChange(relayed?.reader)
    const reading = relayed?.reading ?? await this.readFromStore(table, revision, wait)
    this.historyOf(table).append(revision, reading, relayed?.readAt ?? clock.monotonic())
    if (reading.changes.length > 0) this.changesServer.notifyOfChange()
    return { ...reading as TableChanges<Value>, reader: relayed?.reader }
  }

  private updateInstances (instances: readonly FeedInstance[]): void {
    this.readerSelector.updateInstances(instances)
    this.parts.onInstances?.(instances.filter(({ id }) => id !== this.parts.instance))
  }

  private async readFromStore (table: string, revision: number, wait: number): Promise<TableChanges> {
    const { store, clock } = this.parts
    try {
      return await store.changes(table, revision, this.readerSelector.isReader(clock.monotonic()) ? Math.min(wait, READER_POLL_WAIT_MILLISECONDS) : wait)
    } catch (error) {
      if (!isPlatformError(error, 'history_lost')) this.readerSelector.recordOwnFailure(clock.monotonic())
      throw error
    }
  }

  private historyOf (table: string): FeedHistory {
    const history = this.histories.get(table) ?? new FeedHistory()
    this.histories.set(table, history)
    return history
  }

  private logReaderChange (reader: string | undefined): void {
    if (reader === this.lastReader) return
    this.parts.log.info('feed_reader_changed', { reader: reader ?? 'store', previous: this.lastReader ?? 'store' })
    this.lastReader = reader
  }
}
