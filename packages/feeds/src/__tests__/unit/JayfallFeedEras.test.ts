/** Tests of what readers pass on after the store came back from a copy, without a network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import fastCheck from 'fast-check'

import { ManualClock } from '#jayfall/shared'
import { isAfter, type TableChange, type TableChanges, type TablePosition } from '#jayfall/store'

import { ChangesServer } from '../../JayfallChangesServer'
import { FeedHistory } from '../../JayfallFeedHistory'
import { encodeTableNotice, ReaderNotices } from '../../JayfallFeedNotice'
import { FeedSubscribers } from '../../JayfallFeedSubscribers'
import { DEFAULT_FEED_LIMITS, deriveFeedTimings } from '../../JayfallFeedTimings'
import { at, createChange, createReading } from './JayfallFeedFixture'

/** A history that knows rows `a` and `b`, and of era 1 all up to revision 20. */
function createHistory (): FeedHistory {
  const history = new FeedHistory()
  history.replace(createReading(at(10), [createChange('a', 5), createChange('b', 6)]), 0)
  history.append(at(10), createReading(at(20), [createChange('b', 15), createChange('c', 16)]), 1)
  return history
}

/** A store with one table that can come back from a copy. */
class ModelStore {
  rows: ReadonlyMap<string, TableChange> = new Map()
  position = at(1)
  private copies: readonly { readonly rows: ReadonlyMap<string, TableChange>, readonly revision: number }[] = []

  write (key: string, value: unknown): void {
    this.copies = [...this.copies, { rows: this.rows, revision: this.position.revision }]
    this.position = { ...this.position, revision: this.position.revision + 1 }
    this.rows = new Map([...this.rows].filter(([other]) => other !== key)).set(key, { key, value, position: this.position })
  }

  /** Loses the last `count` writes. */
  restore (count: number): void {
    const kept = Math.max(0, this.copies.length - count)
    const copy = this.copies[kept]
    this.copies = this.copies.slice(0, kept)
    const era = this.position.era + 1
    this.position = { era, revision: copy?.revision ?? this.position.revision }
    if (copy !== undefined) this.rows = copy.rows
    this.rows = new Map([...this.rows].map(([key, change]) => [key, { ...change, position: { era, revision: change.position.revision } }]))
  }

  get snapshot (): TableChanges {
    return createReading(this.position, [...this.rows.values()].filter(({ value }) => value !== undefined))
  }

  changesAfter (after: TablePosition): TableChanges {
    return createReading(this.position, [...this.rows.values()].filter(({ position }) => isAfter(position, after)))
  }

  get values (): ReadonlyMap<string, unknown> {
    return new Map(this.snapshot.changes.map(({ key, value }) => [key, value] as const).sort())
  }
}

/** An instance that follows the table from the store. */
class ModelInstance {
  readonly history = new FeedHistory()
  private readonly rows = new Map<string, unknown>()
  position: TablePosition

  constructor (store: ModelStore) {
    this.position = store.position
    this.history.replace(store.snapshot, 0)
    this.apply(store.snapshot)
  }

  readFrom (store: ModelStore): void {
    if (store.position.era === this.position.era) this.history.append(this.position, store.changesAfter(this.position), 0)
    else this.history.replace(store.snapshot, 0)
    this.readFromHistory(this.history)
  }

  /** Returns whether the other instance could serve this one. */
  readThrough ({ history }: ModelInstance): boolean {
    if (history.completePosition.era < this.position.era) return false
    const reading = history.changesAfter(this.position, 0)
    if (reading === undefined) return false
    this.history.append(this.position, reading, 0)
    this.apply(reading)
    return true
  }

  get values (): ReadonlyMap<string, unknown> {
    return new Map([...this.rows].sort())
  }

  private readFromHistory (history: FeedHistory): void {
    const reading = history.changesAfter(this.position, 0)
    assert.ok(reading !== undefined)
    this.apply(reading)
  }

  private apply ({ changes, position }: TableChanges): void {
    for (const { key, value } of changes) {
      if (value === undefined) this.rows.delete(key)
      else this.rows.set(key, value)
    }
    this.position = position
  }
}

describe('eras of the store', () => {
  describe('FeedHistory', () => {
    // Failure: numbers of two numberings were compared, and an instance missed every row up to the number that it had reached.
    it('passes on the rows that differ in a new era, whatever their revisions are (guards against rows that are missing after the store came back from a copy)', () => {
      const history = createHistory()
      history.replace(createReading(at(19, 2), [createChange('a', 5, 5, 2), createChange('b', 6, 6, 2), createChange('d', 18, 'new', 2)]), 2)
      assert.deepEqual(history.changesAfter(at(20), 2)?.changes, [createChange('b', 6, 6, 2), createChange('d', 18, 'new', 2), { key: 'c', position: at(19, 2), value: undefined }])
      assert.deepEqual(history.changesAfter(at(20), 2)?.position, at(19, 2))
    })

    // Failure: soak seed 3 in CI. A reader knew a version from before the copy and read it again unchanged; its notice said that nothing had changed since, and an instance that had come to the era before the version was written again never got it.
    it('does not say that nothing has changed to an instance that came to the new era earlier (guards against a version that is not in force after the store came back from a copy)', () => {
      const history = createHistory()
      history.replace(createReading(at(30, 2), [createChange('a', 5, 5, 2), createChange('b', 28, 15, 2), createChange('c', 29, 16, 2)]), 2)
      assert.ok(isAfter(history.changedPosition, at(27, 2)))
      assert.equal(history.changesAfter(at(27, 2), 2), undefined)
    })

    it('passes on a row whose revision was given out again for another value', () => {
      const history = createHistory()
      history.replace(createReading(at(20, 2), [createChange('a', 5, 5, 2), createChange('b', 15, 'other', 2), createChange('c', 16, 16, 2)]), 2)
      assert.deepEqual(history.changesAfter(at(20), 2)?.changes, [createChange('b', 15, 'other', 2)])
    })

    it('refuses a caller that knew more of the era before (guards against lost rows that stay in force)', () => {
      const history = createHistory()
      history.replace(createReading(at(25, 2), [createChange('a', 5, 5, 2)]), 2)
      assert.equal(history.changesAfter(at(21), 2), undefined)
      assert.notEqual(history.changesAfter(at(20), 2), undefined)
    })

    it('ignores a reading of an earlier era (guards against rows that return after they were replaced)', () => {
      const history = createHistory()
      history.replace(createReading(at(12, 2), [createChange('a', 5, 5, 2)]), 2)
      history.append(at(20), createReading(at(30), [createChange('a', 30)]), 3)
      history.replace(createReading(at(40), [createChange('a', 40)]), 4)
      assert.deepEqual(history.completePosition, at(12, 2))
    })

    it('leads every instance that it serves to the rows of the store, over any number of eras', () => {
      const action = fastCheck.oneof(
        fastCheck.record({ kind: fastCheck.constant('write' as const), key: fastCheck.constantFrom('a', 'b', 'c', 'd'), value: fastCheck.constantFrom(undefined, 1, 2, 3) }),
        fastCheck.record({ kind: fastCheck.constantFrom('restore' as const, 'read' as const, 'relay' as const), count: fastCheck.nat(4) })
      )
      fastCheck.assert(fastCheck.property(fastCheck.array(action, { maxLength: 40 }), actions => {
        const store = new ModelStore()
        store.write('a', 0)
        const instances = Array.from({ length: 5 }, () => new ModelInstance(store))
        for (const step of actions) {
          if (step.kind === 'write') store.write(step.key, step.value)
          else if (step.kind === 'restore') store.restore(step.count)
          else if (step.kind === 'read') instances[step.count].readFrom(store)
          else instances[step.count].readThrough(instances[(step.count + 1) % instances.length])
        }
        const [root, ...others] = instances
        root.readFrom(store)
        assert.deepEqual(root.values, store.values)
        for (const other of others) if (other.readThrough(root)) assert.deepEqual(other.values, store.values)
      }), { numRuns: 500 })
    })
  })

  describe('ChangesServer', () => {
    it('does not answer from an era that has ended (guards against instances that follow a reader back)', async () => {
      const clock = new ManualClock(1)
      const history = createHistory()
      let toldEra = 0
      const server: ChangesServer = new ChangesServer({
        histories: new Map([['op', history]]),
        subscribers: new FeedSubscribers(),
        timingsOf: () => deriveFeedTimings(DEFAULT_FEED_LIMITS),
        link: undefined,
        clock,
        readRows: () => Promise.reject(new Error('no store')),
        refresh: era => {
          toldEra = era
          history.replace(createReading(at(12, 2), [createChange('a', 5, 5, 2)]), clock.monotonic())
          server.notifyOfReading()
        }
      })
      const { op } = await server.answer({ tables: { op: at(20) }, wait: 0, latestEra: 2, acceptsRows: false })
      assert.equal(toldEra, 2)
      assert.ok(op.kind === 'changes' && op.reading.era === 2)
    })
  })

  describe('ReaderNotices', () => {
    it('keep a notice of a new era with a lower revision (guards against a reader that seems to fall behind)', () => {
      const notices = new ReaderNotices()
      for (const position of [at(20), at(12, 2), at(21)]) notices.recordNotice({ feed: 'notice', reader: 'reader', storeTime: 0, tables: { op: encodeTableNotice(position, position, 0) } }, 0)
      assert.deepEqual(notices.get('reader', 'op')?.complete, at(12, 2))
    })
  })
})
