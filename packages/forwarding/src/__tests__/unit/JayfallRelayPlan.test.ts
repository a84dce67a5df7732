/** Tests of how a request is brought to servers through another instance, without network I/O. */

import * as assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'

import { type AttemptResult, type FinalDecision, type PlanContext } from '../../JayfallAttemptPlan'
import { decodeRelay, encodeRelay, type RelayHead } from '../../JayfallRelayEnvelope'
import { planRequest, type PlanStep, type RelayResult } from '../../JayfallRelayPlan'
import { DecisionFixture, fakeRoute, fakeServer, SERVICE } from './JayfallDecisionFixture'

const SERVERS = ['a', 'b', 'c', 'd'].map(id => fakeServer(id))
const TARGETS = ['entry-1', 'entry-2', 'entry-3'].map(id => ({ id, zone: 'valdivia', address: `${id}:1` }))
const ONCE = fakeRoute({ isRepeatable: false })

type Result = AttemptResult | RelayResult

/** Runs a plan. The last result is repeated. */
function run (context: PlanContext, results: readonly Result[]): { readonly steps: readonly PlanStep[], readonly decision: FinalDecision } {
  const plan = planRequest(context)
  const steps: PlanStep[] = []
  let step = plan.next()
  while (step.done !== true) {
    steps.push(step.value)
    step = plan.next(results[Math.min(steps.length, results.length) - 1])
  }
  return { steps, decision: step.value }
}

const kindsOf = (steps: readonly PlanStep[]): readonly string[] => steps.map(({ kind }) => kind)
const targetsOf = (steps: readonly PlanStep[]): readonly string[] => steps.flatMap(step => step.kind === 'relay' ? [step.plan.target.id] : [])

describe('planRequest', () => {
  let fixture: DecisionFixture

  beforeEach(() => {
    fixture = new DecisionFixture(SERVERS)
    fixture.relays.setTargets(TARGETS)
  })

  function cut (): void {
    for (const { id } of SERVERS) fixture.reach.recordUnopened(SERVICE, id, SERVERS.length, fixture.clock.monotonic())
  }

  it('sends requests to servers itself while these are in reach', () => {
    assert.deepEqual(kindsOf(run(fixture.context(fakeRoute()), [{ kind: 'answered' }]).steps), ['attempt'])
  })

  it('hands a request to another instance at once while they are not (guards against waits for connections that do not open)', () => {
    cut()
    const { steps, decision } = run(fixture.context(ONCE), [{ kind: 'answered' }])
    assert.deepEqual(kindsOf(steps), ['relay'])
    assert.deepEqual(decision, { kind: 'deliver' })
  })

  it('goes on through another instance when the cut is noticed with the request', () => {
    const plan = planRequest(fixture.context(ONCE))
    let step = plan.next()
    for (let attempt = 0; step.done !== true && step.value.kind === 'attempt'; attempt++) {
      assert.ok(attempt < SERVERS.length)
      fixture.reach.recordUnopened(SERVICE, step.value.plan.server.id, SERVERS.length, fixture.clock.monotonic())
      step = plan.next({ kind: 'unsent', cause: 'refused' })
    }
    assert.ok(step.done !== true && step.value.kind === 'relay' && !step.value.plan.progress.mayHaveRun)
  })

  it('tries another instance when one could not take the request, and refuses it truthfully in the end', () => {
    cut()
    const { steps, decision } = run(fixture.context(ONCE), [{ kind: 'unable', cause: 'unreached' }])
    assert.deepEqual(new Set(targetsOf(steps)).size, TARGETS.length)
    assert.ok(decision.kind === 'refuse' && decision.code === 'unreached' && decision.retryAfter > 0)
  })

  // What became of a request at an instance that falls silent is not known, and a refusal would say that it did not run.
  it('fails a request that must run once when its relay breaks (guards against duplicate execution and false refusals)', () => {
    for (const result of [{ kind: 'broken', cause: 'reset' }, { kind: 'silent' }] as const) {
      fixture = new DecisionFixture(SERVERS)
      fixture.relays.setTargets(TARGETS)
      cut()
      const { steps, decision } = run(fixture.context(ONCE), [result])
      assert.equal(steps.length, 1)
      assert.deepEqual(decision, { kind: 'fail', code: 'answer_lost' })
    }
  })

  it('counts the attempts and retries of the route once, over both instances (guards against more attempts than the route allows)', () => {
    cut()
    const { steps, decision } = run(fixture.context(fakeRoute({ maximumAttempts: 2 })), [{ kind: 'broken', cause: 'reset' }])
    assert.deepEqual(steps.map(step => step.kind === 'relay' ? step.plan.progress.sentAttempts : NaN), [0, 1])
    assert.equal(new Set(targetsOf(steps)).size, 2)
    assert.deepEqual(decision, { kind: 'fail', code: 'answer_lost' })
  })

  it('takes the retry that leads to a relay out of the budget', () => {
    const plan = planRequest(fixture.context(fakeRoute()))
    plan.next()
    cut()
    while (fixture.retryBudget.trySpendRetry(SERVICE, fixture.clock.monotonic()));
    const { value } = plan.next({ kind: 'broken', cause: 'reset' })
    assert.deepEqual(value, { kind: 'fail', code: 'answer_lost' })
  })

  it('passes on how the other instance ended the request, unless an earlier attempt may have run', () => {
    cut()
    const refused: RelayResult = { kind: 'refused', code: 'servers_full', retryAfter: 700 }
    assert.deepEqual(run(fixture.context(ONCE), [refused]).decision, { kind: 'refuse', code: 'servers_full', retryAfter: 700 })
    assert.deepEqual(run(fixture.context(ONCE), [{ kind: 'failed', code: 'timeout' }]).decision, { kind: 'fail', code: 'timeout' })
    const context = { ...fixture.context(ONCE), start: { sentAttempts: 1, mayHaveRun: true, triedServers: ['a'], isRetry: false } }
    assert.deepEqual(run(context, [refused]).decision, { kind: 'fail', code: 'answer_lost' })
  })

  // Two instances that are both cut off would hand a request to each other without end.
  it('never hands on a request that came from another instance (guards against loops)', () => {
    cut()
    const { steps, decision } = run({ ...fixture.context(fakeRoute()), relayedFrom: 'entry-9' }, [])
    assert.equal(steps.length, 0)
    assert.ok(decision.kind === 'refuse' && decision.code === 'unreached')
  })

  it('leaves out the servers that another instance has tried, and continues its count', () => {
    const start = { sentAttempts: 1, mayHaveRun: true, triedServers: ['a', 'b'], isRetry: false }
    const { steps } = run({ ...fixture.context(fakeRoute({ maximumAttempts: 2 })), relayedFrom: 'entry-9', start }, [{ kind: 'broken', cause: 'reset' }])
    assert.equal(steps.length, 1)
    assert.ok(steps[0].kind === 'attempt' && ['c', 'd'].includes(steps[0].plan.server.id))
  })

  it('goes back to the servers when no instance takes a request that returns by degrees', () => {
    cut()
    fixture.reach.recordOpened(SERVICE, fixture.clock.monotonic())
    const { steps, decision } = run(fixture.context(ONCE), [{ kind: 'unable', cause: 'stopping' }, { kind: 'unable', cause: 'stopping' }, { kind: 'unable', cause: 'stopping' }, { kind: 'answered' }])
    assert.equal(steps.at(-1)?.kind, 'attempt')
    assert.deepEqual(decision, { kind: 'deliver' })
  })

  // An instance that reached a few servers refused what these had no room for.
  it('hands on what the servers in reach have no room for, while most others are out of reach (guards against refusals with servers free)', () => {
    for (const id of ['a', 'b', 'c']) for (let failure = 0; failure < 2; failure++) fixture.directory.recordUnreachable(id, fixture.clock.monotonic())
    const { steps } = run(fixture.context(ONCE), [{ kind: 'not_run', status: 503 }, { kind: 'answered' }])
    assert.deepEqual(kindsOf(steps), ['attempt', 'relay'])
    assert.ok(steps[1].kind === 'relay' && !steps[1].plan.progress.mayHaveRun)
  })

  it('refuses what servers in reach have no room for, while all are in reach', () => {
    const { steps, decision } = run(fixture.context(ONCE), [{ kind: 'not_run', status: 503 }])
    assert.ok(steps.every(({ kind }) => kind === 'attempt'))
    assert.ok(decision.kind === 'refuse' && decision.code === 'servers_full')
  })

  it('resumes a stream after the last event that the caller has', () => {
    cut()
    fixture.lastDeliveredEventId = '7'
    const { steps } = run(fixture.context(fakeRoute({ isStream: true })), [{ kind: 'answered' }])
    assert.ok(steps[0].kind === 'relay' && steps[0].plan.resumeAfter === '7')
  })
})

describe('a relayed request', () => {
  const head: RelayHead = {
    from: 'entry-1',
    catalogueVersion: 3,
    requestId: 'r',
    method: 'POST',
    path: '/plain/?a=ü',
    rawHeaders: ['Host', 'taller.example'],
    workspace: { name: 'taller' },
    route: fakeRoute(),
    fields: { promptTokens: 3, maximumOutputTokens: 4, promptParts: [{ id: 'a', tokens: 3 }] },
    service: SERVICE,
    session: 's',
    isSharedSession: false,
    fingerprint: 'request:1',
    age: 5,
    left: 1000,
    sentAttempts: 1,
    triedServers: ['a'],
    mayHaveRun: true
  }

  it('is read as it was written, with any body', () => {
    for (const body of [Buffer.alloc(0), Buffer.from([0, 1, 2, 255])]) assert.deepEqual(decodeRelay(encodeRelay(head, body)), { head, body })
  })

  it('is not read from bytes that are none', () => {
    for (const bytes of [Buffer.alloc(0), Buffer.from('POST'), Buffer.from([0, 0, 0, 2, 0x7b, 0x7d]), Buffer.from([255, 255, 255, 255, 1])]) assert.equal(decodeRelay(bytes), undefined)
  })
})
