import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'

import { createRandomSource, ManualClock } from '#jayfall/shared'

import { CallClaims } from '../../JayfallCallClaims'
import { CallRecovery, OutcomeLookup, SharedRecoveryRight, type OutcomeAnswer } from '../../JayfallCallRecovery'
import { type CallClaim, type CallOutcome, type CallRow, type OpenCall } from '../../JayfallCallRow'
import { CALLS_TABLE, OPEN_CALLS_TABLE } from '../../JayfallLedgerConstants'
import { RowCommitter } from '../../JayfallRowCommitter'
import { StoreGate } from '../../JayfallStoreGate'
import { FakeTableStore } from './JayfallFakeStores'

const OUTCOME: CallOutcome = { status: 200, contentType: 'application/json', body: '{"seat":7}' }
const CLAIM: CallClaim = { workspace: 'taller', key: 'student-7', attempt: 'a', requestId: 'request-a', instance: 'entry-1', bodyHash: 'hash', service: 'desk', call: 'enrol', price: 3, claimedAt: 0 }

class FakeLookup extends OutcomeLookup {
  answer: OutcomeAnswer = { kind: 'not-known' }

  override async find (): Promise<OutcomeAnswer> {
    return this.answer
  }
}

describe('recovery of calls whose owner ended', () => {
  let store: FakeTableStore
  let clock: ManualClock
  let lookup: FakeLookup
  let claims: CallClaims
  let recoveries: readonly CallRecovery[]
  let revision: number

  const state = () => store.peek<CallRow>(CALLS_TABLE, 'taller/student-7')?.state
  const recoverAfter = async (milliseconds: number) => {
    for (const recovery of recoveries) await recovery.run()
    clock.advance(milliseconds)
    await Promise.all(recoveries.map(recovery => recovery.run()))
  }

  beforeEach(async () => {
    store = new FakeTableStore()
    clock = new ManualClock()
    lookup = new FakeLookup()
    const gate = new StoreGate(store, clock, createRandomSource(1))
    const committer = new RowCommitter(gate)
    claims = new CallClaims(gate, committer, clock, createRandomSource(1))
    recoveries = [1, 2].map(() => new CallRecovery(gate, committer, lookup, new SharedRecoveryRight(), clock))
    const granted = await claims.claim(CLAIM)
    assert.ok(granted.kind === 'granted')
    revision = granted.revision
  })

  it('leaves a recent call to its owner (guards against completing a call whose owner still works on it)', async () => {
    lookup.answer = { kind: 'known', outcome: OUTCOME }
    await recoverAfter(29_000)
    assert.equal(state(), 'dispatched')
  })

  it('asks the service and writes the outcome together with the bill (guards against outcomes that are never recorded)', async () => {
    lookup.answer = { kind: 'known', outcome: OUTCOME }
    await recoverAfter(31_000)
    const row = store.peek<CallRow>(CALLS_TABLE, 'taller/student-7')
    assert.ok(row?.state === 'done')
    assert.equal(row.bill.amount, 3)
    assert.equal(store.peek(OPEN_CALLS_TABLE, 'taller/student-7'), undefined)
  })

  it('marks a request that the service does not know as unknown after 10 minutes, not before (guards against a false not-run)', async () => {
    await recoverAfter(599_000)
    assert.equal(state(), 'dispatched')
    await recoverAfter(2000)
    assert.equal(state(), 'unknown')
    assert.equal(store.peek<OpenCall>(OPEN_CALLS_TABLE, 'taller/student-7')?.state, 'unknown')
  })

  it('waits while a server that may know the request does not answer (guards against giving up too early)', async () => {
    lookup.answer = { kind: 'unreachable' }
    await recoverAfter(3_600_000)
    assert.equal(state(), 'dispatched')
  })

  it('lets a paused owner complete a row that is `unknown` (guards against losing the outcome that the owner knows)', async () => {
    lookup.answer = { kind: 'unsupported' }
    await recoverAfter(31_000)
    assert.equal(state(), 'unknown')
    await claims.complete(CLAIM, revision, OUTCOME)
    assert.equal(state(), 'done')
  })

  it('keeps the outcome that recovery recorded when a paused owner completes the call (guards against a second outcome)', async () => {
    lookup.answer = { kind: 'known', outcome: OUTCOME }
    await recoverAfter(31_000)
    await claims.complete(CLAIM, revision, { ...OUTCOME, body: 'other' })
    const row = store.peek<CallRow>(CALLS_TABLE, 'taller/student-7')
    assert.ok(row?.state === 'done')
    assert.equal(row.outcome.body, OUTCOME.body)
  })
})
