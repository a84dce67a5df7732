/** Tests of rollouts: the share of the new version, the versions of sessions, and the detection of a bad version. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { newVersionShare, type Rollout } from '../../JayfallRolloutSchedule'
import { isBadVersion, sumOutcomeCounts, VersionEvidence, type OutcomeCounts } from '../../JayfallVersionEvidence'
import { VersionPolicy } from '../../JayfallVersionPolicy'

const ROLLOUT: Rollout = { order: { service: 'guide', version: 'v2', period: 20_000, revision: 5 }, startedAt: 0, outcome: 'running' }
const EXPOSURE_SHARE = 0.15

function createPolicy (storeTime: () => number, rollout = ROLLOUT): VersionPolicy {
  const policy = new VersionPolicy({ sessionGap: 5000, exposureShare: EXPOSURE_SHARE }, storeTime)
  policy.setRollouts(new Map([['guide', rollout]]))
  return policy
}

describe('rollouts', () => {
  describe('newVersionShare', () => {
    // A larger share in the canary phase exposes more requests to a bad version than operators allow.
    it('stays below the exposure share in the first half and reaches 1 before the deadline (guards against overexposure to a bad version)', () => {
      for (let time = 0; time <= 10_000; time += 500) assert.ok(newVersionShare(ROLLOUT, time, EXPOSURE_SHARE) < EXPOSURE_SHARE)
      assert.equal(newVersionShare(ROLLOUT, 16_000, EXPOSURE_SHARE), 1)
    })

    // A smaller share would move sessions back that already run on the new version.
    it('never decreases while the rollout runs (guards against sessions that return to the old version)', () => {
      let share = 0
      for (let time = 0; time <= 20_000; time += 100) {
        assert.ok(newVersionShare(ROLLOUT, time, EXPOSURE_SHARE) >= share)
        share = newVersionShare(ROLLOUT, time, EXPOSURE_SHARE)
      }
    })

    it('is 0 after a rollback', () => {
      assert.equal(newVersionShare({ ...ROLLOUT, outcome: 'rolled_back' }, 16_000, EXPOSURE_SHARE), 0)
    })
  })

  describe('sessions', () => {
    it('stay on the old version in the first half, whatever their rendezvous share is', () => {
      const policy = createPolicy(() => 9000)
      for (let index = 0; index < 200; index++) {
        policy.recordRun('guide', `session-${index}`, 'v1', 1000)
        assert.equal(policy.ruleFor('guide', `session-${index}`, 2000).isPreferred('v2'), false)
      }
    })

    it('stay on the new version once they have run on it', () => {
      const policy = createPolicy(() => 1000)
      for (let index = 0; index < 200; index++) {
        policy.recordRun('guide', `session-${index}`, 'v2', 1000)
        assert.equal(policy.ruleFor('guide', `session-${index}`, 2000).isPreferred('v2'), true)
      }
    })

    // Failures of the old servers would move their requests to the new version beyond its share.
    it('of the old version are not retried on the new one (guards against overexposure when old servers fail)', () => {
      const rule = createPolicy(() => 1000).ruleFor('guide', 'session', 1000)
      const stays = rule.isPreferred('v1')
      assert.equal(rule.isAllowed('v2', true), !stays)
    })

    it('leave a version that was rolled back immediately', () => {
      const policy = createPolicy(() => 1000, { ...ROLLOUT, outcome: 'rolled_back' })
      policy.recordRun('guide', 'session', 'v2', 1000)
      const rule = policy.ruleFor('guide', 'session', 1001)
      assert.deepEqual([rule.isPreferred('v2'), rule.isAllowed('v2', false)], [false, false])
    })
  })

  describe('isBadVersion', () => {
    it('detects a version that fails on a single route', () => {
      assert.equal(isBadVersion({ good: [100, 0, 500, 5], failing: [4, 6, 100, 1] }), true)
    })

    // Connection resets affect both versions and say nothing about the new one.
    it('ignores failures that both versions have (guards against rollbacks during network faults)', () => {
      assert.equal(isBadVersion({ route: [20, 8, 200, 80] }), false)
    })

    // A route that fails with any version raises the failure rate of the old version over all routes.
    it('detects failures of the new version beside a route that always fails (guards against a late rollback)', () => {
      assert.equal(isBadVersion({ dead: [0, 1, 0, 40], working: [16, 5, 96, 1] }), true)
    })

    // Without a comparison by route, the larger share looks like a higher failure rate of the new version.
    it('ignores that the new version receives a larger share of a route that always fails (guards against rollbacks of good versions)', () => {
      assert.equal(isBadVersion({ dead: [0, 8, 0, 8], working: [20, 0, 400, 1] }), false)
    })

    it('does not decide on a few failures', () => {
      assert.equal(isBadVersion({ route: [0, 3, 100, 0] }), false)
    })

    // With many instances, each one sees too few failures to decide alone.
    it('sums the counts of several instances (guards against late rollbacks with many instances)', () => {
      const each: OutcomeCounts = { route: [1, 1, 20, 0] }
      assert.equal(isBadVersion(each), false)
      assert.equal(isBadVersion(sumOutcomeCounts([each, each, each, each])), true)
    })

    it('counts answers that are several times slower than those of the old version as failures', () => {
      const evidence = new VersionEvidence()
      for (let count = 0; count < 20; count++) evidence.recordOutcome('route', 'small', false, false, { timeToFirstEvent: 100, meanEventGap: 20 }, count)
      for (let count = 0; count < 6; count++) evidence.recordOutcome('route', 'small', true, false, { timeToFirstEvent: 900, meanEventGap: undefined }, 30)
      assert.equal(isBadVersion(evidence.recentCounts(40)), true)
    })

    // The servers of a good version had no cached prompts yet, and long prompts took 4 times the baseline of shorter, cached ones (scenario good-rollout-restarts, --vary, seed 768672505127).
    it('does not count first events as slow that are late because of long prompts (guards against rollbacks of good versions)', () => {
      const evidence = new VersionEvidence()
      for (let count = 0; count < 20; count++) evidence.recordOutcome('route', 'small', false, false, { timeToFirstEvent: 100, meanEventGap: 20, expectedTimeToFirstEvent: 90 }, count)
      for (let count = 0; count < 6; count++) evidence.recordOutcome('route', 'small', true, false, { timeToFirstEvent: 1400, meanEventGap: undefined, expectedTimeToFirstEvent: 750 }, 30)
      assert.equal(isBadVersion(evidence.recentCounts(40)), false)
      for (let count = 0; count < 6; count++) evidence.recordOutcome('route', 'small', true, false, { timeToFirstEvent: 1400, meanEventGap: undefined, expectedTimeToFirstEvent: 180 }, 50)
      assert.equal(isBadVersion(evidence.recentCounts(60)), true)
    })

    // Queueing dominates the time to the first event under load, so only the event gaps show the slow version.
    it('detects slow events after a timely first event (guards against a slow version that is hidden by queueing times)', () => {
      const evidence = new VersionEvidence()
      for (let count = 0; count < 20; count++) evidence.recordOutcome('route', 'small', false, false, { timeToFirstEvent: 500, meanEventGap: 20 }, count)
      for (let count = 0; count < 6; count++) evidence.recordOutcome('route', 'small', true, false, { timeToFirstEvent: 600, meanEventGap: 160 }, 30)
      assert.equal(isBadVersion(evidence.recentCounts(40)), true)
    })

    // Successes from the start of the rollout would outweigh later failures.
    it('does not count old successes (guards against a version that becomes bad under load)', () => {
      const evidence = new VersionEvidence()
      const timing = { timeToFirstEvent: 100, meanEventGap: undefined }
      for (let time = 0; time < 10_000; time += 100) evidence.recordOutcome('route', undefined, true, false, timing, time)
      for (let time = 0; time < 10_000; time += 20) evidence.recordOutcome('route', undefined, false, false, timing, time)
      for (let time = 18_000; time < 19_000; time += 100) {
        evidence.recordOutcome('route', undefined, true, time % 200 === 0, timing, time)
        evidence.recordOutcome('route', undefined, false, false, timing, time)
      }
      assert.equal(isBadVersion(evidence.recentCounts(19_000)), true)
    })
  })
})
