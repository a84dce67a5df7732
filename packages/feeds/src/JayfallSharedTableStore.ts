/**
 * A table store whose changes are read by one instance of each zone for the others.
 *
 * The reader reads with short waits and tells the age of what it knows, so whoever reads from it
 * notices within about a second that it is frozen, gone or cut off from the store, and reads from
 * the store itself until another reader answers. Everything but changes goes to the store.
 */

import { type Server } from '@hapi/hapi'
import { startPeerServer } from '#jayfall/peers'
import { type Clock, type RandomSource } from '#jayfall/shared'
import { isPlatformError, WatchableTableStore, type TableChanges, type TableRow, type TableWrite } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { ChangesServer } from './JayfallChangesServer'
import { READER_PAUSE, READER_WAIT } from './JayfallFeedConstants'
import { FeedHistory } from './JayfallFeedHistory'
import { createFeedRouter, FeedPeerClient } from './JayfallFeedPeers'
import { InstanceRegister } from './JayfallInstanceRegister'
import { PeerReadings } from './JayfallPeerReadings'
import { ReaderChoice, type FeedInstance } from './JayfallReaderChoice'

export interface SharedTableStoreParts {
  readonly store: WatchableTableStore
  readonly instance: string
  readonly zone: string
  /** Where other instances ask this one: IP address and port. */
  readonly host: string
  readonly port: number
  /** Bandwidth of this instance's link, in Mbit/s; undefined when it is not known. */
  readonly link?: number
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  /** Called with all other instances after each listing. */
  readonly onInstances?: (others: readonly FeedInstance[]) => void
}

export class SharedTableStore extends WatchableTableStore {
  private readonly choice: ReaderChoice
  private readonly histories = new Map<string, FeedHistory>()
  private readonly client: FeedPeerClient
  private readonly readings: PeerReadings
  private readonly changesServer: ChangesServer
  private peerServer: Server | undefined
  private register: InstanceRegister | undefined
  /** The reader of the last reading; undefined when it came from the store. */
  private lastReader: string | undefined

  constructor (private readonly parts: SharedTableStoreParts) {
    super()
    const { instance, zone, host, link, clock, log } = parts
    this.choice = new ReaderChoice(instance, zone, link)
    this.client = new FeedPeerClient(host)
    this.readings = new PeerReadings(this.client, this.choice, clock, log)
    this.changesServer = new ChangesServer(this.histories, this.choice, clock)
  }

  /** Begins to answer other instances, and to look for them. */
  async start (): Promise<void> {
    const { instance, zone, host, port, link } = this.parts
    this.peerServer = await startPeerServer(`${host}:${port}`, createFeedRouter(this.changesServer))
    const self = { id: instance, zone, address: `${host}:${this.peerServer.info.port}`, link }
    this.register = new InstanceRegister({ ...this.parts, self, onListing: instances => this.takeInstances(instances) })
    await this.register.start()
  }

  /** Sends the instances that read from this one elsewhere. */
  async stop (): Promise<void> {
    this.changesServer.stop()
    await this.register?.stop()
  }

  /** Ends without a word, as a killed process does. */
  async abandon (): Promise<void> {
    this.client.close()
    this.peerServer?.listener.closeAllConnections()
    await this.peerServer?.stop({ timeout: 0 })
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

  override get longestPause (): number {
    return this.choice.isReader(this.parts.clock.monotonic()) ? READER_PAUSE : Infinity
  }

  override async snapshot<Value> (table: string): Promise<TableChanges<Value>> {
    const reading = await this.parts.store.snapshot<Value>(table)
    this.historyOf(table).begin(reading.revision, reading.storeTime, this.parts.clock.monotonic())
    return reading
  }

  override async changes<Value> (table: string, revision: number, wait: number): Promise<TableChanges<Value>> {
    const { clock } = this.parts
    const relayed = this.choice.readerAt(clock.monotonic()) === undefined ? undefined : await this.readings.read(table, revision)
    this.noteReader(relayed?.reader)
    const reading = relayed?.reading ?? await this.readFromStore(table, revision, wait)
    this.historyOf(table).take(revision, reading, relayed?.readAt ?? clock.monotonic())
    if (reading.changes.length > 0) this.changesServer.noteChange()
    return { ...reading as TableChanges<Value>, reader: relayed?.reader }
  }

  private takeInstances (instances: readonly FeedInstance[]): void {
    this.choice.takeInstances(instances)
    this.parts.onInstances?.(instances.filter(({ id }) => id !== this.parts.instance))
  }

  private async readFromStore (table: string, revision: number, wait: number): Promise<TableChanges> {
    const { store, clock } = this.parts
    try {
      return await store.changes(table, revision, this.choice.isReader(clock.monotonic()) ? Math.min(wait, READER_WAIT) : wait)
    } catch (error) {
      if (!isPlatformError(error, 'history_lost')) this.choice.noteOwnFailure(clock.monotonic())
      throw error
    }
  }

  private historyOf (table: string): FeedHistory {
    const known = this.histories.get(table) ?? new FeedHistory()
    this.histories.set(table, known)
    return known
  }

  private noteReader (reader: string | undefined): void {
    if (reader === this.lastReader) return
    this.parts.log.info('feed_reader_changed', { reader: reader ?? 'store', previous: this.lastReader ?? 'store' })
    this.lastReader = reader
  }
}
