/** Tests of rollouts: the share of the new version, the versions of sessions, and the detection of a bad version. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { EVENT_GAP_SAMPLE_EVENTS } from '../../JayfallForwardingConstants'
import { newVersionShare, type Rollout } from '../../JayfallRolloutSchedule'
import { VersionEvidence } from '../../JayfallVersionEvidence'
import { VersionObservation } from '../../JayfallVersionObservation'
import { VersionPolicy } from '../../JayfallVersionPolicy'
import { isBadVersion, sumVersionCounts, type CountsByRoute, type VersionCounts } from '../../JayfallVersionVerdict'

const ROLLOUT: Rollout = { order: { service: 'guide', version: 'v2', period: 20_000, position: { era: 1, revision: 5 } }, startedAt: 0, outcome: 'running' }
const EXPOSURE_SHARE = 0.15

function createPolicy (storeTime: () => number, rollout = ROLLOUT): VersionPolicy {
  const policy = new VersionPolicy({ sessionGap: 5000, exposureShare: EXPOSURE_SHARE }, storeTime)
  policy.setRollouts(new Map([['guide', rollout]]))
  return policy
}

interface ObservedTimes {
  readonly isNew: boolean
  readonly hasFailed?: boolean
  readonly timeToFirstEvent: number
  readonly meanEventGap?: number
  readonly explainedTimeToFirstEvent?: number
}

/** Observes an attempt that ends at `now`. */
function observeEnded (evidence: VersionEvidence, { isNew, hasFailed = false, timeToFirstEvent, meanEventGap, explainedTimeToFirstEvent }: ObservedTimes, now: number): void {
  const eventTimes = Array.from({ length: meanEventGap === undefined ? 1 : EVENT_GAP_SAMPLE_EVENTS }, (_, index) => timeToFirstEvent + index * (meanEventGap ?? 0))
  const startedAt = now - (eventTimes.at(-1) ?? 0)
  const observation = new VersionObservation({ service: 'guide', version: isNew ? 'v2' : 'v1', route: 'route', model: 'small', startedAt, explainedTimeToFirstEvent })
  evidence.observe(observation, isNew)
  for (const time of eventTimes) observation.recordEvent(startedAt + time)
  evidence.recordOutcome(observation, isNew, hasFailed, now)
}

function failures (outcomes: CountsByRoute): VersionCounts {
  return { outcomes, speeds: {} }
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

  describe('requests that were moved away from held up servers', () => {
    /** Counts attempts of both versions, of which some are moved before their first event. */
    function countMoves (moved: { readonly old: number, readonly new: number }): VersionCounts {
      const evidence = new VersionEvidence()
      // The usual times of the old version are known from before the rollout.
      observeEnded(evidence, { isNew: false, timeToFirstEvent: 60 }, 10_000)
      for (const isNew of [false, true]) {
        for (let count = 0; count < 60; count++) {
          const now = 10_000 + count
          if (count >= moved[isNew ? 'new' : 'old']) {
            observeEnded(evidence, { isNew, timeToFirstEvent: 60 }, now)
            continue
          }
          const observation = new VersionObservation({ service: 'guide', version: isNew ? 'v2' : 'v1', route: 'route', model: 'small', startedAt: now - 300, explainedTimeToFirstEvent: 60 })
          evidence.observe(observation, isNew)
          evidence.recordMove(observation, isNew, now)
        }
      }
      return evidence.recentCounts(10_100)
    }

    // Without these counts, a slow version would lose its evidence as its requests are moved.
    it('count as slow, so that a slow version is still found (guards against a slow version that is completed)', () => {
      assert.equal(isBadVersion(countMoves({ old: 2, new: 40 })), true)
    })

    it('count alike for both versions (guards against a good version that is rolled back under load)', () => {
      assert.equal(isBadVersion(countMoves({ old: 20, new: 20 })), false)
    })
  })

  describe('isBadVersion', () => {
    it('detects a version that fails on a single route', () => {
      assert.equal(isBadVersion(failures({ good: [100, 0, 500, 5], failing: [4, 6, 100, 1] })), true)
    })

    // Connection resets affect both versions and say nothing about the new one.
    it('ignores failures that both versions have (guards against rollbacks during network faults)', () => {
      assert.equal(isBadVersion(failures({ route: [20, 8, 200, 80] })), false)
    })

    // A route that fails with any version raises the failure rate of the old version over all routes.
    it('detects failures of the new version beside a route that always fails (guards against a late rollback)', () => {
      assert.equal(isBadVersion(failures({ dead: [0, 1, 0, 40], working: [16, 5, 96, 1] })), true)
    })

    // Without a comparison by route, the larger share looks like a higher failure rate of the new version.
    it('ignores that the new version receives a larger share of a route that always fails (guards against rollbacks of good versions)', () => {
      assert.equal(isBadVersion(failures({ dead: [0, 8, 0, 8], working: [20, 0, 400, 1] })), false)
    })

    it('does not decide on a few failures', () => {
      assert.equal(isBadVersion(failures({ route: [0, 3, 100, 0] })), false)
    })

    // With many instances, each one sees too few failures to decide alone.
    it('sums the counts of several instances (guards against late rollbacks with many instances)', () => {
      const each = failures({ route: [1, 1, 20, 0] })
      assert.equal(isBadVersion(each), false)
      assert.equal(isBadVersion(sumVersionCounts([each, each, each, each])), true)
    })

    it('counts answers that are several times slower than those of the old version as failures', () => {
      const evidence = new VersionEvidence()
      for (let count = 0; count < 20; count++) observeEnded(evidence, { isNew: false, timeToFirstEvent: 100, meanEventGap: 20 }, count)
      for (let count = 0; count < 6; count++) observeEnded(evidence, { isNew: true, timeToFirstEvent: 900 }, 30)
      assert.equal(isBadVersion(evidence.recentCounts(40)), true)
    })

    // The servers of a good version had no cached prompts yet, and long prompts took 4 times the baseline of shorter, cached ones (scenario good-rollout-restarts, --vary, seed 768672505127).
    it('does not count first events as slow that are late because of long prompts (guards against rollbacks of good versions)', () => {
      const evidence = new VersionEvidence()
      for (let count = 0; count < 20; count++) observeEnded(evidence, { isNew: false, timeToFirstEvent: 100, meanEventGap: 20, explainedTimeToFirstEvent: 90 }, count)
      for (let count = 0; count < 6; count++) observeEnded(evidence, { isNew: true, timeToFirstEvent: 1400, explainedTimeToFirstEvent: 750 }, 30)
      assert.equal(isBadVersion(evidence.recentCounts(40)), false)
      for (let count = 0; count < 6; count++) observeEnded(evidence, { isNew: true, timeToFirstEvent: 1400, explainedTimeToFirstEvent: 180 }, 50)
      assert.equal(isBadVersion(evidence.recentCounts(60)), true)
    })

    // Queueing dominates the time to the first event under load, so only the event gaps show the slow version.
    it('detects slow events after a timely first event (guards against a slow version that is hidden by queueing times)', () => {
      const evidence = new VersionEvidence()
      for (let count = 0; count < 20; count++) observeEnded(evidence, { isNew: false, timeToFirstEvent: 500, meanEventGap: 20 }, count)
      for (let count = 0; count < 6; count++) observeEnded(evidence, { isNew: true, timeToFirstEvent: 600, meanEventGap: 160 }, 30)
      assert.equal(isBadVersion(evidence.recentCounts(40)), true)
    })

    // Successes from the start of the rollout would outweigh later failures.
    it('does not count old successes (guards against a version that becomes bad under load)', () => {
      const evidence = new VersionEvidence()
      const timeToFirstEvent = 100
      for (let time = 0; time < 10_000; time += 100) observeEnded(evidence, { isNew: true, timeToFirstEvent }, time)
      for (let time = 0; time < 10_000; time += 20) observeEnded(evidence, { isNew: false, timeToFirstEvent }, time)
      for (let time = 18_000; time < 19_000; time += 100) {
        observeEnded(evidence, { isNew: true, hasFailed: time % 200 === 0, timeToFirstEvent }, time)
        observeEnded(evidence, { isNew: false, timeToFirstEvent }, time)
      }
      assert.equal(isBadVersion(evidence.recentCounts(19_000)), true)
    })

    // In the traced rollout (smritivan-ops quiet-1, seed 395173178872) nearly all requests ran on the new servers. 27 of 359 first events were late, 8 of 76 on one route, and the good version was rolled back.
    it('ignores the late answers of a version that carries nearly all of the load (guards against rollbacks of good versions)', () => {
      assert.equal(isBadVersion({ outcomes: {}, speeds: { first: [264, 19, 3, 0], second: [68, 8, 1, 0] } }), false)
    })

    it('compares with the old version in the same seconds (guards against rollbacks of good versions in a crest)', () => {
      assert.equal(isBadVersion({ outcomes: {}, speeds: { route: [30, 20, 60, 30] } }), false)
      assert.equal(isBadVersion({ outcomes: {}, speeds: { route: [30, 20, 88, 2] } }), true)
    })

    // Versions of which a third of the answers is slow are the least noticeable ones that operators have seen.
    it('detects a version of which a third of the answers is slow, beside timely ones of the old version', () => {
      assert.equal(isBadVersion({ outcomes: {}, speeds: { route: [20, 10, 100, 2] } }), true)
    })
  })

  describe('observations of running streams', () => {
    const EVENT_GAP = 100

    /** Streams that begin at the same time, some with a late first event; returns the counts at each age. */
    function * countsByAge (lateStreams: number, timelyStreams: number): Generator<VersionCounts> {
      const evidence = new VersionEvidence()
      for (let count = 0; count < 20; count++) observeEnded(evidence, { isNew: false, timeToFirstEvent: 20, meanEventGap: EVENT_GAP }, 0)
      const firstEventTimes = [...Array(lateStreams).fill(600), ...Array(timelyStreams).fill(20)] as readonly number[]
      const streams = firstEventTimes.map(firstEventTime => ({ firstEventTime, observation: new VersionObservation({ service: 'guide', version: 'v2', route: 'route', model: 'small', startedAt: 0, explainedTimeToFirstEvent: 20 }) }))
      for (const { observation } of streams) evidence.observe(observation, true)
      for (let now = 0; now < 4000; now += 10) {
        for (const { firstEventTime, observation } of streams) if (now >= firstEventTime && (now - firstEventTime) % EVENT_GAP === 0) observation.recordEvent(now)
        yield evidence.recentCounts(now)
      }
    }

    // Slow streams were counted as soon as they were known to be slow and timely ones only after some events, so a verdict between the two times saw mostly slow ones.
    it('are judged at the same age, whether they are slow or timely (guards against rollbacks of good versions)', () => {
      for (const counts of countsByAge(4, 46)) {
        const [good, bad] = counts.speeds.route
        assert.ok([0, 50].includes(good + bad), `${good} timely and ${bad} slow`)
        assert.equal(isBadVersion(counts), false)
      }
    })

    it('show a slow version while all of its streams still run', () => {
      assert.ok([...countsByAge(25, 25)].slice(0, 150).some(isBadVersion))
    })
  })
})
