import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { createRandomSource } from '#jayfall/shared'
import fc from 'fast-check'

import { allocate } from '../../JayfallAllocation'
import { FakeCluster, workspaceEntry } from './JayfallFakeCluster'

const LIMIT = 1000
const WINDOW_SECONDS = 5

/** What each instance is asked for, in requests per second. */
type Pattern = (second: number, index: number, count: number) => number

/** Runs `seconds` and returns the admitted requests per second, all instances together. */
async function admit (cluster: FakeCluster, seconds: number, pattern: Pattern): Promise<readonly number[]> {
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

function worstWindow (admitted: readonly number[]): number {
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

/** Each instance's demand jumps at times of its own between nothing, little and far too much. */
function createJumps (seed: number, count: number, seconds: number): Pattern {
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

const SURGES: Readonly<Record<string, Pattern>> = {
  'all start at once': second => second < 20 ? 0 : 2 * LIMIT,
  'one is busy, then all the others start': (second, index) => index === 0 || second > 30 ? 2 * LIMIT : 0,
  'the busy one changes': (second, index, count) => Math.floor(second / 10) % count === index ? 2 * LIMIT : 0,
  'all but one are at their floors': (_, index, count) => index === 0 ? 10 * LIMIT : LIMIT / count / 2
}

describe('limit shares', () => {
  describe('allocation', () => {
    const rules = { floor: 0.5, reserve: 0.25 }
    const demands = fc.array(fc.record({ true: fc.double({ min: 0, max: 10, noNaN: true }), known: fc.double({ min: 0, max: 10, noNaN: true }) }), { minLength: 1, maxLength: 30 })

    it('guards against overshoot by views that differ: demands known at least as high as counted admit at most 1 + floor − reserve', () => {
      fc.assert(fc.property(demands, list => {
        // Each counts for itself at most what the others know.
        const counted = list.map(one => Math.min(one.true, one.known))
        const sum = list.reduce((total, one, self) => {
          const participants = list.map((other, index) => ({ demand: index === self ? counted[self] : other.known, size: 1 }))
          return total + Math.min(one.true, allocate(participants, self, rules))
        }, 0)
        assert.ok(sum <= 1 + rules.floor - rules.reserve + 1e-9, String(sum))
      }))
    })

    it('guards against starved or idle participants: each has its floor, and equal demands split the limit equally', () => {
      fc.assert(fc.property(demands, list => {
        const participants = list.map(one => ({ demand: one.true, size: 1 }))
        participants.forEach((_, self) => assert.ok(allocate(participants, self, rules) >= rules.floor / list.length - 1e-9))
        const equal = list.map(() => ({ demand: 1, size: 1 }))
        assert.ok(Math.abs(allocate(equal, 0, rules) - 1 / list.length) < 1e-9)
      }))
    })
  })

  describe('of connected zones', () => {
    const layouts: readonly Readonly<Record<string, number>>[] = [{ a: 9 }, { a: 3, b: 3, c: 3 }, { a: 12, b: 4 }]
    for (const zones of layouts) {
      for (const [name, pattern] of Object.entries(SURGES)) {
        it(`guards against more than 1.25 of the limit in 5 s: ${name}, zones ${JSON.stringify(zones)}`, async () => {
          const cluster = await startCluster(1, zones)
          const worst = worstWindow(await admit(cluster, 70, pattern))
          assert.ok(worst <= 1.25, `${worst}`)
        })
      }
      for (const seed of [1, 2, 3]) {
        it(`guards against more than 1.25 of the limit in 5 s: random jumps (seed ${seed}), zones ${JSON.stringify(zones)}`, async () => {
          const cluster = await startCluster(seed, zones)
          const worst = worstWindow(await admit(cluster, 120, createJumps(seed, cluster.all.length, 120)))
          assert.ok(worst <= 1.25, `${worst}`)
        })
      }
    }

    it('guards against a limit that is not used: steady demand above the limit is admitted up to it', async () => {
      const cluster = await startCluster(1, { a: 3, b: 3 })
      const admitted = await admit(cluster, 300, () => 300)
      for (const value of admitted.slice(-10)) assert.ok(Math.abs(value / LIMIT - 1) < 0.1, String(value))
    })

    it('guards against refusals when all start at once: demand that rises everywhere to 6 times keeps 0.7 of the limit', async () => {
      const cluster = await startCluster(1, { a: 3, b: 3, c: 3 })
      const admitted = await admit(cluster, 360, second => (second < 300 ? 1 : 6) * LIMIT / 9 / 3)
      const surge = admitted.slice(300)
      assert.ok(Math.min(...surge) >= 0.7 * LIMIT, `${Math.min(...surge)}`)
    })
  })

  describe('after a quiet time', () => {
    it('guards against refusals below the limit: 0.8 of it that starts everywhere at once is admitted whole', async () => {
      const cluster = await startCluster(1, { a: 3, b: 2 })
      const admitted = await admit(cluster, 60, second => second < 20 ? 0 : 0.8 * LIMIT / 5)
      for (const value of admitted.slice(20)) assert.ok(Math.abs(value - 0.8 * LIMIT) < 1e-6, String(value))
    })
  })

  describe('of partitioned zones', () => {
    for (const seed of [1, 2, 3]) {
      it(`guards against more than 2 times the limit in 5 s (seed ${seed})`, async () => {
        const cluster = await startCluster(seed, { a: 3, b: 3, c: 3 })
        const jumps = createJumps(seed, 9, 240)
        const before = await admit(cluster, 30, jumps)
        cluster.cutZones.add('a').add('b').add('c')
        const cut = await admit(cluster, 150, (second, ...rest) => jumps(second + 30, ...rest))
        cluster.cutZones.clear()
        const healed = await admit(cluster, 60, (second, ...rest) => jumps(second + 180, ...rest))
        const worst = worstWindow([...before, ...cut, ...healed])
        assert.ok(worst <= 2, `${worst}`)
      })
    }
  })
})
