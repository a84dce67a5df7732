import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import fc from 'fast-check'
import { computeFairLevel, computeFairShares, FairRequestQueue } from '#jayfall/routing'

type Row = Parameters<FairRequestQueue['push']>[0]

function createRow (id: string, workspace: string, work: number): Row {
  return {
    request: {
      id, workspace, target: { kind: 'version', id: 'v' }, workClass: 'standard', promptTokens: 0, maximumOutputTokens: 1, arrivedAt: 0, deadline: 1, repeatable: true, prefixBlocks: []
    },
    pool: 'version/v',
    lane: 'short',
    work,
    triedServers: [],
    openAttempts: [],
    hasFirstToken: false
  }
}

describe('fair shares', () => {
  const demands = fc.array(fc.double({ min: 0, max: 1e6, noNaN: true }), { minLength: 1, maxLength: 20 })
  const capacity = fc.double({ min: 0, max: 1e6, noNaN: true })

  // Guards against overcommitment.
  it('gives no share above its demand and no more than the capacity in total', () => {
    fc.assert(fc.property(capacity, demands, (total, wanted) => {
      const shares = computeFairShares(total, wanted)
      shares.forEach((share, index) => assert.ok(share <= wanted[index] + 1e-6))
      assert.ok(shares.reduce((sum, share) => sum + share, 0) <= total + 1e-3)
    }))
  })

  // Guards against unfair shares.
  it('gives a demand that is not met in full no less than any other', () => {
    fc.assert(fc.property(capacity, demands, (total, wanted) => {
      const shares = computeFairShares(total, wanted)
      const highest = Math.max(...shares)
      shares.forEach((share, index) => assert.ok(share >= wanted[index] - 1e-6 || share >= highest - 1e-3))
    }))
  })

  // Guards against unused capacity.
  it('uses up the capacity or meets every demand', () => {
    fc.assert(fc.property(capacity, demands, (total, wanted) => {
      const used = computeFairShares(total, wanted).reduce((sum, share) => sum + share, 0)
      const asked = wanted.reduce((sum, demand) => sum + demand, 0)
      assert.ok(used >= Math.min(total, asked) - 1e-3)
    }))
  })

  // Guards against a level that excludes new workspaces.
  it('returns a level of at least the largest demand when there is spare capacity', () => {
    assert.ok(computeFairLevel(100, [10, 20]) >= 20)
  })
})

describe('FairRequestQueue', () => {
  const arrivals = fc.array(fc.record({ workspace: fc.constantFrom('u', 'v', 'w'), work: fc.integer({ min: 1, max: 500 }) }), { maxLength: 60 })

  // Guards against lost and duplicated requests.
  it('removes each request once, in order of arrival within its workspace', () => {
    fc.assert(fc.property(arrivals, list => {
      const queue = new FairRequestQueue()
      list.forEach(({ workspace, work }, index) => queue.push(createRow(`${index}`, workspace, work)))
      const removed: Row[] = []
      for (let row = queue.shift(); row !== undefined; row = queue.shift()) removed.push(row)
      assert.equal(removed.length, list.length)
      for (const workspace of ['u', 'v', 'w']) {
        const order = removed.filter(({ request }) => request.workspace === workspace).map(({ request }) => Number(request.id))
        assert.deepEqual(order, [...order].sort((first, second) => first - second))
      }
    }))
  })

  // Guards against one workspace that takes all the capacity.
  it('keeps the served tokens of two workspaces close while both wait', () => {
    const work = fc.integer({ min: 1, max: 300 })
    fc.assert(fc.property(fc.array(work, { minLength: 20, maxLength: 60 }), fc.array(work, { minLength: 20, maxLength: 60 }), (first, second) => {
      const queue = new FairRequestQueue()
      first.forEach((size, index) => queue.push(createRow(`u${index}`, 'u', size)))
      second.forEach((size, index) => queue.push(createRow(`v${index}`, 'v', size)))
      const served = { u: 0, v: 0 }
      while (queue.queuedWorkOf('u') > 0 && queue.queuedWorkOf('v') > 0) {
        const row = queue.shift()
        if (row !== undefined) served[row.request.workspace as 'u' | 'v'] += row.work
        // Deficit round robin stays within one quantum and one largest request for each side.
        assert.ok(Math.abs(served.u - served.v) <= 2 * (300 + 64), `${served.u} and ${served.v}`)
      }
    }))
  })

  // Guards against wrong estimates of waits.
  it('counts the work of the waiting requests of a workspace', () => {
    const queue = new FairRequestQueue()
    queue.push(createRow('a', 'u', 10))
    queue.push(createRow('b', 'u', 20))
    assert.equal(queue.queuedWorkOf('u'), 30)
    assert.equal(queue.remove('a'), true)
    assert.equal(queue.remove('a'), false)
    assert.equal(queue.queuedWorkOf('u'), 20)
    assert.equal(queue.size, 1)
  })
})
