import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import * as fastCheck from 'fast-check'

import { ManualClock } from '#jayfall/shared'

import { Lease } from '../../JayfallLease'
import { PlatformError } from '../../JayfallStoreError'
import { TableStore, type TableRow, type TableWrite } from '../../JayfallTableStore'

const TERM = 15_000

/** A table store in memory whose replies can be lost and whose writes can be held back. */
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

  /** Lets the held-back writes arrive. */
  deliver (): void {
    const arriving = this.heldBack
    this.heldBack = []
    for (const writes of arriving) {
      try {
        this.apply(writes)
      } catch {
        // Nobody waits for the reply any more.
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
  const [first, second] = clocks.map((clock, index) => new Lease(store, clock, { name: 'rollout', holder: `entry-${index}`, term: TERM }))
  const advance = (milliseconds: number): void => clocks.forEach(clock => clock.advance(milliseconds))
  return { store, clocks, first, second, advance }
}

describe('Lease', () => {
  it('guards against two holders: of two candidates one takes the lease, and the other takes it a full term after the last renewal', async () => {
    const { first, second, advance } = createLeases()
    assert.deepEqual(await Promise.all([first.maintain(), second.maintain()]), [true, false])
    for (let round = 0; round < 6; round++) {
      advance(5000)
      assert.equal(await first.maintain(), true)
      assert.equal(await second.maintain(), false)
    }
    advance(TERM - 1)
    assert.equal(await second.maintain(), false)
    advance(1)
    assert.equal(first.remaining, 0)
    assert.equal(await second.maintain(), true)
    assert.equal(second.fencingFor(0), 2)
  })

  it('guards against orders of a paused holder: its term has ended, and it does not take the lease back', async () => {
    const { first, second, advance } = createLeases()
    await first.maintain()
    await second.maintain()
    advance(TERM)
    await second.maintain()
    assert.equal(first.fencingFor(0), undefined)
    assert.equal(await first.maintain(), false)
    assert.equal(first.fencingFor(0), undefined)
    assert.equal(second.fencingFor(TERM - 1), 2)
  })

  it('guards against an order that would end after the term', async () => {
    const { first, advance } = createLeases()
    await first.maintain()
    advance(10_000)
    assert.equal(first.fencingFor(4000), 1)
    assert.equal(first.fencingFor(6000), undefined)
  })

  it('guards against losing the lease with a lost reply', async () => {
    const { store, first, advance } = createLeases()
    store.fault = 'lost-reply'
    assert.equal(await first.maintain(), true)
    advance(5000)
    assert.equal(await first.maintain(), true)
    assert.equal(first.remaining, TERM)
    assert.equal(first.fencingFor(0), 1)
  })

  it('guards against a longer term than others grant: a write that takes effect late counts from when it was sent', async () => {
    const { store, first, advance } = createLeases()
    store.fault = 'held-back'
    assert.equal(await first.maintain(), false)
    advance(5000)
    store.deliver()
    store.fault = 'none'
    await first.maintain()
    // The row was seen as its own by the read, and the write after it renewed it.
    assert.equal(first.remaining, TERM)
    advance(5000)
    store.fault = 'held-back'
    await first.maintain()
    assert.equal(first.remaining, TERM - 5000)
    store.deliver()
    advance(5000)
    store.fault = 'none'
    await first.maintain()
    assert.equal(first.remaining, TERM - 5000)
  })

  it('guards against a holder that goes on while the store is down', async () => {
    const { store, first, advance } = createLeases()
    await first.maintain()
    store.fault = 'down'
    advance(TERM)
    await assert.rejects(first.maintain())
    assert.equal(first.remaining, 0)
  })

  it('guards against a fencing number that repeats after a release', async () => {
    const { first, second, advance } = createLeases()
    await first.maintain()
    await second.maintain()
    await first.release()
    assert.equal(first.remaining, 0)
    assert.equal(await second.maintain(), true)
    assert.equal(second.fencingFor(0), 2)
    advance(TERM)
    await first.maintain()
    advance(TERM)
    assert.equal(await first.maintain(), true)
    assert.equal(first.fencingFor(0), 3)
  })

  it('guards against two holders under any order of pauses, lost replies and held-back writes', async () => {
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
