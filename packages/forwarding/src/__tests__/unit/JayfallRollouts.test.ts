/** Tests of rollouts: shares, sessions, and the verdict on a version. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { newVersionShare, type Rollout } from '../../JayfallRolloutPlan'
import { isBadVersion, sumEvidence, VersionEvidence, type EvidenceCounts } from '../../JayfallVersionEvidence'
import { VersionPolicy } from '../../JayfallVersionPolicy'

const ROLLOUT: Rollout = { order: { service: 'guide', version: 'v2', period: 20_000, revision: 5 }, startedAt: 0, outcome: 'running' }
const EXPOSURE = 0.15

function policyAt (storeTime: () => number, rollout = ROLLOUT): VersionPolicy {
  const policy = new VersionPolicy({ sessionGap: 5000, exposureShare: EXPOSURE }, storeTime)
  policy.setRollouts(new Map([['guide', rollout]]))
  return policy
}

describe('rollouts', () => {
  describe('newVersionShare', () => {
    it('keeps to the exposure in the first half, and ends with everything before the deadline (guards against exposure to a bad version)', () => {
      for (let time = 0; time <= 10_000; time += 500) assert.ok(newVersionShare(ROLLOUT, time, EXPOSURE) < EXPOSURE)
      assert.equal(newVersionShare(ROLLOUT, 16_000, EXPOSURE), 1)
    })

    it('never shrinks while the rollout runs (guards against sessions that go back)', () => {
      let share = 0
      for (let time = 0; time <= 20_000; time += 100) {
        assert.ok(newVersionShare(ROLLOUT, time, EXPOSURE) >= share)
        share = newVersionShare(ROLLOUT, time, EXPOSURE)
      }
    })

    it('is nothing after a roll-back', () => {
      assert.equal(newVersionShare({ ...ROLLOUT, outcome: 'rolled_back' }, 16_000, EXPOSURE), 0)
    })
  })

  describe('sessions', () => {
    it('stay on the old version in the first half, whatever their place in the shares', () => {
      const policy = policyAt(() => 9000)
      for (let index = 0; index < 200; index++) {
        policy.noteRun('guide', `session-${index}`, 'v1', 1000)
        assert.equal(policy.ruleFor('guide', `session-${index}`, 2000).prefers('v2'), false)
      }
    })

    it('stay on the new version once they ran there', () => {
      const policy = policyAt(() => 1000)
      for (let index = 0; index < 200; index++) {
        policy.noteRun('guide', `session-${index}`, 'v2', 1000)
        assert.equal(policy.ruleFor('guide', `session-${index}`, 2000).prefers('v2'), true)
      }
    })

    it('of the old version are not repeated on the new one (guards against exposure by failures of the old servers)', () => {
      const rule = policyAt(() => 1000).ruleFor('guide', 'session', 1000)
      const stays = rule.prefers('v1')
      assert.equal(rule.allows('v2', true), !stays)
    })

    it('leave a version that was rolled back at once', () => {
      const policy = policyAt(() => 1000, { ...ROLLOUT, outcome: 'rolled_back' })
      policy.noteRun('guide', 'session', 'v2', 1000)
      const rule = policy.ruleFor('guide', 'session', 1001)
      assert.deepEqual([rule.prefers('v2'), rule.allows('v2', false)], [false, false])
    })
  })

  describe('isBadVersion', () => {
    it('finds a version that fails on one route only', () => {
      assert.equal(isBadVersion({ good: [100, 0, 500, 5], failing: [4, 6, 100, 1] }), true)
    })

    it('does not blame a version for troubles that both have (guards against roll-backs in a storm of resets)', () => {
      assert.equal(isBadVersion({ route: [20, 8, 200, 80] }), false)
    })

    it('sees failures of the new version beside a route that always fails (guards against a verdict that comes too late)', () => {
      assert.equal(isBadVersion({ dead: [0, 1, 0, 40], working: [16, 5, 96, 1] }), true)
    })

    it('does not blame the new version for getting more of a route that always fails (guards against roll-backs of good versions)', () => {
      assert.equal(isBadVersion({ dead: [0, 8, 0, 8], working: [20, 0, 400, 1] }), false)
    })

    it('passes no verdict on a few failures', () => {
      assert.equal(isBadVersion({ route: [0, 3, 100, 0] }), false)
    })

    it('sums what several instances saw (guards against verdicts that take too long with many instances)', () => {
      const each: EvidenceCounts = { route: [1, 1, 20, 0] }
      assert.equal(isBadVersion(each), false)
      assert.equal(isBadVersion(sumEvidence([each, each, each, each])), true)
    })

    it('counts answers that are several times slower than those of the old version as failures', () => {
      const evidence = new VersionEvidence()
      for (let count = 0; count < 20; count++) evidence.noteOutcome('route', 'small', false, false, { firstEvent: 100, pause: 20 }, count)
      for (let count = 0; count < 6; count++) evidence.noteOutcome('route', 'small', true, false, { firstEvent: 900, pause: undefined }, 30)
      assert.equal(isBadVersion(evidence.recent(40)), true)
    })

    // A good version was rolled back in a hunted day (good-rollout-restarts, --vary, seed 768672505127): its servers held no prompts yet, and long ones took 4 times the usual time of shorter, held ones.
    it('does not count first events as slow that were late because of long prompts (guards against roll-backs of good versions)', () => {
      const evidence = new VersionEvidence()
      for (let count = 0; count < 20; count++) evidence.noteOutcome('route', 'small', false, false, { firstEvent: 100, pause: 20, expected: 90 }, count)
      for (let count = 0; count < 6; count++) evidence.noteOutcome('route', 'small', true, false, { firstEvent: 1400, pause: undefined, expected: 750 }, 30)
      assert.equal(isBadVersion(evidence.recent(40)), false)
      for (let count = 0; count < 6; count++) evidence.noteOutcome('route', 'small', true, false, { firstEvent: 1400, pause: undefined, expected: 180 }, 50)
      assert.equal(isBadVersion(evidence.recent(60)), true)
    })

    it('finds slow events behind a first event in time (guards against a slow version that hides in waiting times)', () => {
      const evidence = new VersionEvidence()
      for (let count = 0; count < 20; count++) evidence.noteOutcome('route', 'small', false, false, { firstEvent: 500, pause: 20 }, count)
      for (let count = 0; count < 6; count++) evidence.noteOutcome('route', 'small', true, false, { firstEvent: 600, pause: 160 }, 30)
      assert.equal(isBadVersion(evidence.recent(40)), true)
    })

    it('is not blinded by good answers of long ago (guards against a version that turns bad under load)', () => {
      const evidence = new VersionEvidence()
      const pace = { firstEvent: 100, pause: undefined }
      for (let time = 0; time < 10_000; time += 100) evidence.noteOutcome('route', undefined, true, false, pace, time)
      for (let time = 0; time < 10_000; time += 20) evidence.noteOutcome('route', undefined, false, false, pace, time)
      for (let time = 18_000; time < 19_000; time += 100) {
        evidence.noteOutcome('route', undefined, true, time % 200 === 0, pace, time)
        evidence.noteOutcome('route', undefined, false, false, pace, time)
      }
      assert.equal(isBadVersion(evidence.recent(19_000)), true)
    })
  })
})
