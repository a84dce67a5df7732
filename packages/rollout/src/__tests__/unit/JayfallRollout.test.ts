import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { RandomSource } from '#jayfall/shared'

import { advanceRollout, createMonitorAfter, createRollout, trafficShareOf, type RolloutRating } from '../../JayfallRollout'
import { FALSE_STOP_PROBABILITY } from '../../JayfallRolloutConstants'
import { evidence, NEW_TEST, observe, initialCapital } from '../../JayfallSequentialTest'
import { advanceMonitor, NEW_MONITOR } from '../../JayfallServiceMonitor'

/** Returns alternating ratings of both versions, one every two seconds; each is good with the given probability. */
function createRatings (random: RandomSource, count: number, newQuality: number, start = 0): readonly RolloutRating[] {
  return Array.from({ length: count }, (_, index) => {
    const isNew = index % 2 === 0
    return { isNew, score: random.chance(isNew ? newQuality : 0.9) ? 1 : 0, answeredAt: start + index * 2000 }
  })
}

describe('the sequential test', () => {
  // Guards against more capital than 1, which would invalidate the error rate.
  it('bets a total capital of at most 1', () => {
    let sum = 0
    for (let begun = 0; begun < 100_000; begun++) sum += initialCapital(begun, 'any-time')
    assert.ok(sum <= 1 && sum > 0.9)
  })

  // Guards against more false stops than `FALSE_STOP_PROBABILITY` states.
  it('stops falsely no more often than stated, at the limit of the hypothesis and evaluated after every observation', () => {
    const random = new RandomSource(7)
    let stops = 0
    for (let run = 0; run < 1000; run++) {
      let state = NEW_TEST
      for (let index = 0; index < 500 && evidence(state) < 1 / FALSE_STOP_PROBABILITY; index++) {
        state = observe(state, { value: random.chance(0.1) ? 0.9 : -0.1, lowest: -0.1, answeredAt: index * 5000 }, 'any-time')
      }
      if (evidence(state) >= 1 / FALSE_STOP_PROBABILITY) stops++
    }
    assert.ok(stops <= 10, `${stops} of 1000`)
  })

  // Guards against a loss of evidence to late ratings of answers from before the change.
  it('keeps its evidence when late ratings of earlier answers arrive', () => {
    const bad = { value: 0.5, lowest: -0.5, answeredAt: 1_000_000 }
    const late = { value: -0.4, lowest: -0.5, answeredAt: 0 }
    let mixed = observe(NEW_TEST, late, 'any-time')
    for (let index = 0; index < 20; index++) mixed = observe(observe(mixed, bad, 'any-time'), late, 'any-time')
    assert.ok(evidence(mixed) > 1 / FALSE_STOP_PROBABILITY)
  })
})

describe('a roll-out', () => {
  it('steps up to all traffic on good ratings, with its state copied through JSON', () => {
    const random = new RandomSource(1)
    let state = createRollout(0)
    for (let now = 0; state.outcome === 'running'; now += 400_000) {
      state = JSON.parse(JSON.stringify(advanceRollout(state, createRatings(random, 200, 0.9, now), { now: now + 400_000, reference: 0.88 })))
      assert.ok(now < 40_000_000)
    }
    assert.equal(trafficShareOf(state), 100)
  })

  // Guards against a bad version that continues.
  it('stops a bad version without a reference too', () => {
    const state = advanceRollout(createRollout(0), createRatings(new RandomSource(2), 1000, 0.5), { now: 0 })
    assert.equal(state.outcome, 'stopped')
    assert.equal(trafficShareOf(state), 0)
  })

  // Guards against the stop of a good version because requests became harder.
  it('does not stop on a change of the workload that affects both versions', () => {
    for (let seed = 0; seed < 50; seed++) {
      const random = new RandomSource(seed)
      const before = createRatings(random, 100, 0.9)
      const harder = createRatings(random, 2000, 0.9, 200_000).map(rating => ({ ...rating, score: rating.score * 0.6 }))
      const state = advanceRollout(createRollout(0), [...before, ...harder], { now: 0, reference: 0.88 })
      assert.notEqual(state.outcome, 'stopped', `seed ${seed}`)
    }
  })

  // Guards against a step on evidence from the previous step.
  it('does not step on answers that were given before the step began', () => {
    const state = advanceRollout({ ...createRollout(0), stepStartedAt: 1e9 }, createRatings(new RandomSource(4), 2000, 0.9), { now: 0 })
    assert.equal(state.step, 0)
  })
})

describe('the monitor of a version in service', () => {
  // Guards against a version that turns bad after long service and stays in service.
  it('finds a version that turns bad after long service', () => {
    const random = new RandomSource(5)
    const scores = (count: number, quality: number, start: number) =>
      Array.from({ length: count }, (_, index) => ({ score: random.chance(quality) ? 1 : 0, answeredAt: start + index * 2000 }))
    const good = advanceMonitor(NEW_MONITOR, scores(3000, 0.9, 0))
    assert.equal(good.isBad, false)
    assert.equal(advanceMonitor(good, scores(100, 0.5, 6_000_000)).isBad, true)
  })

  // Guards against a late stop of a version that turned bad during its last step.
  it('keeps the evidence of the last step of a roll-out', () => {
    const random = new RandomSource(6)
    const bad = Array.from({ length: 60 }, (_, index) => ({ isNew: true, score: random.chance(0.5) ? 1 : 0, answeredAt: index * 2000 }))
    const finished = { ...advanceRollout(createRollout(0), bad.slice(0, 15), { now: 0, reference: 0.88 }), outcome: 'finished' as const }
    const fresh = advanceMonitor({ ...NEW_MONITOR, reference: 0.88 }, bad.slice(15, 40))
    const kept = advanceMonitor(createMonitorAfter(finished, 0.88), bad.slice(15, 40))
    assert.ok(evidence(kept.test) > evidence(fresh.test))
  })
})
