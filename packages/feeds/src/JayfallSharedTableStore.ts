/**
 * A table store whose changes few instances read for all.
 *
 * One instance of each zone follows the tables for its zone, and one of these follows the store for all zones. Each
 * sends notices of what it has read to the instances that read from it, so that these detect by the age of the last
 * notice that it is frozen, has ended or is cut off from the store. They then read from the store themselves until
 * another reader answers. All other operations go directly to the store.
 *
 * When the store has come back from a copy, whoever hears of it first tells its reader by asking it.
 */

import { PeerServer } from '#jayfall/peers'
import { delay } from '#jayfall/shared'
import { formatPosition, isPlatformError, PlatformError, WatchableTableStore, type TableChanges, type TablePosition, type TableRow, type TableWrite } from '#jayfall/store'

import { ChangesServer } from './JayfallChangesServer'
import { planEraCatchUp, type CatchUpOutcome, type CatchUpStep } from './JayfallEraCatchUp'
import { EraSignal } from './JayfallEraSignal'
import { INSTANCES_TABLE, NOTICE_DELAY_MILLISECONDS, READER_PAUSE_MILLISECONDS, SUBSCRIPTION_INTERVAL_MILLISECONDS } from './JayfallFeedConstants'
import { FeedHistory } from './JayfallFeedHistory'
import { encodeTableNotice, ReaderNotices, readFeedMessage, type FeedMessage } from './JayfallFeedNotice'
import { createFeedRouter, FeedPeerClient } from './JayfallFeedPeerClient'
import { FeedSubscribers } from './JayfallFeedSubscribers'
import { deriveFeedTimings, RELAXED_FEED_LIMITS, type FeedTimings } from './JayfallFeedTimings'
import { InstanceRegistry } from './JayfallInstanceRegistry'
import { PeerChangesReader } from './JayfallPeerChangesReader'
import { ReaderSelector, type FeedInstance } from './JayfallReaderSelector'
import { type SharedTableStoreParts } from './JayfallSharedTableStoreParts'

/** Reads changes from the instance that reads for this one, or from the store when there is none. */
export class SharedTableStore extends WatchableTableStore {
  private readonly timings: FeedTimings
  private readonly relaxedTimings = deriveFeedTimings(RELAXED_FEED_LIMITS)
  private readonly readerSelector: ReaderSelector
  private readonly histories = new Map<string, FeedHistory>()
  private readonly subscribers = new FeedSubscribers()
  private readonly notices = new ReaderNotices()
  private readonly client: FeedPeerClient
  private readonly peerReader: PeerChangesReader
  private readonly changesServer: ChangesServer
  private readonly registry: InstanceRegistry
  private peerServer: PeerServer | undefined
  private noticeTimer: NodeJS.Timeout | undefined
  private subscriptionTimer: NodeJS.Timeout | undefined
  /** Identifier of the reader that answered the last read of changes; undefined when the store did. */
  private lastReader: string | undefined
  /** The eras that this instance has heard of, from the store or from other instances. */
  private readonly eraSignal = new EraSignal()
  private instanceCount = 1
  /** The reader that sends notices to this instance. */
  private subscribedReader: FeedInstance | undefined

  constructor (private readonly parts: SharedTableStoreParts) {
    super()
    const { instance, zone, host, link, limits, datagrams, clock, log } = parts
    this.timings = deriveFeedTimings(limits)
    const timingsOf = (table: string): FeedTimings => this.timingsOf(table)
    this.readerSelector = new ReaderSelector(instance, zone, link, now => this.subscribers.addresses(now).length > 0)
    this.client = new FeedPeerClient(host)
    this.peerReader = new PeerChangesReader({ client: this.client, readerSelector: this.readerSelector, notices: this.notices, timingsOf, noticeAddress: () => this.peerAddress, latestEra: () => this.eraSignal.latest, clock, log })
    this.changesServer = new ChangesServer({ histories: this.histories, subscribers: this.subscribers, timingsOf, link, clock, refresh: era => this.refresh(era), readRows: table => parts.store.snapshot(table) })
    this.registry = new InstanceRegistry({ ...parts, followed: this, onListing: instances => this.updateInstances(instances) })
    datagrams.subscribe(message => this.handleMessage(message))
  }

  /** Starts to answer other instances, registers this instance and starts to list the others. */
  async start (): Promise<void> {
    const { instance, zone, host, port, link } = this.parts
    this.peerServer = await PeerServer.start(`${host}:${port}`, createFeedRouter(this.changesServer), this.parts.otherCalls)
    this.subscriptionTimer = setInterval(() => this.renewSubscription(), SUBSCRIPTION_INTERVAL_MILLISECONDS)
    await this.registry.start({ id: instance, zone, address: `${host}:${this.peerServer.port}`, link })
  }

  /** Refuses further calls of other instances, so that they read elsewhere. */
  stop (): void {
    this.registry.stop()
    this.changesServer.stop()
    const { datagrams, clock, instance } = this.parts
    datagrams.send(this.subscribers.addresses(clock.monotonic()), { feed: 'leaving', reader: instance } satisfies FeedMessage)
    this.stopTimers()
  }

  /** Closes all connections without a notice to other instances, as a killed process does. */
  async closeAbruptly (): Promise<void> {
    this.registry.stop()
    this.stopTimers()
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
    return this.readerSelector.readsForOthers(this.parts.clock.monotonic()) ? READER_PAUSE_MILLISECONDS : Infinity
  }

  override get era (): number {
    return Math.max(this.eraSignal.latest, this.parts.store.era)
  }

  /** Resolves after `milliseconds`, or when a new era of the store begins. */
  override pause (milliseconds: number): Promise<void> {
    return this.eraSignal.pause(milliseconds)
  }

  override async snapshot<Value> (table: string): Promise<TableChanges<Value>> {
    const reading = await this.readAll(table)
    this.publishReading()
    return reading as TableChanges<Value>
  }

  /** @param wait 0 for none. Any other wait is replaced by one that follows from the limits of the deployment and from what this instance does for others. */
  override async changes<Value> (table: string, after: TablePosition, wait: number): Promise<TableChanges<Value>> {
    // A poll that begins before the other instances are known would be a call that their readers make anyway.
    if (!this.registry.hasListed) await Promise.race([this.registry.listed, delay(this.timings.readerWait)])
    const history = this.historyOf(table)
    for (;;) {
      this.learnEra(this.parts.store.era)
      if (history.completePosition.era > after.era) return this.changesOfEra(table, after, history) as TableChanges<Value>
      if (this.eraSignal.latest > after.era) await this.enterEra(table, history)
      else {
        const reading = await this.readChanges(table, after, wait, history)
        if (reading !== undefined) return reading as TableChanges<Value>
      }
    }
  }

  /** Reads the changes in the present era; resolves to undefined when a new one has begun. */
  private async readChanges (table: string, after: TablePosition, wait: number, history: FeedHistory): Promise<TableChanges | undefined> {
    const { clock } = this.parts
    const relayed = await this.peerReader.read(table, after, history.completeUntil)
    if (relayed === undefined && this.eraSignal.latest > after.era) return undefined
    const reading = relayed?.reading ?? await this.readFromStore(table, after, wait, history)
    if (reading === undefined) return undefined
    this.logReaderChange(relayed?.reader)
    const readAt = relayed?.readAt ?? clock.monotonic()
    const changes = relayed?.isWhole === true ? history.adopt(reading, readAt) : reading
    if (relayed?.isWhole !== true) history.append(after, reading, readAt)
    this.learnEra(reading.position.era)
    this.publishReading()
    return { ...changes, reader: relayed?.reader }
  }

  /** The changes that lead from a position of an earlier era to the present one. */
  private changesOfEra (table: string, after: TablePosition, history: FeedHistory): TableChanges {
    const reading = history.changesAfter(after, this.parts.clock.monotonic())
    if (reading === undefined) throw new PlatformError('history_lost', `the changes of ${table} since ${formatPosition(after)} are not known`)
    this.parts.log.info('table_read_in_new_era', { table, era: reading.position.era, revision: reading.position.revision, previous_era: after.era, previous_revision: after.revision, changed: reading.changes.length, through: this.lastReader ?? 'store' })
    return reading
  }

  /** Brings what is known of a table to the latest era of the store. */
  private async enterEra (table: string, history: FeedHistory): Promise<void> {
    const { random } = this.parts
    const plan = planEraCatchUp({ selectReader: () => this.readerSelector.selectReader(this.parts.clock.monotonic()), instanceCount: () => this.instanceCount, rowCount: history.rowCount, uniform: () => random.uniform() })
    for (let next = plan.next(); next.done !== true;) next = plan.next(await this.executeStep(next.value, table, history))
    this.publishReading()
  }

  private async executeStep (step: CatchUpStep, table: string, history: FeedHistory): Promise<CatchUpOutcome> {
    if (step.kind === 'wait') await delay(step.milliseconds)
    else if (step.kind === 'read_all') await this.readAll(table)
    else {
      const after = history.completePosition
      const result = await this.peerReader.readEra(step.reader, table, after)
      if (typeof result === 'string') return result
      if (result.isWhole === true) history.replace(result.reading, result.readAt)
      else history.append(after, result.reading, result.readAt)
      this.logReaderChange(result.reader)
    }
    return 'done'
  }

  /** Reads all rows of a table from the store. */
  private async readAll (table: string): Promise<TableChanges> {
    const { store, clock, log } = this.parts
    const { latest: expectedEra } = this.eraSignal
    const reading = await store.snapshot(table)
    this.readerSelector.recordOwnSuccess()
    const { era } = reading.position
    this.learnEra(era)
    if (era < expectedEra) {
      log.warn('store_era_refuted', { era, named_by_others: expectedEra })
      this.eraSignal.refute(era)
    }
    if (era < this.eraSignal.latest) throw new PlatformError('outcome_unknown', `the reading of ${table} is from before the store came back from a copy`)
    this.historyOf(table).replace(reading, clock.monotonic())
    this.logReaderChange(undefined)
    return reading
  }

  private publishReading (): void {
    this.changesServer.notifyOfReading()
    this.scheduleNotice()
  }

  /** Renews the readings for an instance that reads from this one. @param era the latest era of the store that it has heard of. */
  private refresh (era: number): void {
    if (this.eraSignal.isNews(era)) this.learnEra(era)
    this.notices.wake()
  }

  /** Makes the feeds read all tables anew when the store has come back from a copy. */
  private learnEra (era: number): void {
    const { latest: previous } = this.eraSignal
    if (era <= previous) return
    if (previous > 0) {
      this.parts.log.warn('store_came_back_from_copy', { era, previous_era: previous })
      this.readerSelector.forgetFailures()
    }
    this.eraSignal.raise(era)
    this.notices.wake()
  }

  private updateInstances (instances: readonly FeedInstance[]): void {
    this.readerSelector.updateInstances(instances)
    this.instanceCount = instances.length
    this.notices.wake()
    this.parts.onInstances?.(instances.filter(({ id }) => id !== this.parts.instance))
  }

  /** Reads changes from the store; resolves to undefined when a new era of the store has begun. */
  private async readFromStore (table: string, after: TablePosition, wait: number, history: FeedHistory): Promise<TableChanges | undefined> {
    const { store, clock } = this.parts
    // A call that may not be answered must end soon, because this instance reads nothing else meanwhile.
    const isUrgent = wait === 0 || this.readerSelector.isStoreFailing
    const reading = store.changes(table, after, isUrgent ? 0 : this.waitAt(clock.monotonic(), table, history)).then(answer => {
      this.readerSelector.recordOwnSuccess()
      return answer
    }, (error: unknown) => {
      if (isPlatformError(error, 'era_changed')) this.learnEra(store.era)
      if (this.eraSignal.latest > after.era) return undefined
      if (!isPlatformError(error, 'history_lost')) this.readerSelector.recordOwnFailure(clock.monotonic())
      throw error
    })
    // Other instances may tell of a new era while the store does not answer this one.
    return this.eraSignal.untilRaised(reading)
  }

  /** The wait of a poll of the store. A reading that is late is renewed at once. */
  private waitAt (now: number, table: string, { completeUntil }: FeedHistory): number {
    const { ownWait, readerWait, followerPatience } = this.timingsOf(table)
    const age = now - completeUntil
    if (this.readerSelector.readsForOthers(now)) return Math.max(0, readerWait - age)
    return age > followerPatience ? 0 : ownWait
  }

  private timingsOf (table: string): FeedTimings {
    return table === INSTANCES_TABLE ? this.relaxedTimings : this.timings
  }

  private historyOf (table: string): FeedHistory {
    const history = this.histories.get(table) ?? new FeedHistory()
    this.histories.set(table, history)
    return history
  }

  /** IP address and port at which other instances reach this one; undefined before the start. */
  private get peerAddress (): string | undefined {
    return this.peerServer === undefined ? undefined : `${this.parts.host}:${this.parts.datagrams.port}`
  }

  private handleMessage (message: unknown): boolean {
    const parsed = readFeedMessage(message)
    if (parsed === undefined) return false
    const now = this.parts.clock.monotonic()
    switch (parsed.feed) {
      case 'notice':
        this.notices.recordNotice(parsed, now)
        for (const { era } of Object.values(parsed.tables)) if (this.eraSignal.isNews(era)) this.learnEra(era)
        break
      case 'leaving':
        this.readerSelector.recordReaderFailure(parsed.reader, now)
        this.notices.forget(parsed.reader)
        break
      case 'subscribe':
        this.subscribers.add(parsed.address, now)
        break
      case 'unsubscribe':
        this.subscribers.remove(parsed.address)
    }
    return true
  }

  /** Tells the instances that read from this one what it has read. */
  private scheduleNotice (): void {
    const { clock, datagrams, instance } = this.parts
    if (this.noticeTimer !== undefined || this.subscribers.addresses(clock.monotonic()).length === 0) return
    this.noticeTimer = setTimeout(() => {
      this.noticeTimer = undefined
      const now = clock.monotonic()
      const entries = [...this.histories].filter(([table, { completeUntil }]) => now - completeUntil <= this.timingsOf(table).maximumPassedAge)
      if (entries.length === 0) return
      const tables = Object.fromEntries(entries.map(([table, { changedPosition, completePosition, completeUntil }]) => [table, encodeTableNotice(changedPosition, completePosition, now - completeUntil)]))
      datagrams.send(this.subscribers.addresses(now), { feed: 'notice', reader: instance, storeTime: entries[0][1].storeTimeAt(now), tables } satisfies FeedMessage)
    }, NOTICE_DELAY_MILLISECONDS)
  }

  private renewSubscription (): void {
    const { clock, datagrams } = this.parts
    const { peerAddress: address, subscribedReader: previous } = this
    if (address === undefined) return
    const reader = this.readerSelector.selectReader(clock.monotonic())
    this.subscribedReader = reader
    if (previous !== undefined && previous.id !== reader?.id && this.notices.hasNotified(previous.id)) datagrams.send([previous.address], { feed: 'unsubscribe', address } satisfies FeedMessage)
    if (reader !== undefined && this.notices.hasNotified(reader.id)) datagrams.send([reader.address], { feed: 'subscribe', address } satisfies FeedMessage)
  }

  private stopTimers (): void {
    clearTimeout(this.noticeTimer)
    clearInterval(this.subscriptionTimer)
  }

  private logReaderChange (reader: string | undefined): void {
    if (reader === this.lastReader) return
    this.parts.log.info('feed_reader_changed', { reader: reader ?? 'store', previous: this.lastReader ?? 'store' })
    this.lastReader = reader
  }
}
