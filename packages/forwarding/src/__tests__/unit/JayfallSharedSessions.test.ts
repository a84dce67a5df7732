/** Tests of the versions of sessions that run at several instances, which exchange nothing about them. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { type Rollout } from '../../JayfallRolloutSchedule'
import { VersionPolicy } from '../../JayfallVersionPolicy'

const PERIOD_MILLISECONDS = 20_000
const SESSION_COUNT = 400
const SESSION_GAP_MILLISECONDS = 5000

class InstanceFixture {
  readonly policy: VersionPolicy

  constructor (readonly clock: { now: number }, startedAt: number | undefined) {
    this.policy = new VersionPolicy({ sessionGap: SESSION_GAP_MILLISECONDS, exposureShare: 0.15 }, () => clock.now)
    const rollout: Rollout = { order: { service: 'guide', version: 'v2', period: PERIOD_MILLISECONDS, position: { era: 1, revision: 5 } }, startedAt: startedAt ?? 0, outcome: 'running' }
    if (startedAt !== undefined) this.policy.setRollouts(new Map([['guide', rollout]]))
  }

  /** Runs a request of a session and returns its version. */
  run (session: string): string {
    const { now } = this.clock
    const version = this.policy.ruleFor('guide', session, now).isPreferred('v1') ? 'v1' : 'v2'
    this.policy.recordRun('guide', session, version, now)
    return version
  }
}

describe('sessions that run at several instances', () => {
  // An instance that did not know a session started it on the new version, although it ran on the old one at another instance.
  it('stay on the old version in the first half at instances that do not know them (guards against sessions that change version with the instance)', () => {
    const clock = { now: 0 }
    const before = new InstanceFixture(clock, undefined)
    const after = new InstanceFixture(clock, 1000)
    for (let index = 0; index < SESSION_COUNT; index++) {
      clock.now = 900
      assert.equal(before.run(`session-${index}`), 'v1')
      clock.now = 1500
      assert.equal(after.run(`session-${index}`), 'v1')
    }
  })

  // Each instance must select the new version for a session that runs on it at another instance.
  it('never return to the old version at another instance (guards against sessions that alternate between versions)', () => {
    const clock = { now: 0 }
    const instances = [new InstanceFixture(clock, 1000), new InstanceFixture(clock, 1000), new InstanceFixture(clock, 1000)]
    for (let index = 0; index < SESSION_COUNT; index++) {
      let isOnNew = false
      for (clock.now = 1000; clock.now < 1000 + PERIOD_MILLISECONDS; clock.now += 700) {
        const version = instances[(clock.now / 700 | 0) % instances.length].run(`session-${index}`)
        assert.ok(!(isOnNew && version === 'v1'), `session-${index} went back at ${clock.now}`)
        isOnNew = version === 'v2'
        if (clock.now < 1000 + PERIOD_MILLISECONDS / 2) assert.equal(version, 'v1')
      }
      assert.equal(isOnNew, true)
    }
  })
})
