import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import fc from 'fast-check'
import { computeFairLevel, computeFairShares, FairQueueOrder } from '#jayfall/routing'

type Row = Parameters<FairQueueOrder['push']>[0]

function createRow (id: string, workspace: string, work: number): Row {
  return {
    request: {
      id, workspace, target: { kind: 'version', id: 'v' }, workClass: 'standard', promptTokens: 0, maximumOutputTokens: 1, arrivedAt: 0, deadline: 1, repeatable: true, prefixBlocks: []
    },
    pool: 'version/v',
    lane: 'short',
    work,
    tried: [],
    open: [],
    hasFirstToken: false
  }
}

describe('fair shares', () => {
  const demands = fc.array(fc.double({ min: 0, max: 1e6, noNaN: true }), { minLength: 1, maxLength: 20 })
  const capacity = fc.double({ min: 0, max: 1e6, noNaN: true })

  it('guards against overcommitment: shares exceed neither the demand nor the capacity', () => {
    fc.assert(fc.property(capacity, demands, (total, wanted) => {
      const shares = computeFairShares(total, wanted)
      shares.forEach((share, index) => assert.ok(share <= wanted[index] + 1e-6))
      assert.ok(shares.reduce((sum, share) => sum + share, 0) <= total + 1e-3)
    }))
  })

  it('guards against unfairness: who gets less than it asks for gets no less than anybody else', () => {
    fc.assert(fc.property(capacity, demands, (total, wanted) => {
      const shares = computeFairShares(total, wanted)
      const highest = Math.max(...shares)
      shares.forEach((share, index) => assert.ok(share >= wanted[index] - 1e-6 || share >= highest - 1e-3))
    }))
  })

  it('guards against waste: capacity is used up, or every demand is met', () => {
    fc.assert(fc.property(capacity, demands, (total, wanted) => {
      const used = computeFairShares(total, wanted).reduce((sum, share) => sum + share, 0)
      const asked = wanted.reduce((sum, demand) => sum + demand, 0)
      assert.ok(used >= Math.min(total, asked) - 1e-3)
    }))
  })

  it('guards against a level that shuts out newcomers: with room, it is above the largest demand', () => {
    assert.ok(computeFairLevel(100, [10, 20]) >= 20)
  })
})

describe('FairQueueOrder', () => {
  const arrivals = fc.array(fc.record({ workspace: fc.constantFrom('u', 'v', 'w'), work: fc.integer({ min: 1, max: 500 }) }), { maxLength: 60 })

  it('guards against lost and doubled requests: each leaves once, in order of arrival within its workspace', () => {
    fc.assert(fc.property(arrivals, list => {
      const queue = new FairQueueOrder()
      list.forEach(({ workspace, work }, index) => queue.push(createRow(`${index}`, workspace, work)))
      const left: Row[] = []
      for (let row = queue.shift(); row !== undefined; row = queue.shift()) left.push(row)
      assert.equal(left.length, list.length)
      for (const workspace of ['u', 'v', 'w']) {
        const order = left.filter(({ request }) => request.workspace === workspace).map(({ request }) => Number(request.id))
        assert.deepEqual(order, [...order].sort((first, second) => first - second))
      }
    }))
  })

  it('guards against one workspace that takes all: while both wait, their served tokens stay close', () => {
    const work = fc.integer({ min: 1, max: 300 })
    fc.assert(fc.property(fc.array(work, { minLength: 20, maxLength: 60 }), fc.array(work, { minLength: 20, maxLength: 60 }), (first, second) => {
      const queue = new FairQueueOrder()
      first.forEach((size, index) => queue.push(createRow(`u${index}`, 'u', size)))
      second.forEach((size, index) => queue.push(createRow(`v${index}`, 'v', size)))
      const served = { u: 0, v: 0 }
      while (queue.workOf('u') > 0 && queue.workOf('v') > 0) {
        const row = queue.shift()
        if (row !== undefined) served[row.request.workspace as 'u' | 'v'] += row.work
        // Deficit round robin stays within one quantum and one largest request for each side.
        assert.ok(Math.abs(served.u - served.v) <= 2 * (300 + 64), `${served.u} and ${served.v}`)
      }
    }))
  })

  it('guards against wrong waits: the work of a workspace is that of its waiting requests', () => {
    const queue = new FairQueueOrder()
    queue.push(createRow('a', 'u', 10))
    queue.push(createRow('b', 'u', 20))
    assert.equal(queue.workOf('u'), 30)
    assert.equal(queue.remove('a'), true)
    assert.equal(queue.remove('a'), false)
    assert.equal(queue.workOf('u'), 20)
    assert.equal(queue.size, 1)
  })
})
