/** Tests of the kept changes of a table, of the selection of a reader and of its replies, without a network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { ManualClock } from '#jayfall/shared'
import { type TableChange } from '#jayfall/store'

import { ChangesServer } from '../../JayfallChangesServer'
import { MAXIMUM_HISTORY_ROWS, MAXIMUM_READ_AGE_MILLISECONDS, MINIMUM_SHARING_INSTANCES, READER_ROLE_MILLISECONDS, FIRST_EXCLUSION_MILLISECONDS } from '../../JayfallFeedConstants'
import { FeedHistory } from '../../JayfallFeedHistory'
import { ReaderSelector, type FeedInstance } from '../../JayfallReaderSelector'

function createChange (key: string, revision: number): TableChange {
  return { key, revision, value: revision }
}

function createInstances (count: number): readonly FeedInstance[] {
  return Array.from({ length: count }, (_, index) => ({ id: `entry-${index}`, zone: 'valdivia', address: `127.0.0.1:${index + 1}` }))
}

/** The selector of an instance of the zone that is not the preferred reader. */
function createFollower (zone: readonly FeedInstance[]): ReaderSelector {
  const views = zone.map(({ id }) => {
    const selector = new ReaderSelector(id, 'valdivia')
    selector.updateInstances(zone)
    return selector
  })
  const follower = views.find(selector => selector.selectReader(0) !== undefined)
  assert.ok(follower !== undefined)
  return follower
}

describe('feeds', () => {
  describe('FeedHistory', () => {
    it('returns the last change of each row after a revision, including removals (guards against removed servers that stay in use)', () => {
      const history = new FeedHistory()
      history.reset(10, 0, 0)
      history.append(10, { changes: [createChange('a', 11), createChange('b', 12)], revision: 12, storeTime: 0 }, 1)
      history.append(12, { changes: [{ key: 'a', revision: 13, value: undefined }], revision: 13, storeTime: 0 }, 2)
      assert.deepEqual(history.changesAfter(11, 2)?.changes, [createChange('b', 12), { key: 'a', revision: 13, value: undefined }])
      assert.equal(history.changesAfter(10, 2)?.revision, 13)
    })

    it('returns nothing for a revision below the kept changes (guards against changes that never reach an instance)', () => {
      const history = new FeedHistory()
      history.reset(10, 0, 0)
      assert.equal(history.changesAfter(9, 0), undefined)
      for (let revision = 11; revision <= 11 + MAXIMUM_HISTORY_ROWS; revision++) history.append(revision - 1, { changes: [createChange(`row-${revision}`, revision)], revision, storeTime: 0 }, 1)
      assert.equal(history.changesAfter(10, 1), undefined)
      assert.equal(history.changesAfter(11, 1)?.changes.length, MAXIMUM_HISTORY_ROWS)
    })

    it('discards its changes when a read continues from a higher revision (guards against a gap between two reads)', () => {
      const history = new FeedHistory()
      history.reset(10, 0, 0)
      history.append(10, { changes: [], revision: 12, storeTime: 0 }, 1)
      history.append(20, { changes: [createChange('a', 21)], revision: 21, storeTime: 0 }, 2)
      assert.equal(history.changesAfter(12, 2), undefined)
      assert.equal(history.changesAfter(20, 2)?.changes.length, 1)
    })

    it('does not return changes that a caller has already read from the store itself (guards against decreasing revisions)', () => {
      const history = new FeedHistory()
      history.reset(10, 0, 0)
      history.append(10, { changes: [createChange('a', 11)], revision: 11, storeTime: 0 }, 1)
      assert.deepEqual(history.changesAfter(15, 1), { changes: [], revision: 15, storeTime: 0, isRelayed: true })
    })
  })

  describe('ReaderSelector', () => {
    it('selects the same reader at all instances of a zone', () => {
      const zone = createInstances(20)
      const readers = zone.map(({ id }) => {
        const selector = new ReaderSelector(id, 'valdivia')
        selector.updateInstances(zone)
        return selector.selectReader(0)?.id ?? id
      })
      assert.equal(new Set(readers).size, 1)
    })

    // Failure: in all four zones of a deployment, the reader was an instance with a link of 10 Mbit/s, although two others had 200 Mbit/s.
    it('prefers instances with a wide link, also after one of them failed (guards against a reader whose link is the bottleneck)', () => {
      const zone = createInstances(18).map((instance, index) => ({ ...instance, link: index < 2 ? 200 : 10 }))
      const readers = zone.map(({ id, link }) => {
        const selector = new ReaderSelector(id, 'valdivia', link)
        selector.updateInstances(zone)
        return selector
      })
      assert.deepEqual(new Set(readers.slice(2).map(selector => selector.selectReader(0)?.id)).size, 1)
      for (const selector of readers.slice(2)) {
        const first = selector.selectReader(0)?.id
        assert.ok(first === 'entry-0' || first === 'entry-1')
        selector.recordReaderFailure(first, 0)
        const second = selector.selectReader(1)?.id
        assert.ok(second !== first && (second === 'entry-0' || second === 'entry-1'))
      }
    })

    it('selects no reader in a zone with few instances', () => {
      const selector = new ReaderSelector('entry-0', 'valdivia')
      selector.updateInstances(createInstances(MINIMUM_SHARING_INSTANCES - 1))
      assert.equal(selector.selectReader(0), undefined)
      assert.equal(selector.isReader(0), false)
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

    it('reads from the store while other instances read from it, and after its own read of the store failed (guards against cycles of readers)', () => {
      const selector = createFollower(createInstances(6))
      selector.recordPeerCall(1000)
      assert.equal(selector.selectReader(1001), undefined)
      assert.ok(selector.selectReader(1000 + READER_ROLE_MILLISECONDS) !== undefined)
      selector.recordOwnFailure(1000 + READER_ROLE_MILLISECONDS)
      assert.equal(selector.selectReader(1001 + READER_ROLE_MILLISECONDS), undefined)
    })
  })

  describe('ChangesServer', () => {
    const request = { tables: { op: 10 }, wait: 0 }

    function createServer (clock: ManualClock): ChangesServer {
      const history = new FeedHistory()
      history.reset(10, 0, clock.monotonic())
      const selector = new ReaderSelector('entry-0', 'valdivia')
      selector.recordPeerCall(clock.monotonic())
      return new ChangesServer(new Map([['op', history]]), selector, clock)
    }

    it('refuses calls after it lost the store instead of passing on old data (guards against a reader that is cut off)', async () => {
      const clock = new ManualClock(1000)
      const server = createServer(clock)
      assert.equal((await server.answer(request)).op.kind, 'changes')
      for (let step = 0; step < 5; step++) {
        clock.advance(MAXIMUM_READ_AGE_MILLISECONDS)
        await server.answer(request)
      }
      assert.deepEqual((await server.answer(request)).op, { kind: 'refused', reason: 'stale' })
    })

    // Failure: the zone's preferred reader reported itself as stale when its first call came during a long poll of its own, and the caller used another reader for 5 s.
    it('does not report a lost store during a long poll that it began before the first call (guards against a second reader at each start)', async () => {
      const clock = new ManualClock(1000)
      const history = new FeedHistory()
      history.reset(10, 0, clock.monotonic())
      const preferred = createInstances(MINIMUM_SHARING_INSTANCES).map(({ id }) => new ReaderSelector(id, 'valdivia')).find(selector => {
        selector.updateInstances(createInstances(MINIMUM_SHARING_INSTANCES))
        return selector.isReader(clock.monotonic())
      })
      assert.ok(preferred !== undefined)
      clock.advance(MAXIMUM_READ_AGE_MILLISECONDS)
      assert.deepEqual((await new ChangesServer(new Map([['op', history]]), preferred, clock).answer(request)).op, { kind: 'refused', reason: 'not_kept' })
    })

    it('refuses a table that it does not follow and still serves the others', async () => {
      const replies = await createServer(new ManualClock(1000)).answer({ ...request, tables: { op: 10, rollouts: 3 } })
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
