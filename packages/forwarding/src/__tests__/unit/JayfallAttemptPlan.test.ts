/** Tests of the course of one request. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { planAttempts, type AttemptPlan, type AttemptResult, type FinalDecision } from '../../JayfallAttemptPlan'
import { FakeDecisions, fakeFields, fakeRoute, fakeServer } from './JayfallFakes'

const TWO_SERVERS = [fakeServer('a'), fakeServer('b')]

/** Runs a plan with the given results; the last one is repeated. */
function run (decisions: FakeDecisions, route = fakeRoute(), results: readonly AttemptResult[], fields = fakeFields()): { readonly plans: readonly AttemptPlan[], readonly decision: FinalDecision } {
  const attempts = planAttempts(decisions.context(route, fields))
  const plans: AttemptPlan[] = []
  let step = attempts.next()
  while (step.done !== true) {
    plans.push(step.value)
    step = attempts.next(results[Math.min(plans.length, results.length) - 1])
  }
  return { plans, decision: step.value }
}

describe('planAttempts', () => {
  describe('of a request that must run once', () => {
    const route = fakeRoute({ isRepeatable: false })

    it('ends after an unknown outcome, as a failure and not as a refusal (guards against double runs and false promises)', () => {
      for (const result of [{ kind: 'broken', cause: 'reset' }, { kind: 'silent' }] as const) {
        const { plans, decision } = run(new FakeDecisions(TWO_SERVERS), route, [result])
        assert.equal(plans.length, 1)
        assert.deepEqual(decision, { kind: 'fail', code: 'answer_lost' })
      }
    })

    it('goes elsewhere when it certainly did not run', () => {
      for (const result of [{ kind: 'unsent' }, { kind: 'not_run', status: 503 }] as const) {
        const { plans, decision } = run(new FakeDecisions(TWO_SERVERS), route, [result, { kind: 'answered' }])
        assert.deepEqual(new Set(plans.map(({ server }) => server.id)).size, 2)
        assert.deepEqual(decision, { kind: 'deliver' })
      }
    })

    it('never gives a server up for its silence (guards against answers ended while the server works)', () => {
      const { plans } = run(new FakeDecisions(TWO_SERVERS), route, [{ kind: 'answered' }])
      assert.equal(plans[0].answerSilence, Infinity)
    })
  })

  describe('of a repeatable request', () => {
    it('is sent to no more servers than its route allows', () => {
      const servers = ['a', 'b', 'c', 'd', 'e'].map(id => fakeServer(id))
      const { plans, decision } = run(new FakeDecisions(servers), fakeRoute({ maximumAttempts: 3 }), [{ kind: 'broken', cause: 'reset' }])
      assert.equal(plans.length, 3)
      assert.deepEqual(decision, { kind: 'fail', code: 'answer_lost' })
    })

    it('is refused, with a true promise, when no server ran it', () => {
      const { decision } = run(new FakeDecisions(TWO_SERVERS), fakeRoute(), [{ kind: 'not_run', status: 503 }])
      assert.equal(decision.kind, 'refuse')
    })

    it('is repeated only within the budget (guards against floods of repeats)', () => {
      const decisions = new FakeDecisions(TWO_SERVERS)
      for (let spent = 0; decisions.budget.trySpend('guide', 1000); spent++) assert.ok(spent < 100)
      const { plans } = run(decisions, fakeRoute(), [{ kind: 'broken', cause: 'reset' }])
      assert.equal(plans.length, 1)
    })

    it('is refused at once without a server', () => {
      const { plans, decision } = run(new FakeDecisions([]), fakeRoute(), [])
      assert.equal(plans.length, 0)
      assert.equal(decision.kind === 'refuse' && decision.code, 'no_server')
    })
  })

  describe('of a stream whose model the router chooses', () => {
    const route = fakeRoute({ isStream: true, models: ['small', 'large'], objective: 2000 })
    const fields = fakeFields({ promptTokens: 1000, maximumOutputTokens: 100 })

    it('asks the largest model after an unsure answer', () => {
      const { plans } = run(new FakeDecisions(TWO_SERVERS), route, [{ kind: 'unsure', confidence: 3 }, { kind: 'answered' }], fields)
      assert.deepEqual(plans.map(({ model }) => model), ['small', 'large'])
    })

    it('takes any answer when the larger model would be late (guards against work that helps nobody in a crest)', () => {
      const decisions = new FakeDecisions(TWO_SERVERS)
      const attempts = planAttempts(decisions.context(route, fields))
      const first = attempts.next().value as AttemptPlan
      assert.ok(first.minimumConfidence() > 0)
      for (const { id } of TWO_SERVERS) for (let count = 0; count < 10; count++) decisions.directory.noteDelay(id, 4000, decisions.clock.monotonic())
      assert.equal(first.minimumConfidence(), 0)
    })

    it('takes any answer when the route allows no further server', () => {
      const attempts = planAttempts(new FakeDecisions(TWO_SERVERS).context({ ...route, maximumAttempts: 1 }, fields))
      assert.equal((attempts.next().value as AttemptPlan).minimumConfidence(), 0)
    })

    it('goes on after the last event that the caller has, with the same model', () => {
      const decisions = new FakeDecisions(TWO_SERVERS)
      const attempts = planAttempts(decisions.context(route, fields))
      attempts.next()
      decisions.lastDelivered = '7'
      const second = attempts.next({ kind: 'broken', cause: 'reset' }).value as AttemptPlan
      assert.deepEqual([second.resumeAfter, second.model, second.minimumConfidence()], ['7', 'small', 0])
    })
  })
})
