/** Tests of the planning of attempts for one request. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { planAttempts, type AttemptPlan, type AttemptResult, type AttemptsEnd } from '../../JayfallAttemptPlan'
import { DecisionFixture, fakeFields, fakeRoute, fakeServer, identityOf } from './JayfallDecisionFixture'

const TWO_SERVERS = [fakeServer('a'), fakeServer('b')]

/** Runs a plan with the given results. The last result is repeated. */
function runPlan (fixture: DecisionFixture, route = fakeRoute(), results: readonly AttemptResult[], fields = fakeFields()): { readonly plans: readonly AttemptPlan[], readonly decision: AttemptsEnd } {
  const attempts = planAttempts(fixture.context(route, fields))
  const plans: AttemptPlan[] = []
  let step = attempts.next()
  while (step.done !== true) {
    plans.push(step.value)
    step = attempts.next(results[Math.min(plans.length, results.length) - 1])
  }
  return { plans, decision: step.value }
}

describe('planAttempts', () => {
  describe('with suspected prompts', () => {
    const parts = ['system', 'deadly', 'own'].map(id => ({ id, tokens: 10 }))
    const fields = fakeFields({ promptParts: parts })
    const identity = identityOf(fields)

    it('refuses at once and names the time of the next trial, when nothing was sent', () => {
      const fixture = new DecisionFixture(TWO_SERVERS)
      for (const server of ['a', 'b']) fixture.promptSuspicions.recordCrash(identity, server)
      const { value } = planAttempts(fixture.context(fakeRoute(), fields)).next()
      assert.ok(value !== undefined && 'kind' in value && value.kind === 'refuse' && value.code === 'suspect_prompt' && value.retryAfter > 1000)
    })

    // A request whose answer was lost with a crashed server may have run, and a refusal would say the opposite.
    it('fails when servers have crashed under the request itself (guards against refusals that are not true)', () => {
      const fixture = new DecisionFixture([...TWO_SERVERS, fakeServer('i-3')])
      const attempts = planAttempts(fixture.context(fakeRoute(), fields))
      let step = attempts.next()
      for (let attempt = 0; step.done !== true; attempt++) {
        fixture.promptSuspicions.recordCrash(identity, step.value.server.id)
        step = attempts.next({ kind: 'broken', cause: 'reset' })
        if (attempt === 1) assert.equal(step.done, true, 'two servers crashed')
      }
      assert.deepEqual(step.value, { kind: 'fail', code: 'suspect_prompt' })
    })
  })

  describe('with more work at all servers than there is time', () => {
    const stream = fakeRoute({ isStream: true, objective: 1000 })

    /** Servers that have announced prompts of other instances for so many milliseconds. */
    function busyFixture (milliseconds: number): DecisionFixture {
      const fixture = new DecisionFixture(TWO_SERVERS)
      for (const { id } of TWO_SERVERS) fixture.directory.recordPeerPrefill(id, milliseconds, fixture.clock.monotonic())
      return fixture
    }

    function orderByPriority (fixture: DecisionFixture): DecisionFixture {
      fixture.workOrders.setRoutes([{ services: ['guide'], priority: 0, objective: 1000 }, { services: ['guide'], priority: 1, objective: 2000 }])
      return fixture
    }

    function decideWithin (fixture: DecisionFixture, milliseconds: number, priority = 0): AttemptsEnd | AttemptPlan {
      const context = { ...fixture.context(stream, fakeFields({ model: 'small', promptTokens: 10 })), deadline: fixture.clock.monotonic() + milliseconds, priority }
      return planAttempts(context).next().value
    }

    it('refuses at once, and lets the most urgent callers return first (guards against requests that wait until their deadline passes)', () => {
      const [urgent, late] = [0, 2].map(priority => decideWithin(orderByPriority(busyFixture(800)), 600, priority))
      assert.ok('kind' in urgent && urgent.kind === 'refuse' && urgent.code === 'servers_busy')
      assert.ok('kind' in late && late.kind === 'refuse' && late.retryAfter > urgent.retryAfter)
    })

    it('sends the request when a server of another zone has room (guards against refusals while there is room elsewhere)', () => {
      const fixture = orderByPriority(busyFixture(800))
      fixture.directory.set(fakeServer('c', { zone: 'osorno' }), fixture.clock.monotonic())
      assert.ok('server' in decideWithin(fixture, 600))
    })

    it('sends the request when the work before it ends in time', () => {
      assert.ok('server' in decideWithin(orderByPriority(busyFixture(300)), 600))
    })

    it('sends it in services that are not ordered by priority, where the load of servers is hardly known', () => {
      assert.ok('server' in decideWithin(busyFixture(800), 600))
    })
  })

  describe('for a prompt whose server is held up', () => {
    const STREAM = { isStream: true, objective: 1000, models: ['small', 'large'] }
    const fields = fakeFields({ model: 'small', promptTokens: 10 })

    /** A service ordered by priority, where instances know the load of all servers. */
    function orderedFixture (servers = [...TWO_SERVERS, fakeServer('c')]): DecisionFixture {
      const fixture = new DecisionFixture(servers)
      fixture.workOrders.setRoutes([{ services: ['guide'], priority: 0, objective: 1000 }, { services: ['guide'], priority: 1, objective: 2000 }])
      return fixture
    }

    function firstPlan (fixture: DecisionFixture, route = fakeRoute(STREAM)): AttemptPlan {
      const { value } = planAttempts(fixture.context(route, fields)).next()
      assert.ok(value !== undefined && !('kind' in value))
      return value
    }

    it('moves to another server while that one is expected to answer in time (guards against prompts that wait for one server until they are late)', () => {
      const fixture = orderedFixture()
      const plan = firstPlan(fixture)
      assert.ok(plan.moveCheckWaits.length > 0)
      fixture.clock.advance(400)
      assert.equal(plan.isWorthMoving(), true)
      fixture.clock.advance(500)
      assert.equal(plan.isWorthMoving(), false)
    })

    it('goes on at a server that it has not tried, and counts as a retry', () => {
      const fixture = orderedFixture()
      const { plans, decision } = runPlan(fixture, fakeRoute(STREAM), [{ kind: 'held_up' }, { kind: 'answered' }], fields)
      assert.deepEqual([new Set(plans.map(({ server }) => server.id)).size, decision.kind], [2, 'deliver'])
    })

    it('stays when no retry is left, the route allows no further attempt, or no other server can be used (guards against moves beyond the retry budget)', () => {
      const withoutRetries = orderedFixture()
      const plan = firstPlan(withoutRetries)
      while (withoutRetries.retryBudget.trySpendRetry('guide', withoutRetries.clock.monotonic()));
      assert.equal(plan.isWorthMoving(), false)
      assert.equal(firstPlan(orderedFixture(), fakeRoute({ ...STREAM, maximumAttempts: 1 })).isWorthMoving(), false)
      assert.equal(firstPlan(orderedFixture([fakeServer('a')])).isWorthMoving(), false)
    })

    it('stays in services that are not ordered by priority, and when it may run only once', () => {
      assert.deepEqual(firstPlan(new DecisionFixture(TWO_SERVERS)).moveCheckWaits, [])
      assert.deepEqual(firstPlan(orderedFixture(), fakeRoute({ ...STREAM, isRepeatable: false })).moveCheckWaits, [])
    })
  })

  describe('with a failure of a server at hand', () => {
    it('delivers it when the next server turns the request away or cannot be reached (guards against an error of our own in place of a known answer)', () => {
      for (const result of [{ kind: 'not_run', status: 503 }, { kind: 'unsent', cause: 'refused' }] as const) {
        const { decision } = runPlan(new DecisionFixture(TWO_SERVERS), fakeRoute({ maximumAttempts: 2 }), [{ kind: 'failed', status: 500 }, result])
        assert.deepEqual(decision, { kind: 'deliver' })
      }
    })

    it('fails when a later server may have run the request', () => {
      const { decision } = runPlan(new DecisionFixture(TWO_SERVERS), fakeRoute({ maximumAttempts: 2 }), [{ kind: 'failed', status: 500 }, { kind: 'broken', cause: 'reset' }])
      assert.deepEqual(decision, { kind: 'fail', code: 'answer_lost' })
    })
  })

  describe('with a route that is not repeatable', () => {
    const route = fakeRoute({ isRepeatable: false })

    // A retry could run the request twice, and a refusal would falsely state that it has not run.
    it('fails without a further attempt after an unknown outcome (guards against duplicate execution)', () => {
      for (const result of [{ kind: 'broken', cause: 'reset' }, { kind: 'silent' }] as const) {
        const { plans, decision } = runPlan(new DecisionFixture(TWO_SERVERS), route, [result])
        assert.equal(plans.length, 1)
        assert.deepEqual(decision, { kind: 'fail', code: 'answer_lost' })
      }
    })

    it('tries another server when the request certainly did not run', () => {
      for (const result of [{ kind: 'unsent', cause: 'refused' }, { kind: 'not_run', status: 503 }] as const) {
        const { plans, decision } = runPlan(new DecisionFixture(TWO_SERVERS), route, [result, { kind: 'answered' }])
        assert.deepEqual(new Set(plans.map(({ server }) => server.id)).size, 2)
        assert.deepEqual(decision, { kind: 'deliver' })
      }
    })

    // An answer timeout would end the attempt, and the request could not be sent to another server.
    it('sets no timeout for the answer (guards against ending an attempt while the server works)', () => {
      const { plans } = runPlan(new DecisionFixture(TWO_SERVERS), route, [{ kind: 'answered' }])
      assert.equal(plans[0].answerTimeout, Infinity)
    })
  })

  describe('with a repeatable route', () => {
    it('makes no more attempts than the route allows', () => {
      const servers = ['a', 'b', 'c', 'd', 'e'].map(id => fakeServer(id))
      const { plans, decision } = runPlan(new DecisionFixture(servers), fakeRoute({ maximumAttempts: 3 }), [{ kind: 'broken', cause: 'reset' }])
      assert.equal(plans.length, 3)
      assert.deepEqual(decision, { kind: 'fail', code: 'answer_lost' })
    })

    it('refuses the request when no server ran it', () => {
      const { decision } = runPlan(new DecisionFixture(TWO_SERVERS), fakeRoute(), [{ kind: 'not_run', status: 503 }])
      assert.equal(decision.kind, 'refuse')
    })

    // Unlimited retries multiply the load of servers that already fail.
    it('retries only within the retry budget (guards against retry storms)', () => {
      const fixture = new DecisionFixture(TWO_SERVERS)
      for (let spent = 0; fixture.retryBudget.trySpendRetry('guide', 1000); spent++) assert.ok(spent < 100)
      const { plans } = runPlan(fixture, fakeRoute(), [{ kind: 'broken', cause: 'reset' }])
      assert.equal(plans.length, 1)
    })

    it('refuses the request immediately when there is no server', () => {
      const { plans, decision } = runPlan(new DecisionFixture([]), fakeRoute(), [])
      assert.equal(plans.length, 0)
      assert.equal(decision.kind === 'refuse' && decision.code, 'no_server')
    })
  })

  describe('with a streaming route whose model the router chooses', () => {
    const route = fakeRoute({ isStream: true, models: ['small', 'large'], objective: 2000 })
    const fields = fakeFields({ promptTokens: 1000, maximumOutputTokens: 100 })

    it('asks the largest model after an answer with too little confidence', () => {
      const { plans } = runPlan(new DecisionFixture(TWO_SERVERS), route, [{ kind: 'unsure', confidence: 3 }, { kind: 'answered' }], fields)
      assert.deepEqual(plans.map(({ model }) => model), ['small', 'large'])
    })

    // An answer after the objective helps no caller, and its work delays other requests.
    it('accepts any confidence when the larger model would be late (guards against useless work under peak load)', () => {
      const fixture = new DecisionFixture(TWO_SERVERS)
      const attempts = planAttempts(fixture.context(route, fields))
      const first = attempts.next().value as AttemptPlan
      assert.ok(first.minimumConfidence() > 0)
      for (const { id } of TWO_SERVERS) for (let count = 0; count < 10; count++) fixture.directory.recordFirstEventDelay(id, 4000, fixture.clock.monotonic())
      assert.equal(first.minimumConfidence(), 0)
    })

    it('accepts any confidence when the route allows no further attempt', () => {
      const attempts = planAttempts(new DecisionFixture(TWO_SERVERS).context({ ...route, maximumAttempts: 1 }, fields))
      assert.equal((attempts.next().value as AttemptPlan).minimumConfidence(), 0)
    })

    it('resumes a stream after the last delivered event, with the same model', () => {
      const fixture = new DecisionFixture(TWO_SERVERS)
      const attempts = planAttempts(fixture.context(route, fields))
      attempts.next()
      fixture.lastDeliveredEventId = '7'
      const second = attempts.next({ kind: 'broken', cause: 'reset' }).value as AttemptPlan
      assert.deepEqual([second.resumeAfter, second.model, second.minimumConfidence()], ['7', 'small', 0])
    })
  })
})
