import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { type RoutedRequest } from '#jayfall/routing'

import { AttemptBudget } from '../../JayfallAttemptBudget'
import { CLOSED_BREAKER, isPassable, noteDispatch, noteFailure, noteInconclusive } from '../../JayfallBreaker'
import { ConcurrencyWindow } from '../../JayfallConcurrencyWindow'
import { WorkEstimates } from '../../JayfallWorkEstimates'

describe('breaker', () => {
  const limits = { failures: 2, initialMilliseconds: 100, maximumMilliseconds: 300 }
  const opened = noteFailure(noteFailure(CLOSED_BREAKER, 0, limits), 0, limits)

  it('guards against hasty opening: one failure leaves it closed', () => {
    assert.ok(isPassable(noteFailure(CLOSED_BREAKER, 0, limits), 0))
  })

  it('guards against a flood after the pause: one probe at a time', () => {
    assert.ok(!isPassable(opened, 99))
    assert.ok(isPassable(opened, 100))
    assert.ok(!isPassable(noteDispatch(opened), 100))
  })

  it('guards against a server that is never asked again: a cancelled probe makes room for the next', () => {
    assert.ok(isPassable(noteInconclusive(noteDispatch(opened)), 100))
  })

  it('guards against probing a dead server too often: failed probes double the pause up to the limit', () => {
    const twice = noteFailure(noteDispatch(opened), 100, limits)
    assert.equal(twice.openFor, 200)
    assert.equal(noteFailure(noteDispatch(twice), 300, limits).openFor, 300)
  })

  it('guards against long pauses from one burst: failures of attempts sent before the opening do not extend it', () => {
    assert.deepEqual(noteFailure(opened, 50, limits), opened)
  })
})

describe('AttemptBudget', () => {
  it('guards against additional load under overload: it shrinks with the factor, and keeps its reserve', () => {
    const budget = new AttemptBudget(0.1, 10)
    budget.earn(0.2)
    assert.ok(budget.trySpend(1))
    assert.ok(!budget.trySpend(1), 'saved attempts are dropped')
    assert.ok(budget.trySpend())
    assert.ok(!budget.trySpend())
  })
})

describe('ConcurrencyWindow', () => {
  const fill = (window: ConcurrencyWindow): void => { while (window.hasRoom) window.noteOpened() }

  it('guards against overload: it shrinks when every attempt waits', () => {
    const window = new ConcurrencyWindow(100)
    fill(window)
    const before = window.limit
    for (let now = 0; now < 1000; now += 20) window.noteWait(500, now, true)
    assert.ok(window.limit < before * 0.5)
  })

  it('guards against collapse: single waits leave it as it is', () => {
    const window = new ConcurrencyWindow(100)
    fill(window)
    const before = window.limit
    for (let count = 0; count < 50; count++) window.noteWait(count % 4 === 0 ? 0 : 5000, count * 20, true)
    assert.ok(window.limit >= before)
  })

  it('guards against throttled new instances: free slots may be filled at once', () => {
    const window = new ConcurrencyWindow(100)
    window.run(10, 500)
    assert.equal(window.limit, 500)
  })
})

describe('WorkEstimates', () => {
  const request = (promptTokens: number, maximumOutputTokens: number): RoutedRequest => ({
    id: 'r', workspace: 'w', target: { kind: 'version', id: 'v' }, workClass: 'standard', promptTokens, maximumOutputTokens, arrivedAt: 0, deadline: 1, repeatable: true, prefixBlocks: []
  })

  it('guards against short work in the long lane: the prompt tells what the asked maximum does not', () => {
    const estimates = new WorkEstimates()
    for (let count = 0; count < 50; count++) estimates.observe(request(100, 512), 30)
    for (let count = 0; count < 3; count++) {
      estimates.observe(request(900, 2048), 1500)
      estimates.observe(request(100, 2048), 30)
    }
    assert.equal(estimates.estimate(request(1000, 2048)).lane, 'long')
    assert.equal(estimates.estimate(request(120, 2048)).lane, 'short')
  })

  it('guards against estimates above what the caller allows', () => {
    const estimates = new WorkEstimates()
    for (let count = 0; count < 10; count++) estimates.observe(request(100, 100), 100)
    assert.ok(estimates.estimate(request(0, 64)).work <= 64)
  })
})
