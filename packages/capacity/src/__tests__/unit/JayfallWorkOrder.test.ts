/** Tests of the priority that engines give to prompts of different lengths and operator priorities. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { WorkOrders, type PromptToRank, type RouteUrgency } from '../../JayfallWorkOrder'

const SERVICE = 'engines'

function rankWith (routes: readonly Omit<RouteUrgency, 'services'>[], prompt: PromptToRank): number {
  const orders = new WorkOrders()
  orders.setRoutes(routes.map(route => ({ ...route, services: [SERVICE] })))
  return orders.of(SERVICE).rank(prompt)
}

/** A less urgent route needs its first events sooner. */
const MIXED_ROUTES = [{ priority: 0, objective: 1000 }, { priority: 1, objective: 2000 }, { priority: 2, objective: 1500 }]
/** The most urgent route has the shortest objectives, up to the time on the way. */
const ORDERED_ROUTES = [{ priority: 0, objective: 2019 }, { priority: 1, objective: 2008 }, { priority: 2, objective: 4010 }]

const PROMPT = { prefillTime: 10, operatorPriority: 2, isResumed: false, isExcess: false }

describe('WorkOrder', () => {
  const enginePriority = (prompt: PromptToRank): number => rankWith(MIXED_ROUTES, prompt)

  describe('of a service whose less urgent routes have shorter objectives', () => {
    // A short prompt that waits for the prefill of a long one misses its objective.
    it('ranks a short prompt before a long one of a more urgent operator priority (guards against short prompts behind long ones)', () => {
      assert.ok(enginePriority(PROMPT) < enginePriority({ ...PROMPT, prefillTime: 1000, operatorPriority: 0 }))
    })

    it('ranks prompts of similar length by operator priority', () => {
      assert.ok(enginePriority({ ...PROMPT, operatorPriority: 0 }) < enginePriority({ ...PROMPT, operatorPriority: 1 }))
    })

    // The caller of a resumed stream notices the wait as a pause between events.
    it('ranks the prompt of a resumed stream before new long prompts (guards against long pauses in streams)', () => {
      assert.ok(enginePriority({ ...PROMPT, prefillTime: 1000, isResumed: true }) < enginePriority({ ...PROMPT, prefillTime: 1000 }))
    })

    it('stays within ten levels for any operator priority', () => {
      assert.equal(enginePriority({ ...PROMPT, prefillTime: 10_000, operatorPriority: 50 }), 8)
      assert.equal(enginePriority({ ...PROMPT, prefillTime: 0, operatorPriority: -1 }), 0)
    })
  })

  describe('of a service whose routes agree with the operators\' priorities', () => {
    const rank = (prompt: Partial<PromptToRank>): number => rankWith(ORDERED_ROUTES, { ...PROMPT, ...prompt })

    it('ranks a long prompt before a short one of a less urgent priority (guards against the most urgent route being served worst because its prompts are long)', () => {
      assert.ok(rank({ operatorPriority: 0, prefillTime: 1000 }) < rank({ operatorPriority: 2, prefillTime: 1 }))
    })

    it('ranks prompts of one priority alike, so that none is interrupted for a shorter one (guards against long prompts that are read again and again)', () => {
      assert.equal(rank({ prefillTime: 1000 }), rank({ prefillTime: 1 }))
    })

    it('ranks resumed streams before others of their priority', () => {
      assert.ok(rank({ isResumed: true }) < rank({}))
    })

    it('ranks what a workspace sends beyond its usual share after others of its priority, and before less urgent ones', () => {
      assert.ok(rank({ operatorPriority: 1 }) < rank({ operatorPriority: 1, isExcess: true }))
      assert.ok(rank({ operatorPriority: 1, isExcess: true }) < rank({ operatorPriority: 2, isResumed: true }))
    })

    it('bounds priorities that are out of range or no numbers', () => {
      assert.deepEqual([-5, NaN, 99].map(operatorPriority => rank({ operatorPriority })), [1, 1, 7])
    })
  })

  it('finds which requests can wait for others: less urgent ones with a longer objective (guards against prompts that miss a short objective because long ones are kept together)', () => {
    const orders = new WorkOrders()
    const waiting = [{ priority: 0, objective: 1008 }, { priority: 1, objective: 1010 }, { priority: 2, objective: 4019 }]
    orders.setRoutes([...waiting.map(route => ({ ...route, services: ['ordered'] })), ...MIXED_ROUTES.map(route => ({ ...route, services: ['mixed'] }))])
    assert.deepEqual(waiting.map(({ priority, objective }) => orders.mayWaitForOthers('ordered', priority, objective)), [false, false, true])
    assert.equal(orders.mayWaitForOthers('ordered', 0, 4019), false)
    assert.equal(orders.mayWaitForOthers('mixed', 2, 10_000), false)
  })

  it('orders a service of a single priority by length, as there is no order to follow', () => {
    assert.ok(rankWith([{ priority: 2, objective: 100 }, { priority: 2, objective: 200 }], { ...PROMPT, prefillTime: 1 }) < rankWith([{ priority: 2, objective: 100 }], { ...PROMPT, prefillTime: 1000 }))
  })
})
