/** Tests of leases with two candidates on different clocks and a table store with faults. */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import * as fastCheck from 'fast-check'

import { ManualClock } from '#jayfall/shared'

import { Lease } from '../../JayfallLease'
import { PlatformError } from '../../JayfallPlatformError'
import { TableStore, type TableRow, type TableWrite } from '../../JayfallTableStore'

const TERM_MILLISECONDS = 15_000

/** A table store in memory whose replies can be lost and whose writes can be delayed. */
class FakeTableStore extends TableStore {
  private readonly rows = new Map<string, TableRow>()
  private revision = 0
  fault: 'none' | 'lost-reply' | 'held-back' | 'down' = 'none'
  private heldBack: readonly (readonly TableWrite[])[] = []

  override async transact (writes: readonly TableWrite[]): Promise<readonly number[]> {
    if (this.fault === 'down') throw new PlatformError('unavailable', 'down')
    if (this.fault === 'held-back') {
      this.heldBack = [...this.heldBack, writes]
      throw new PlatformError('outcome_unknown', 'no reply')
    }
    const revisions = this.apply(writes)
    if (this.fault === 'lost-reply') throw new PlatformError('outcome_unknown', 'no reply')
    return revisions
  }

  /** Applies the delayed writes. */
  deliver (): void {
    const arriving = this.heldBack
    this.heldBack = []
    for (const writes of arriving) {
      try {
        this.apply(writes)
      } catch {
        // No caller waits for the reply any more.
      }
    }
  }

  override async read<Value> (_table: string, key: string): Promise<TableRow<Value> | undefined> {
    if (this.fault === 'down') throw new PlatformError('unavailable', 'down')
    return this.rows.get(key) as TableRow<Value> | undefined
  }

  override async list<Value> (): Promise<readonly TableRow<Value>[]> {
    return []
  }

  private apply (writes: readonly TableWrite[]): readonly number[] {
    return writes.map(({ key, value, ifRevision }) => {
      const row = this.rows.get(key)
      if ((row?.revision ?? 0) !== ifRevision) {
        throw new PlatformError('conflict', 'conflict', undefined, { conflicts: [{ key, revision: row?.revision ?? 0, value: row?.value ?? null }] })
      }
      this.revision++
      this.rows.set(key, { key, value, revision: this.revision })
      return this.revision
    })
  }
}

function createLeases () {
  const store = new FakeTableStore()
  const clocks = [new ManualClock(100), new ManualClock(900_000)]
  const [first, second] = clocks.map((clock, index) => new Lease(store, clock, { name: 'rollout', holder: `entry-${index}`, term: TERM_MILLISECONDS }))
  const advance = (milliseconds: number): void => clocks.forEach(clock => clock.advance(milliseconds))
  return { store, clocks, first, second, advance }
}

describe('Lease', () => {
  it('is acquired by one of two candidates, and by the other a full term after the last renewal', async () => {
    const { first, second, advance } = createLeases()
    assert.deepEqual(await Promise.all([first.maintain(), second.maintain()]), [true, false])
    for (let round = 0; round < 6; round++) {
      advance(5000)
      assert.equal(await first.maintain(), true)
      assert.equal(await second.maintain(), false)
    }
    advance(TERM_MILLISECONDS - 1)
    assert.equal(await second.maintain(), false)
    advance(1)
    assert.equal(first.remaining, 0)
    assert.equal(await second.maintain(), true)
    assert.equal(second.fencingFor(0), 2)
  })

  it('ends for a paused holder, which does not acquire it again from its successor (guards against actions of a paused holder)', async () => {
    const { first, second, advance } = createLeases()
    await first.maintain()
    await second.maintain()
    advance(TERM_MILLISECONDS)
    await second.maintain()
    assert.equal(first.fencingFor(0), undefined)
    assert.equal(await first.maintain(), false)
    assert.equal(first.fencingFor(0), undefined)
    assert.equal(second.fencingFor(TERM_MILLISECONDS - 1), 2)
  })

  it('returns no fencing number for an action that would end after the term', async () => {
    const { first, advance } = createLeases()
    await first.maintain()
    advance(10_000)
    assert.equal(first.fencingFor(4000), 1)
    assert.equal(first.fencingFor(6000), undefined)
  })

  it('is kept when the reply to a write is lost', async () => {
    const { store, first, advance } = createLeases()
    store.fault = 'lost-reply'
    assert.equal(await first.maintain(), true)
    advance(5000)
    assert.equal(await first.maintain(), true)
    assert.equal(first.remaining, TERM_MILLISECONDS)
    assert.equal(first.fencingFor(0), 1)
  })

  it('counts the term of a write that takes effect late from the time of its sending (guards against a longer term than candidates assume)', async () => {
    const { store, first, advance } = createLeases()
    store.fault = 'held-back'
    assert.equal(await first.maintain(), false)
    advance(5000)
    store.deliver()
    store.fault = 'none'
    await first.maintain()
    // The read recognised the row as the own one, and the following write renewed the lease.
    assert.equal(first.remaining, TERM_MILLISECONDS)
    advance(5000)
    store.fault = 'held-back'
    await first.maintain()
    assert.equal(first.remaining, TERM_MILLISECONDS - 5000)
    store.deliver()
    advance(5000)
    store.fault = 'none'
    await first.maintain()
    assert.equal(first.remaining, TERM_MILLISECONDS - 5000)
  })

  it('ends after its term while the store is down', async () => {
    const { store, first, advance } = createLeases()
    await first.maintain()
    store.fault = 'down'
    advance(TERM_MILLISECONDS)
    await assert.rejects(first.maintain())
    assert.equal(first.remaining, 0)
  })

  it('has a higher fencing number for each holder, also after a release', async () => {
    const { first, second, advance } = createLeases()
    await first.maintain()
    await second.maintain()
    await first.release()
    assert.equal(first.remaining, 0)
    assert.equal(await second.maintain(), true)
    assert.equal(second.fencingFor(0), 2)
    advance(TERM_MILLISECONDS)
    await first.maintain()
    advance(TERM_MILLISECONDS)
    assert.equal(await first.maintain(), true)
    assert.equal(first.fencingFor(0), 3)
  })

  it('has at most one holder in any order of pauses, lost replies and delayed writes', async () => {
    const step = fastCheck.oneof(
      fastCheck.record({ kind: fastCheck.constant('maintain' as const), lease: fastCheck.integer({ min: 0, max: 1 }), fault: fastCheck.constantFrom('none' as const, 'lost-reply' as const, 'held-back' as const, 'down' as const) }),
      fastCheck.record({ kind: fastCheck.constant('advance' as const), milliseconds: fastCheck.integer({ min: 1, max: 20_000 }) }),
      fastCheck.record({ kind: fastCheck.constant('deliver' as const) })
    )
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(step, { maxLength: 60 }), async steps => {
      const { store, first, second, advance } = createLeases()
      for (const next of steps) {
        if (next.kind === 'advance') advance(next.milliseconds)
        else if (next.kind === 'deliver') store.deliver()
        else {
          store.fault = next.fault
          await [first, second][next.lease].maintain().catch(() => false)
        }
        assert.ok(first.remaining === 0 || second.remaining === 0)
        assert.ok(first.fencingFor(0) === undefined || first.fencingFor(0) !== second.fencingFor(0))
      }
    }), { numRuns: 500, seed: 1 })
  })
})
