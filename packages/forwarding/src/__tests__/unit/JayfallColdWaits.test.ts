/** Tests of requests that wait for a share of a cold server, without network I/O. */

import * as assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'

import { type FinalDecision } from '../../JayfallAttemptPlan'
import { planRequest, type PlanStep } from '../../JayfallRelayPlan'
import { DecisionFixture, fakeFields, fakeRoute, fakeServer, identityOf, SERVICE } from './JayfallDecisionFixture'

const FAILED = { kind: 'failed', status: 500 } as const
const OBJECTIVE = 2000

describe('a request that waits for a cold server', () => {
  let fixture: DecisionFixture

  beforeEach(() => {
    fixture = new DecisionFixture([fakeServer('warm'), fakeServer('cold')])
    fixture.coldServers.setPolicies(new Map([[SERVICE, { duration: 3000, requestsPerSecond: 4 }]]))
    fixture.coldServers.recordReport('cold', SERVICE, 3000)
    useShare()
  })

  function useShare (): void {
    while (fixture.coldServers.maySend('cold')) fixture.coldServers.recordSent('cold')
  }

  function expectStep<Kind extends PlanStep['kind']> (result: IteratorResult<PlanStep, FinalDecision>, kind: Kind): Extract<PlanStep, { readonly kind: Kind }> {
    assert.equal(result.value.kind, kind)
    return result.value as Extract<PlanStep, { readonly kind: Kind }>
  }

  function expectWait (result: IteratorResult<PlanStep, FinalDecision>): void {
    fixture.clock.advance(expectStep(result, 'wait').plan.duration)
  }

  it('gets the failure that a server answered when its objective leaves no time to wait (guards against answers that are replaced by 502)', () => {
    const plan = planRequest(fixture.context(fakeRoute({ objective: 10 })))
    expectStep(plan.next(), 'attempt')
    assert.deepEqual(plan.next(FAILED).value, { kind: 'deliver' })
  })

  it('gets that failure when no server is left after the wait', () => {
    const plan = planRequest(fixture.context(fakeRoute({ objective: OBJECTIVE })))
    expectStep(plan.next(), 'attempt')
    expectWait(plan.next(FAILED))
    fixture.directory.delete('cold')
    assert.deepEqual(plan.next({ kind: 'waited' }).value, { kind: 'deliver' })
  })

  it('does not wait for a retry that the budget does not allow (guards against answers that are held back for nothing)', () => {
    const plan = planRequest(fixture.context(fakeRoute({ objective: OBJECTIVE })))
    expectStep(plan.next(), 'attempt')
    while (fixture.retryBudget.trySpendRetry(SERVICE, fixture.clock.monotonic()));
    assert.deepEqual(plan.next(FAILED).value, { kind: 'deliver' })
  })

  it('remains the trial of a suspicion (guards against a trial that is refused after its wait)', () => {
    const fields = fakeFields({ promptParts: ['system', 'deadly', 'own'].map(id => ({ id, tokens: 10 })) })
    for (const server of ['s1', 's2']) fixture.promptSuspicions.recordCrash(identityOf(fields), server)
    const refusal = planRequest(fixture.context(fakeRoute(), fields)).next().value
    assert.ok(refusal.kind === 'refuse' && refusal.code === 'suspect_prompt')
    fixture.clock.advance(refusal.retryAfter)
    fixture.directory.delete('warm')
    fixture.coldServers.recordReport('cold', SERVICE, 3000)
    useShare()
    const plan = planRequest(fixture.context(fakeRoute({ objective: OBJECTIVE }), fields))
    expectWait(plan.next())
    expectStep(plan.next({ kind: 'waited' }), 'attempt')
  })

  it('waits within the objective of its pauses when a stream breaks late (guards against streams that are cut though they could go on)', () => {
    const plan = planRequest(fixture.context(fakeRoute({ objective: 300, eventGapObjective: OBJECTIVE, isStream: true })))
    expectStep(plan.next(), 'attempt')
    fixture.lastDeliveredEventId = 'e-9'
    fixture.clock.advance(1000)
    useShare()
    expectWait(plan.next({ kind: 'broken', cause: 'reset' }))
    const resumed = expectStep(plan.next({ kind: 'waited' }), 'attempt')
    assert.equal(resumed.plan.resumeAfter, 'e-9')
  })

  it('waits for a stream no longer than that, however often it waits', () => {
    const plan = planRequest(fixture.context(fakeRoute({ objective: 300, eventGapObjective: OBJECTIVE, isStream: true })))
    expectStep(plan.next(), 'attempt')
    fixture.lastDeliveredEventId = 'e-9'
    fixture.clock.advance(1000)
    const brokenAt = fixture.clock.monotonic()
    fixture.coldServers.recordReport('cold', SERVICE, 10_000)
    useShare()
    let step = plan.next({ kind: 'broken', cause: 'reset' })
    while (step.done !== true) {
      expectWait(step)
      useShare()
      step = plan.next({ kind: 'waited' })
    }
    assert.deepEqual(step.value, { kind: 'fail', code: 'answer_lost' })
    assert.ok(fixture.clock.monotonic() - brokenAt <= OBJECTIVE)
  })
})
