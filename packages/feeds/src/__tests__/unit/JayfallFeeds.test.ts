/** Tests of the kept changes of a table, of the selection of a reader and of its replies, without a network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import fastCheck from 'fast-check'

import { ManualClock } from '#jayfall/shared'

import { ChangesServer } from '../../JayfallChangesServer'
import { FIRST_EXCLUSION_MILLISECONDS, MAXIMUM_HISTORY_ROWS, PEER_READ_SUSPENSION_MILLISECONDS, PEER_TIMEOUT_MILLISECONDS, REFRESH_WAIT_MILLISECONDS, STALE_READER_EXCLUSION_MILLISECONDS } from '../../JayfallFeedConstants'
import { FeedHistory } from '../../JayfallFeedHistory'
import { FeedSubscribers } from '../../JayfallFeedSubscribers'
import { DEFAULT_FEED_LIMITS, deriveFeedTimings } from '../../JayfallFeedTimings'
import { ReaderSelector, type FeedInstance } from '../../JayfallReaderSelector'
import { at, createChange, createReading } from './JayfallFeedFixture'

const TIMINGS = deriveFeedTimings(DEFAULT_FEED_LIMITS)
const ZONES = ['valdivia', 'osorno', 'chiloe']

function createInstances (count: number, zoneCount = 1): readonly FeedInstance[] {
  return Array.from({ length: count }, (_, index) => ({ id: `entry-${index}`, zone: ZONES[index % zoneCount], address: `127.0.0.1:${index + 1}` }))
}

function createSelectors (instances: readonly FeedInstance[], hasSubscribers = (_id: string): boolean => false): ReadonlyMap<string, ReaderSelector> {
  return new Map(instances.map(({ id, zone, link }) => {
    const selector = new ReaderSelector(id, zone, link, () => hasSubscribers(id))
    selector.updateInstances(instances)
    return [id, selector]
  }))
}

/** The selector of an instance of the zone that is not the preferred reader. */
function createFollower (zone: readonly FeedInstance[]): ReaderSelector {
  const follower = [...createSelectors(zone).values()].find(selector => selector.roleAt(0) === 'follower')
  assert.ok(follower !== undefined)
  return follower
}

describe('feeds', () => {
  describe('FeedHistory', () => {
    it('returns the last change of each row after a revision, including removals (guards against removed servers that stay in use)', () => {
      const history = new FeedHistory()
      history.replace(createReading(at(10)), 0)
      history.append(at(10), createReading(at(12), [createChange('a', 11), createChange('b', 12)]), 1)
      history.append(at(12), createReading(at(13), [{ key: 'a', position: at(13), value: undefined }]), 2)
      assert.deepEqual(history.changesAfter(at(11), 2)?.changes, [createChange('b', 12), { key: 'a', position: at(13), value: undefined }])
      assert.equal(history.changesAfter(at(10), 2)?.position.revision, 13)
    })

    it('returns nothing for a revision below the kept changes (guards against changes that never reach an instance)', () => {
      const history = new FeedHistory()
      history.replace(createReading(at(10)), 0)
      assert.equal(history.changesAfter(at(9), 0), undefined)
      for (let revision = 11; revision <= 11 + MAXIMUM_HISTORY_ROWS; revision++) history.append(at(revision - 1), createReading(at(revision), [createChange(`row-${revision}`, revision)]), 1)
      assert.equal(history.changesAfter(at(10), 1), undefined)
      assert.equal(history.changesAfter(at(11), 1)?.changes.length, MAXIMUM_HISTORY_ROWS)
    })

    it('discards its changes when a read continues from a higher revision (guards against a gap between two reads)', () => {
      const history = new FeedHistory()
      history.replace(createReading(at(10)), 0)
      history.append(at(10), createReading(at(12), []), 1)
      history.append(at(20), createReading(at(21), [createChange('a', 21)]), 2)
      assert.equal(history.changesAfter(at(12), 2), undefined)
      assert.equal(history.changesAfter(at(20), 2)?.changes.length, 1)
    })

    it('does not return changes that a caller has already read from the store itself (guards against decreasing revisions)', () => {
      const history = new FeedHistory()
      history.replace(createReading(at(10)), 0)
      history.append(at(10), createReading(at(11), [createChange('a', 11)]), 1)
      assert.deepEqual(history.changesAfter(at(15), 1), { ...createReading(at(15)), storeTime: 0, isRelayed: true })
    })
  })

  describe('ReaderSelector', () => {
    it('selects the same reader at all instances of a zone', () => {
      const readers = [...createSelectors(createInstances(20))].map(([id, selector]) => selector.selectReader(0)?.id ?? id)
      assert.equal(new Set(readers).size, 1)
    })

    // Failure: in all four zones of a deployment, the reader was an instance with a link of 10 Mbit/s, although two others had 200 Mbit/s.
    it('prefers instances with a wide link, also after one of them failed (guards against a reader whose link is the bottleneck)', () => {
      const zone = createInstances(18).map((instance, index) => ({ ...instance, link: index < 2 ? 200 : 10 }))
      const narrow = [...createSelectors(zone).values()].slice(2)
      assert.deepEqual(new Set(narrow.map(selector => selector.selectReader(0)?.id)).size, 1)
      for (const selector of narrow) {
        const first = selector.selectReader(0)?.id
        assert.ok(first === 'entry-0' || first === 'entry-1')
        selector.recordReaderFailure(first, 0)
        const second = selector.selectReader(1)?.id
        assert.ok(second !== first && (second === 'entry-0' || second === 'entry-1'))
      }
    })

    it('selects no reader for a single instance', () => {
      const selector = new ReaderSelector('entry-0', 'valdivia')
      selector.updateInstances(createInstances(1))
      assert.equal(selector.selectReader(0), undefined)
      assert.equal(selector.readsForOthers(0), false)
    })

    // Each zone read the store for itself, also zones of one to three instances, and all of their instances.
    it('lets one instance read the store for all zones, however small they are (guards against calls that grow with zones and instances)', () => {
      for (const count of [2, 3, 7, 40]) {
        const roles = [...createSelectors(createInstances(count, 3)).values()].map(selector => selector.roleAt(0))
        assert.equal(roles.filter(role => role === 'root').length, 1)
        assert.equal(roles.filter(role => role === 'zone_reader').length, Math.min(count, ZONES.length) - 1)
      }
    })

    it('excludes a reader that did not answer and selects it again later (guards against a frozen reader)', () => {
      const follower = createFollower(createInstances(6))
      const first = follower.selectReader(0)
      assert.ok(first !== undefined)
      follower.recordReaderFailure(first.id, 100)
      assert.notEqual(follower.selectReader(101)?.id, first.id)
      assert.equal(follower.selectReader(100 + FIRST_EXCLUSION_MILLISECONDS)?.id, first.id)
    })

    it('doubles the exclusion of a reader that keeps failing until it answers (guards against stalls caused by an instance that has ended)', () => {
      const follower = createFollower(createInstances(6))
      const first = follower.selectReader(0)
      assert.ok(first !== undefined)
      follower.recordReaderFailure(first.id, 0)
      follower.recordReaderFailure(first.id, FIRST_EXCLUSION_MILLISECONDS)
      assert.notEqual(follower.selectReader(FIRST_EXCLUSION_MILLISECONDS * 2)?.id, first.id)
      assert.equal(follower.selectReader(FIRST_EXCLUSION_MILLISECONDS * 3)?.id, first.id)
      follower.recordReaderSuccess(first.id)
      follower.recordReaderFailure(first.id, 100_000)
      assert.equal(follower.selectReader(100_000 + FIRST_EXCLUSION_MILLISECONDS)?.id, first.id)
    })

    it('reads from the store after its own read of the store failed', () => {
      const follower = createFollower(createInstances(6))
      follower.recordOwnFailure(1000)
      assert.equal(follower.selectReader(1001), undefined)
    })

    // Failure: each further failure of the store began the time anew in which an instance asked only the store, so that it stayed behind for as long as the store turned it away.
    it('asks others when the store goes on turning the instance away, and the store again at times (guards against an instance that stays behind)', () => {
      for (const selector of createSelectors(createInstances(6, 3)).values()) {
        for (const time of [0, 700, 1400, 2100]) selector.recordOwnFailure(time)
        // In a zone of two, the other one may have ended, and the readers of other zones are left.
        for (let readersTried = 0; readersTried < 2; readersTried++) {
          const reader = selector.selectReader(2101)
          assert.ok(reader !== undefined)
          selector.recordReaderFailure(reader.id, 2101)
        }
        if (selector.roleAt(2101) === 'root') assert.equal(selector.selectReader(2100 + PEER_READ_SUSPENSION_MILLISECONDS), undefined)
      }
    })

    it('asks a reader again soon that has lost the store, and never excludes it for longer (guards against a reader that is not asked when the store is back)', () => {
      const follower = createFollower(createInstances(6))
      const first = follower.selectReader(0)
      assert.ok(first !== undefined)
      for (let time = 0; time <= 8000; time += STALE_READER_EXCLUSION_MILLISECONDS) {
        assert.equal(follower.selectReader(time)?.id, first.id)
        follower.recordStaleReader(first.id, time)
        assert.notEqual(follower.selectReader(time + 1)?.id, first.id)
      }
    })

    // Instances exclude different readers, and any of them may have become a reader of others.
    it('never reads in a circle, whatever each instance has excluded (guards against readers that wait for each other)', () => {
      fastCheck.assert(fastCheck.property(fastCheck.integer({ min: 2, max: 12 }), fastCheck.array(fastCheck.tuple(fastCheck.nat(11), fastCheck.nat(11)), { maxLength: 30 }), fastCheck.uniqueArray(fastCheck.nat(11)), (count, exclusions, subscribed) => {
        const selectors = createSelectors(createInstances(count, 3), id => subscribed.includes(Number(id.slice('entry-'.length))))
        for (const [by, excluded] of exclusions) selectors.get(`entry-${by}`)?.recordReaderFailure(`entry-${excluded}`, 0)
        return [...selectors.keys()].every(id => {
          const visited = new Set<string>()
          for (let current: string | undefined = id; current !== undefined; current = selectors.get(current)?.selectReader(1)?.id) {
            if (visited.has(current)) return false
            visited.add(current)
          }
          return true
        })
      }))
    })
  })

  describe('deriveFeedTimings', () => {
    // A call to a reader takes up to its time-out, and the store answers within a tenth of a second.
    it('leaves time to notice a late reader and to read the store before a change is overdue, whatever the limits are', () => {
      for (const change of [1500, 2000, 3000, 4000, 9000]) {
        const { readerWait, zoneReaderPatience, followerPatience } = deriveFeedTimings({ change, contact: change + 1000 })
        assert.ok(readerWait < zoneReaderPatience && zoneReaderPatience < followerPatience && followerPatience + PEER_TIMEOUT_MILLISECONDS + 100 < change, `${change}`)
      }
    })
  })

  describe('ChangesServer', () => {
    const request = { tables: { op: at(10) }, wait: 0, latestEra: 1, acceptsRows: false }

    function createServer (clock: ManualClock, refresh: (history: FeedHistory) => void = () => {}): ChangesServer {
      const history = new FeedHistory()
      history.replace(createReading(at(10)), clock.monotonic())
      const server: ChangesServer = new ChangesServer({
        histories: new Map([['op', history]]),
        subscribers: new FeedSubscribers(),
        timingsOf: () => TIMINGS,
        link: undefined,
        clock,
        readRows: () => Promise.reject(new Error('no store')),
        refresh: () => {
          refresh(history)
          clock.advance(REFRESH_WAIT_MILLISECONDS)
          server.notifyOfReading()
        }
      })
      return server
    }

    it('refuses calls after it lost the store instead of passing on old data (guards against a reader that is cut off)', async () => {
      const clock = new ManualClock(1000)
      const server = createServer(clock)
      assert.equal((await server.answer(request)).op.kind, 'changes')
      clock.advance(TIMINGS.maximumPassedAge + 1)
      assert.deepEqual((await server.answer(request)).op, { kind: 'refused', reason: 'stale' })
    })

    // An instance that becomes a reader has readings as old as those of the reader that failed, and each of its callers read from the store.
    it('reads again for a caller when its own reading is late (guards against a herd at the store when a reader has failed)', async () => {
      const clock = new ManualClock(1000)
      const server = createServer(clock, history => history.append(at(10), createReading(at(12), []), clock.monotonic()))
      clock.advance(TIMINGS.maximumPassedAge + 1)
      const { op } = await server.answer(request)
      assert.ok(op.kind === 'changes' && op.reading.revision === 12 && op.age <= REFRESH_WAIT_MILLISECONDS)
    })

    it('refuses a table that it does not follow and still serves the others', async () => {
      const replies = await createServer(new ManualClock(1000)).answer({ ...request, tables: { op: at(10), rollouts: at(3) } })
      assert.equal(replies.op.kind, 'changes')
      assert.deepEqual(replies.rollouts, { kind: 'refused', reason: 'not_kept' })
    })

    it('refuses all calls when it is stopping', async () => {
      const server = createServer(new ManualClock(1000))
      server.stop()
      assert.deepEqual((await server.answer(request)).op, { kind: 'refused', reason: 'stale' })
    })
  })
})
