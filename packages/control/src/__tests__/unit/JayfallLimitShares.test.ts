/** Tests of the limit shares: the shares of all instances together, in a simulated cluster and as properties of the allocation. */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { createRandomSource } from '#jayfall/shared'
import fc from 'fast-check'

import { allocate } from '../../JayfallAllocation'
import { FakeCluster, workspaceEntry } from './JayfallFakeCluster'

/** Limit of the workspace in requests per second. */
const LIMIT = 1000
/** Length of the sliding window over which admitted requests are compared with the limit. */
const WINDOW_SECONDS = 5

/** The demand on each instance, in requests per second. */
type DemandPattern = (second: number, index: number, count: number) => number

/** Runs the cluster for `seconds` and returns the requests that all instances together admit in each second. */
async function runWithDemand (cluster: FakeCluster, seconds: number, pattern: DemandPattern): Promise<readonly number[]> {
  const admitted: number[] = []
  for (let second = 0; second < seconds; second++) {
    let sum = 0
    for (const [index, { node }] of cluster.all.entries()) {
      const demand = pattern(second, index, cluster.all.length)
      node.demandMeter.count('w', { requests: demand, tokens: demand * 100 })
      const share = node.updateShares().find(({ workspace }) => workspace === 'w')?.requestsPerSecond ?? 0
      sum += Math.min(demand, share)
    }
    admitted.push(sum)
    await cluster.run(1000)
  }
  return admitted
}

/** The highest mean rate of admitted requests in any window, as a multiple of the limit. */
function highestWindowRatio (admitted: readonly number[]): number {
  const windows = admitted.slice(WINDOW_SECONDS - 1).map((_, start) => admitted.slice(start, start + WINDOW_SECONDS))
  return Math.max(...windows.map(window => window.reduce((sum, value) => sum + value, 0) / WINDOW_SECONDS)) / LIMIT
}

async function startCluster (seed: number, zones: Readonly<Record<string, number>>): Promise<FakeCluster> {
  const cluster = new FakeCluster(seed, zones)
  cluster.store.accept(workspaceEntry('w', LIMIT))
  await Promise.all(cluster.all.map(({ service }) => service.join()))
  await cluster.run(15_000)
  return cluster
}

/** The demand on each instance changes at random times between zero, fractions of its equal share, the limit, and 10 times the limit. */
function createJumpingDemand (seed: number, count: number, seconds: number): DemandPattern {
  const random = createRandomSource(seed)
  const levels = Array.from({ length: count }, () => {
    const list: number[] = []
    for (let level = 0; list.length < seconds;) {
      level = random.pick([0, LIMIT / count / 4, LIMIT / count / 2, LIMIT, 10 * LIMIT]) ?? 0
      for (let kept = random.integer(1, 25); kept > 0; kept--) list.push(level)
    }
    return list
  })
  return (second, index) => levels[index][second]
}

const DEMAND_PATTERNS: Readonly<Record<string, DemandPattern>> = {
  'demand starts on all instances at the same time': second => second < 20 ? 0 : 2 * LIMIT,
  'demand starts on one instance and later on all others': (second, index) => index === 0 || second > 30 ? 2 * LIMIT : 0,
  'demand moves from instance to instance': (second, index, count) => Math.floor(second / 10) % count === index ? 2 * LIMIT : 0,
  'all instances but one demand their guaranteed share': (_, index, count) => index === 0 ? 10 * LIMIT : LIMIT / count / 2
}

describe('limit shares', () => {
  describe('allocation', () => {
    const rules = { floor: 0.5, reserve: 0.25 }
    const demands = fc.array(fc.record({ true: fc.double({ min: 0, max: 10, noNaN: true }), known: fc.double({ min: 0, max: 10, noNaN: true }) }), { minLength: 1, maxLength: 30 })

    it('admits at most 1 + floor − reserve of the limit when the others know each demand at least as high as its participant counts it (guards against overshoot by diverging views)', () => {
      fc.assert(fc.property(demands, list => {
        // Each participant counts its own demand at most as high as the others know it.
        const counted = list.map(one => Math.min(one.true, one.known))
        const sum = list.reduce((total, one, self) => {
          const participants = list.map((other, index) => ({ demand: index === self ? counted[self] : other.known, size: 1 }))
          return total + Math.min(one.true, allocate(participants, self, rules))
        }, 0)
        assert.ok(sum <= 1 + rules.floor - rules.reserve + 1e-9, String(sum))
      }))
    })

    it('grants each participant its floor, and divides the limit equally between equal demands (guards against starvation and unused limits)', () => {
      fc.assert(fc.property(demands, list => {
        const participants = list.map(one => ({ demand: one.true, size: 1 }))
        participants.forEach((_, self) => assert.ok(allocate(participants, self, rules) >= rules.floor / list.length - 1e-9))
        const equal = list.map(() => ({ demand: 1, size: 1 }))
        assert.ok(Math.abs(allocate(equal, 0, rules) - 1 / list.length) < 1e-9)
      }))
    })
  })

  describe('with connected zones', () => {
    const layouts: readonly Readonly<Record<string, number>>[] = [{ a: 9 }, { a: 3, b: 3, c: 3 }, { a: 12, b: 4 }]
    for (const zones of layouts) {
      for (const [name, pattern] of Object.entries(DEMAND_PATTERNS)) {
        it(`admit at most 1.25 of the limit in 5 s: ${name}, zones ${JSON.stringify(zones)}`, async () => {
          const cluster = await startCluster(1, zones)
          const worst = highestWindowRatio(await runWithDemand(cluster, 70, pattern))
          assert.ok(worst <= 1.25, `${worst}`)
        })
      }
      for (const seed of [1, 2, 3]) {
        it(`admit at most 1.25 of the limit in 5 s: random changes of demand (seed ${seed}), zones ${JSON.stringify(zones)}`, async () => {
          const cluster = await startCluster(seed, zones)
          const worst = highestWindowRatio(await runWithDemand(cluster, 120, createJumpingDemand(seed, cluster.all.length, 120)))
          assert.ok(worst <= 1.25, `${worst}`)
        })
      }
    }

    it('admit steady demand above the limit up to the limit (guards against an unused limit)', async () => {
      const cluster = await startCluster(1, { a: 3, b: 3 })
      const admitted = await runWithDemand(cluster, 300, () => 300)
      for (const value of admitted.slice(-10)) assert.ok(Math.abs(value / LIMIT - 1) < 0.1, String(value))
    })

    it('admit at least 0.7 of the limit while demand rises everywhere to 6 times (guards against refusals during a common surge)', async () => {
      const cluster = await startCluster(1, { a: 3, b: 3, c: 3 })
      const admitted = await runWithDemand(cluster, 360, second => (second < 300 ? 1 : 6) * LIMIT / 9 / 3)
      const surge = admitted.slice(300)
      assert.ok(Math.min(...surge) >= 0.7 * LIMIT, `${Math.min(...surge)}`)
    })
  })

  describe('after a period without demand', () => {
    it('admit a demand of 0.8 of the limit completely when it starts everywhere at the same time (guards against refusals below the limit)', async () => {
      const cluster = await startCluster(1, { a: 3, b: 2 })
      const admitted = await runWithDemand(cluster, 60, second => second < 20 ? 0 : 0.8 * LIMIT / 5)
      for (const value of admitted.slice(20)) assert.ok(Math.abs(value - 0.8 * LIMIT) < 1e-6, String(value))
    })
  })

  describe('with partitioned zones', () => {
    for (const seed of [1, 2, 3]) {
      it(`admit at most 2 times the limit in 5 s (seed ${seed})`, async () => {
        const cluster = await startCluster(seed, { a: 3, b: 3, c: 3 })
        const jumps = createJumpingDemand(seed, 9, 240)
        const before = await runWithDemand(cluster, 30, jumps)
        cluster.isolatedZones.add('a').add('b').add('c')
        const cut = await runWithDemand(cluster, 150, (second, ...rest) => jumps(second + 30, ...rest))
        cluster.isolatedZones.clear()
        const healed = await runWithDemand(cluster, 60, (second, ...rest) => jumps(second + 180, ...rest))
        const worst = highestWindowRatio([...before, ...cut, ...healed])
        assert.ok(worst <= 2, `${worst}`)
      })
    }
  })
})
