/** The kept changes of a table, and who reads for whom; no network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { ManualClock } from '#jayfall/shared'
import { type TableChange } from '#jayfall/store'

import { ChangesServer } from '../../JayfallChangesServer'
import { MAXIMUM_HISTORY_ROWS, MAXIMUM_READING_AGE, MINIMUM_SHARING_INSTANCES, READER_SPAN, READER_SUSPECT_SPAN } from '../../JayfallFeedConstants'
import { FeedHistory } from '../../JayfallFeedHistory'
import { ReaderChoice, type FeedInstance } from '../../JayfallReaderChoice'

function change (key: string, revision: number): TableChange {
  return { key, revision, value: revision }
}

function instances (count: number): readonly FeedInstance[] {
  return Array.from({ length: count }, (_, index) => ({ id: `entry-${index}`, zone: 'valdivia', address: `127.0.0.1:${index + 1}` }))
}

/** The view of an instance of the zone that is not the preferred reader. */
function createFollower (zone: readonly FeedInstance[]): ReaderChoice {
  const views = zone.map(({ id }) => {
    const choice = new ReaderChoice(id, 'valdivia')
    choice.takeInstances(zone)
    return choice
  })
  const follower = views.find(choice => choice.readerAt(0) !== undefined)
  assert.ok(follower !== undefined)
  return follower
}

describe('feeds', () => {
  describe('FeedHistory', () => {
    it('gives the last change of each row after a revision, removals too (guards against removed servers that stay in use)', () => {
      const history = new FeedHistory()
      history.begin(10, 0, 0)
      history.take(10, { changes: [change('a', 11), change('b', 12)], revision: 12, storeTime: 0 }, 1)
      history.take(12, { changes: [{ key: 'a', revision: 13, value: undefined }], revision: 13, storeTime: 0 }, 2)
      assert.deepEqual(history.after(11, 2)?.changes, [change('b', 12), { key: 'a', revision: 13, value: undefined }])
      assert.equal(history.after(10, 2)?.revision, 13)
    })

    it('refuses whoever lacks more than it kept (guards against changes that are missed for good)', () => {
      const history = new FeedHistory()
      history.begin(10, 0, 0)
      assert.equal(history.after(9, 0), undefined)
      for (let revision = 11; revision <= 11 + MAXIMUM_HISTORY_ROWS; revision++) history.take(revision - 1, { changes: [change(`row-${revision}`, revision)], revision, storeTime: 0 }, 1)
      assert.equal(history.after(10, 1), undefined)
      assert.equal(history.after(11, 1)?.changes.length, MAXIMUM_HISTORY_ROWS)
    })

    it('begins anew when its own reader went on elsewhere (guards against a gap between two readings)', () => {
      const history = new FeedHistory()
      history.begin(10, 0, 0)
      history.take(10, { changes: [], revision: 12, storeTime: 0 }, 1)
      history.take(20, { changes: [change('a', 21)], revision: 21, storeTime: 0 }, 2)
      assert.equal(history.after(12, 2), undefined)
      assert.equal(history.after(20, 2)?.changes.length, 1)
    })

    it('does not give what a caller has read from the store itself already (guards against steps back)', () => {
      const history = new FeedHistory()
      history.begin(10, 0, 0)
      history.take(10, { changes: [change('a', 11)], revision: 11, storeTime: 0 }, 1)
      assert.deepEqual(history.after(15, 1), { changes: [], revision: 15, storeTime: 0, isRelayed: true })
    })
  })

  describe('ReaderChoice', () => {
    it('makes all instances of a zone agree on one reader', () => {
      const zone = instances(20)
      const readers = zone.map(({ id }) => {
        const choice = new ReaderChoice(id, 'valdivia')
        choice.takeInstances(zone)
        return choice.readerAt(0)?.id ?? id
      })
      assert.equal(new Set(readers).size, 1)
    })

    // CONFIG and LOST on smritivan-ops-grown: in all four zones the reader was one with a link of 10 Mbit/s, beside two with 200.
    it('prefers instances with a wide link, first and when one of them is gone (guards against a reader whose link is the bottleneck)', () => {
      const zone = instances(18).map((instance, index) => ({ ...instance, link: index < 2 ? 200 : 10 }))
      const readers = zone.map(({ id, link }) => {
        const choice = new ReaderChoice(id, 'valdivia', link)
        choice.takeInstances(zone)
        return choice
      })
      assert.deepEqual(new Set(readers.slice(2).map(choice => choice.readerAt(0)?.id)).size, 1)
      for (const choice of readers.slice(2)) {
        const first = choice.readerAt(0)?.id
        assert.ok(first === 'entry-0' || first === 'entry-1')
        choice.noteReaderFailure(first, 0)
        const second = choice.readerAt(1)?.id
        assert.ok(second !== first && (second === 'entry-0' || second === 'entry-1'))
      }
    })

    it('lets few instances read by themselves', () => {
      const choice = new ReaderChoice('entry-0', 'valdivia')
      choice.takeInstances(instances(MINIMUM_SHARING_INSTANCES - 1))
      assert.equal(choice.readerAt(0), undefined)
      assert.equal(choice.isReader(0), false)
    })

    it('leaves a reader out that did not answer, and comes back to it (guards against a reader that is frozen)', () => {
      const follower = createFollower(instances(6))
      const first = follower.readerAt(0)
      assert.ok(first !== undefined)
      follower.noteReaderFailure(first.id, 100)
      assert.notEqual(follower.readerAt(101)?.id, first.id)
      assert.equal(follower.readerAt(100 + READER_SUSPECT_SPAN)?.id, first.id)
    })

    it('asks a reader that stays away ever less often, until it answers (guards against stalls for an instance that is gone)', () => {
      const follower = createFollower(instances(6))
      const first = follower.readerAt(0)
      assert.ok(first !== undefined)
      follower.noteReaderFailure(first.id, 0)
      follower.noteReaderFailure(first.id, READER_SUSPECT_SPAN)
      assert.notEqual(follower.readerAt(READER_SUSPECT_SPAN * 2)?.id, first.id)
      assert.equal(follower.readerAt(READER_SUSPECT_SPAN * 3)?.id, first.id)
      follower.noteReaderSuccess(first.id)
      follower.noteReaderFailure(first.id, 100_000)
      assert.equal(follower.readerAt(100_000 + READER_SUSPECT_SPAN)?.id, first.id)
    })

    it('reads from the store while others read from it, and when the store failed it (guards against circles of readers)', () => {
      const choice = createFollower(instances(6))
      choice.noteAsked(1000)
      assert.equal(choice.readerAt(1001), undefined)
      assert.ok(choice.readerAt(1000 + READER_SPAN) !== undefined)
      choice.noteOwnFailure(1000 + READER_SPAN)
      assert.equal(choice.readerAt(1001 + READER_SPAN), undefined)
    })
  })

  describe('ChangesServer', () => {
    const request = { tables: { op: 10 }, wait: 0 }

    function serverAt (clock: ManualClock): ChangesServer {
      const history = new FeedHistory()
      history.begin(10, 0, clock.monotonic())
      const choice = new ReaderChoice('entry-0', 'valdivia')
      choice.noteAsked(clock.monotonic())
      return new ChangesServer(new Map([['op', history]]), choice, clock)
    }

    it('says that it lost the store instead of passing on what is old (guards against a reader that is cut off)', async () => {
      const clock = new ManualClock(1000)
      const server = serverAt(clock)
      assert.equal((await server.answer(request)).op.kind, 'changes')
      for (let step = 0; step < 5; step++) {
        clock.advance(MAXIMUM_READING_AGE)
        await server.answer(request)
      }
      assert.deepEqual((await server.answer(request)).op, { kind: 'refused', reason: 'stale' })
    })

    // The zone's preferred reader was called stale, and another one asked for 5 s, whenever it was first asked during a long reading of its own.
    it('does not say so in a reading that it began before it was asked (guards against a second reader at each start)', async () => {
      const clock = new ManualClock(1000)
      const history = new FeedHistory()
      history.begin(10, 0, clock.monotonic())
      const preferred = instances(MINIMUM_SHARING_INSTANCES).map(({ id }) => new ReaderChoice(id, 'valdivia')).find(choice => {
        choice.takeInstances(instances(MINIMUM_SHARING_INSTANCES))
        return choice.isReader(clock.monotonic())
      })
      assert.ok(preferred !== undefined)
      clock.advance(MAXIMUM_READING_AGE)
      assert.deepEqual((await new ChangesServer(new Map([['op', history]]), preferred, clock).answer(request)).op, { kind: 'refused', reason: 'not_kept' })
    })

    it('refuses a table that it does not follow without giving up the others', async () => {
      const replies = await serverAt(new ManualClock(1000)).answer({ ...request, tables: { op: 10, rollouts: 3 } })
      assert.equal(replies.op.kind, 'changes')
      assert.deepEqual(replies.rollouts, { kind: 'refused', reason: 'not_kept' })
    })

    it('sends callers elsewhere once it is stopping', async () => {
      const server = serverAt(new ManualClock(1000))
      server.stop()
      assert.deepEqual((await server.answer(request)).op, { kind: 'refused', reason: 'stale' })
    })
  })
})
