import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'

import { createRandomSource, ManualClock } from '#jayfall/shared'
import * as fc from 'fast-check'

import { CallClaims } from '../../JayfallCallClaims'
import { type CallClaim, type CallOutcome, type CallRow, type OpenCall } from '../../JayfallCallRow'
import { CALLS_TABLE, OPEN_CALLS_TABLE } from '../../JayfallLedgerConstants'
import { LedgerError } from '../../JayfallLedgerError'
import { RowCommitter } from '../../JayfallRowCommitter'
import { StoreGate } from '../../JayfallStoreGate'
import { FakeTableStore, type StoreFault } from './JayfallFakeStores'

const OUTCOME: CallOutcome = { status: 200, contentType: 'application/json', body: '{"seat":7}' }

function makeClaim (attempt: string, changes: Partial<CallClaim> = {}): CallClaim {
  return { workspace: 'taller', key: 'student-7', attempt, requestId: `request-${attempt}`, instance: 'entry-1', bodyHash: 'hash', service: 'desk', call: 'enrol', price: 3, claimedAt: 0, ...changes }
}

describe('claims of calls', () => {
  let store: FakeTableStore
  let clock: ManualClock
  let claims: CallClaims

  const makeClaims = () => {
    const gate = new StoreGate(store, clock, createRandomSource(1))
    return new CallClaims(gate, new RowCommitter(gate), clock, createRandomSource(1))
  }
  const stored = (key = 'student-7') => store.peek<CallRow>(CALLS_TABLE, `taller/${key}`)
  const failWith = (...faults: readonly StoreFault[]) => {
    const remainingFaults = [...faults]
    store.faults.nextFault = () => remainingFaults.shift() ?? 'none'
  }
  const retryUntilDone = async () => {
    for (let round = 0; round < 10; round++) {
      clock.advance(10_000)
      await claims.retryPending()
    }
  }

  beforeEach(() => {
    store = new FakeTableStore()
    clock = new ManualClock()
    claims = makeClaims()
  })

  describe('when replies are lost', () => {
    it('recognises its own row (guards against an attempt that is refused because of its own claim)', async () => {
      failWith('lost-after')
      assert.equal((await claims.claim(makeClaim('a'))).kind, 'granted')
    })

    it('rejects a claim without a definite answer and later closes its row (guards against sending without a claim, and against rows that stay open)', async () => {
      failWith('late', 'down')
      await assert.rejects(claims.claim(makeClaim('a')), (error: LedgerError) => error.code === 'store_unavailable')
      store.faults.deliverLateCalls()
      assert.equal(stored()?.state, 'dispatched')
      await retryUntilDone()
      assert.equal(stored()?.state, 'not-run')
      assert.equal(store.peek(OPEN_CALLS_TABLE, 'taller/student-7'), undefined)
      assert.equal((await makeClaims().claim(makeClaim('b'))).kind, 'granted')
    })

    it('cancels a claim that arrives late (guards against a claim that takes effect after the right to send was given up)', async () => {
      failWith('late', 'down')
      await assert.rejects(claims.claim(makeClaim('a')))
      await retryUntilDone()
      store.faults.deliverLateCalls()
      assert.equal(stored()?.state, 'not-run')
    })

    it('cancels a late claim that replaces the not-run row of another attempt (guards against a claim without an owner)', async () => {
      const granted = await claims.claim(makeClaim('a'))
      assert.ok(granted.kind === 'granted')
      await claims.withdraw(makeClaim('a'), granted.revision)
      failWith('none', 'late', 'down')
      await assert.rejects(claims.claim(makeClaim('b')))
      await retryUntilDone()
      store.faults.deliverLateCalls()
      assert.equal(stored()?.state, 'not-run')
    })

    it('writes an outcome once the store is available again (guards against lost outcomes)', async () => {
      const granted = await claims.claim(makeClaim('a'))
      assert.ok(granted.kind === 'granted')
      store.faults.nextFault = () => 'down'
      assert.equal(await claims.complete(makeClaim('a'), granted.revision, OUTCOME), 'deferred')
      store.faults.nextFault = () => 'none'
      await retryUntilDone()
      const row = stored()
      assert.ok(row?.state === 'done')
      assert.deepEqual(row.outcome, OUTCOME)
      assert.deepEqual([row.bill.key, row.bill.amount], ['taller/student-7', 3])
      assert.equal(claims.pendingRows, 0)
    })
  })

  describe('when the row already exists', () => {
    it('returns the recorded outcome (guards against a second run)', async () => {
      const granted = await claims.claim(makeClaim('a'))
      assert.ok(granted.kind === 'granted')
      await claims.complete(makeClaim('a'), granted.revision, OUTCOME)
      const repeated = await claims.claim(makeClaim('b'))
      assert.ok(repeated.kind === 'present' && repeated.row.state === 'done')
    })

    it('rejects a key that was used for another body (guards against answers to another request)', async () => {
      await claims.claim(makeClaim('a'))
      await assert.rejects(claims.claim(makeClaim('b', { bodyHash: 'other' })), (error: LedgerError) => error.code === 'key_reused')
    })

    it('bills nothing for a call that the service refused (guards against charging for refused calls)', async () => {
      const granted = await claims.claim(makeClaim('a'))
      assert.ok(granted.kind === 'granted')
      await claims.complete(makeClaim('a'), granted.revision, { ...OUTCOME, status: 422 })
      const row = stored()
      assert.ok(row?.state === 'done')
      assert.equal(row.bill.amount, 0)
    })
  })

  describe('group commit', () => {
    it('writes concurrent claims in one transaction although one of them conflicts (guards against one conflict that fails all, and against one write for each row)', async () => {
      await makeClaims().claim(makeClaim('other', { key: 'key-3' }))
      const before = store.transactions.length
      const results = await Promise.all(Array.from({ length: 50 }, (_, index) => claims.claim(makeClaim(`a${index}`, { key: `key-${index}` }))))
      assert.deepEqual(results.map(({ kind }, index) => kind === 'present' ? index : -1).filter(index => index >= 0), [3])
      assert.equal(store.transactions.length - before, 1)
    })

    it('grants one of several concurrent claims of a key (guards against two grants within one transaction)', async () => {
      const results = await Promise.all(['a', 'b', 'c'].map(attempt => claims.claim(makeClaim(attempt))))
      assert.deepEqual(results.map(({ kind }) => kind).sort(), ['granted', 'present', 'present'])
    })

    it('divides many claims among transactions of limited size (guards against transactions of unbounded size)', async () => {
      await Promise.all(Array.from({ length: 250 }, (_, index) => claims.claim(makeClaim(`a${index}`, { key: `key-${index}` }))))
      assert.ok(Math.max(...store.transactions) <= 200, `${store.transactions}`)
      assert.equal(store.transactions.length, 3)
    })
  })

  describe('while the store is down', () => {
    it('rejects claims at once and probes at growing intervals (guards against waiting for a store that is known to be down, and against overloading it)', async () => {
      store.faults.nextFault = () => 'down'
      await assert.rejects(claims.claim(makeClaim('a')))
      const calls = store.faults.calls
      for (let index = 0; index < 100; index++) await assert.rejects(claims.claim(makeClaim(`b${index}`)))
      assert.equal(store.faults.calls, calls)
      for (let second = 0; second < 600; second++) {
        clock.advance(1000)
        await claims.retryPending()
      }
      assert.ok(store.faults.calls - calls < 300, `${store.faults.calls - calls} probes in 10 minutes`)
    })
  })

  describe('under any order of faults', () => {
    const fault = fc.constantFrom<StoreFault>('none', 'none', 'none', 'down', 'lost-before', 'lost-after', 'late')
    const action = fc.record({
      instance: fc.integer({ min: 0, max: 2 }),
      /** What the attempt does with a grant. */
      afterGrant: fc.constantFrom('complete', 'die', 'withdraw'),
      isLateDelivered: fc.boolean(),
      isConcurrent: fc.boolean()
    })

    it('sends each key at most once and leaves no open row of a refused attempt (guards against double runs and rows without an owner)', async () => {
      await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 12 }), fc.array(fault, { maxLength: 80 }), async (actions, faults) => {
        store = new FakeTableStore()
        clock = new ManualClock()
        failWith(...faults)
        const instances = [makeClaims(), makeClaims(), makeClaims()]
        const sent: string[] = []
        const refused = new Set<string>()
        const run = async ({ instance, afterGrant }: typeof actions[number], attempt: string) => {
          const result = await instances[instance].claim(makeClaim(attempt)).catch(() => undefined)
          if (result === undefined) refused.add(attempt)
          if (result?.kind !== 'granted') return
          if (afterGrant === 'withdraw') return await instances[instance].withdraw(makeClaim(attempt), result.revision)
          sent.push(attempt)
          if (afterGrant === 'complete') await instances[instance].complete(makeClaim(attempt), result.revision, OUTCOME)
        }
        let runningActions: Promise<void> = Promise.resolve()
        for (const [index, step] of actions.entries()) {
          const action = run(step, `attempt-${index}`)
          runningActions = Promise.all([runningActions, action]).then(() => {})
          if (!step.isConcurrent) await runningActions
          if (step.isLateDelivered) store.faults.deliverLateCalls()
          clock.advance(1000)
          await instances[step.instance].retryPending()
        }
        await runningActions
        store.faults.nextFault = () => 'none'
        for (let round = 0; round < 5; round++) {
          clock.advance(10_000)
          for (const instance of instances) await instance.retryPending()
          store.faults.deliverLateCalls()
        }
        assert.ok(sent.length <= 1, `sent by ${sent.join()}`)
        const row = stored()
        assert.ok(row === undefined || row.state !== 'dispatched' || !refused.has(row.attempt), 'a refused attempt left its row open')
        assert.equal(store.peek<OpenCall>(OPEN_CALLS_TABLE, 'taller/student-7')?.attempt, row?.state === 'dispatched' ? row.attempt : undefined)
      }), { numRuns: 500 })
    })
  })
})
