/** Tests of the store's clock as instances estimate it from readings through others, without a network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { ManualClock } from '#jayfall/shared'
import { type TableChange } from '#jayfall/store'

import { ChangesServer } from '../../JayfallChangesServer'
import { FeedHistory } from '../../JayfallFeedHistory'
import { encodeTableNotice, ReaderNotices } from '../../JayfallFeedNotice'
import { type ChangesRequest, type FeedPeerClient } from '../../JayfallFeedPeerClient'
import { FeedSubscribers } from '../../JayfallFeedSubscribers'
import { DEFAULT_FEED_LIMITS, deriveFeedTimings } from '../../JayfallFeedTimings'
import { PeerChangesReader } from '../../JayfallPeerChangesReader'
import { ReaderSelector, type FeedInstance } from '../../JayfallReaderSelector'
import { at, createChange, createReading, SILENT_LOG } from './JayfallFeedFixture'

const READER: FeedInstance = { id: 'reader', zone: 'valdivia', address: '127.0.0.1:1', link: 200 }
/** The store's clock when the monotonic clock of the instances is 0, in milliseconds. */
const STORE_CLOCK_START = 50_000
const TIMINGS = deriveFeedTimings(DEFAULT_FEED_LIMITS)

/** A reader with its history, and an instance that reads from it. */
class RelayFixture {
  readonly clock = new ManualClock(1000)
  readonly served = new FeedHistory()
  readonly own = new FeedHistory()
  readonly notices = new ReaderNotices()
  private readonly peerReader: PeerChangesReader

  constructor () {
    const { clock } = this
    const server = new ChangesServer({ histories: new Map([['op', this.served]]), subscribers: new FeedSubscribers(), timingsOf: () => TIMINGS, link: 200, clock, refresh: () => {}, readRows: () => Promise.reject(new Error('no store')) })
    const client = { changes: (_reader: FeedInstance, request: ChangesRequest) => server.answer(request) } as unknown as FeedPeerClient
    const readerSelector = new ReaderSelector('follower', 'valdivia', 10)
    readerSelector.updateInstances([READER])
    this.peerReader = new PeerChangesReader({ client, readerSelector, notices: this.notices, timingsOf: () => TIMINGS, noticeAddress: () => undefined, latestEra: () => 1, clock, log: SILENT_LOG })
  }

  get storeClock (): number {
    return STORE_CLOCK_START + this.clock.monotonic()
  }

  /** The reader reads the changes after a revision from the store. */
  serve (after: number, revision: number, changes: readonly TableChange[] = []): void {
    this.served.append(at(after), createReading(at(revision), changes, this.storeClock), this.clock.monotonic())
  }

  /** Sends the reader's notice of what it has read. */
  notify (): void {
    const now = this.clock.monotonic()
    const { changedPosition, completePosition, completeUntil } = this.served
    this.notices.recordNotice({ feed: 'notice', reader: READER.id, storeTime: this.served.storeTimeAt(now), tables: { op: encodeTableNotice(changedPosition, completePosition, now - completeUntil) } }, now)
  }

  /** The instance reads through the reader. */
  async read (after: number): Promise<void> {
    const relayed = await this.peerReader.read('op', at(after), this.own.completeUntil)
    assert.ok(relayed !== undefined)
    this.own.append(at(after), relayed.reading, relayed.readAt)
  }

  /** How far the instance's estimate of the store's clock is ahead, in milliseconds. */
  get error (): number {
    return this.own.storeTimeAt(this.clock.monotonic()) - this.storeClock
  }
}

describe('the store\'s clock', () => {
  // Failure: each reading through another instance was taken for as recent as the call, though it was up to a second old, and the estimates of the store's clock ran ahead by that much at each level.
  it('is estimated right from a reading that a reader made some time ago (guards against evidence that counts as too old, and rollouts ahead of their schedule)', async () => {
    const fixture = new RelayFixture()
    fixture.own.replace(createReading(at(10), [], fixture.storeClock), fixture.clock.monotonic())
    fixture.served.replace(createReading(at(10), [], fixture.storeClock), fixture.clock.monotonic())
    fixture.serve(10, 11, [createChange('config', 11)])
    fixture.clock.advance(700)
    await fixture.read(10)
    assert.equal(fixture.error, 0)
  })

  it('is estimated right from a notice that arrives late', async () => {
    const fixture = new RelayFixture()
    fixture.own.replace(createReading(at(10), [], fixture.storeClock), fixture.clock.monotonic())
    fixture.served.replace(createReading(at(10), [], fixture.storeClock), fixture.clock.monotonic())
    fixture.clock.advance(200)
    fixture.serve(10, 11)
    fixture.notify()
    fixture.clock.advance(600)
    await fixture.read(10)
    assert.equal(fixture.error, 0)
  })
})
