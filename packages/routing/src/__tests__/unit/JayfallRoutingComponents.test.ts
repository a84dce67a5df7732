import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { type RoutedRequest } from '#jayfall/routing'

import { AttemptBudget } from '../../JayfallAttemptBudget'
import { CLOSED_BREAKER, mayDispatch, recordDispatch, recordFailure, recordInconclusive } from '../../JayfallBreaker'
import { ConcurrencyWindow } from '../../JayfallConcurrencyWindow'
import { WorkEstimates } from '../../JayfallWorkEstimates'

describe('breaker', () => {
  const limits = { failures: 2, initialOpenMilliseconds: 100, maximumOpenMilliseconds: 300 }
  const opened = recordFailure(recordFailure(CLOSED_BREAKER, 0, limits), 0, limits)

  // Guards against a breaker that opens too early.
  it('stays closed after one failure', () => {
    assert.ok(mayDispatch(recordFailure(CLOSED_BREAKER, 0, limits), 0))
  })

  // Guards against a burst of attempts when the opening ends.
  it('lets one probe at a time through after the opening', () => {
    assert.ok(!mayDispatch(opened, 99))
    assert.ok(mayDispatch(opened, 100))
    assert.ok(!mayDispatch(recordDispatch(opened), 100))
  })

  // Guards against a server that never gets an attempt again.
  it('lets another probe through after a cancelled one', () => {
    assert.ok(mayDispatch(recordInconclusive(recordDispatch(opened)), 100))
  })

  // Guards against frequent probes of a dead server.
  it('doubles the opening at each failed probe, up to the limit', () => {
    const reopened = recordFailure(recordDispatch(opened), 100, limits)
    assert.equal(reopened.openDuration, 200)
    assert.equal(recordFailure(recordDispatch(reopened), 300, limits).openDuration, 300)
  })

  // Guards against a long opening after one burst of failures.
  it('does not extend the opening on failures of attempts that were sent before it', () => {
    assert.deepEqual(recordFailure(opened, 50, limits), opened)
  })
})

describe('AttemptBudget', () => {
  // Guards against additional load under overload.
  it('shrinks with the factor and keeps its reserve', () => {
    const budget = new AttemptBudget(0.1, 10)
    budget.recordSuccess(0.2)
    assert.ok(budget.trySpend(1))
    assert.ok(!budget.trySpend(1), 'saved attempts are dropped')
    assert.ok(budget.trySpend())
    assert.ok(!budget.trySpend())
  })
})

describe('ConcurrencyWindow', () => {
  const fill = (window: ConcurrencyWindow): void => { while (window.hasCapacity) window.recordOpened() }

  // Guards against the overload of the servers.
  it('shrinks when every attempt waits', () => {
    const window = new ConcurrencyWindow(100)
    fill(window)
    const before = window.limit
    for (let now = 0; now < 1000; now += 20) window.recordWait(500, now, true)
    assert.ok(window.limit < before * 0.5)
  })

  // Guards against the collapse of the window on single waits.
  it('does not shrink while some attempts do not wait', () => {
    const window = new ConcurrencyWindow(100)
    fill(window)
    const before = window.limit
    for (let count = 0; count < 50; count++) window.recordWait(count % 4 === 0 ? 0 : 5000, count * 20, true)
    assert.ok(window.limit >= before)
  })

  // Guards against new instances that limit themselves while the pool has capacity.
  it('allows the free slots to be filled at once', () => {
    const window = new ConcurrencyWindow(100)
    window.update(10, 500)
    assert.equal(window.limit, 500)
  })
})

describe('WorkEstimates', () => {
  const request = (promptTokens: number, maximumOutputTokens: number): RoutedRequest => ({
    id: 'r', workspace: 'w', target: { kind: 'version', id: 'v' }, workClass: 'standard', promptTokens, maximumOutputTokens, arrivedAt: 0, deadline: 1, repeatable: true, prefixBlocks: []
  })

  // Guards against short work in the long lane.
  it('distinguishes long from short work by the prompt when the requested maximum is the same', () => {
    const estimates = new WorkEstimates()
    for (let count = 0; count < 50; count++) estimates.observe(request(100, 512), 30)
    for (let count = 0; count < 3; count++) {
      estimates.observe(request(900, 2048), 1500)
      estimates.observe(request(100, 2048), 30)
    }
    assert.equal(estimates.estimate(request(1000, 2048)).lane, 'long')
    assert.equal(estimates.estimate(request(120, 2048)).lane, 'short')
  })

  // Guards against estimates above the maximum that the caller asked for.
  it('estimates no more output than the caller allows', () => {
    const estimates = new WorkEstimates()
    for (let count = 0; count < 10; count++) estimates.observe(request(100, 100), 100)
    assert.ok(estimates.estimate(request(0, 64)).work <= 64)
  })
})
