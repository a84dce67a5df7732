/** Tests of which requests of a workspace count as a flood, with arrivals drawn at random. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { RandomSource } from '#jayfall/shared'

import { WorkspaceShares } from '../../JayfallWorkspaceShares'

interface Phase {
  readonly seconds: number
  readonly requestsPerSecond: number
}

/** Plays phases of one workspace and returns the share of excess requests in the last one. */
function playLast (phases: readonly Phase[]): number {
  const [random, shares] = [new RandomSource(1), new WorkspaceShares()]
  let [now, share] = [0, 0]
  for (const { seconds, requestsPerSecond } of phases) {
    const end = now + seconds * 1000
    let [all, excess] = [0, 0]
    for (now += random.exponential(1000 / requestsPerSecond); now < end; now += random.exponential(1000 / requestsPerSecond)) {
      all++
      if (shares.record('engines', 'w', random.uniform(), now)) excess++
    }
    share = excess / all
    now = end
  }
  return share
}

describe('WorkspaceShares', () => {
  for (const requestsPerSecond of [0.3, 2, 50]) {
    it(`take the usual ${requestsPerSecond} requests a second for no flood, whatever their number`, () => {
      assert.ok(playLast([{ seconds: 60, requestsPerSecond }]) <= 0.02)
    })
  }

  it('take a rise by a half for no flood', () => {
    assert.ok(playLast([{ seconds: 60, requestsPerSecond: 10 }, { seconds: 10, requestsPerSecond: 15 }]) <= 0.05)
  })

  it('find most of a flood of eight times the usual requests from its third second on (guards against one workspace taking the room of all)', () => {
    const excess = playLast([{ seconds: 60, requestsPerSecond: 5 }, { seconds: 3, requestsPerSecond: 40 }, { seconds: 5, requestsPerSecond: 40 }])
    assert.ok(excess >= 0.5 && excess <= 0.85, String(excess))
  })

  it('let a workspace send its usual requests again after a flood', () => {
    assert.ok(playLast([{ seconds: 60, requestsPerSecond: 5 }, { seconds: 8, requestsPerSecond: 40 }, { seconds: 10, requestsPerSecond: 5 }]) <= 0.1)
  })
})
