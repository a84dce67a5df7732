/** Sessions that run at several instances, which tell each other nothing about them. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { type Rollout } from '../../JayfallRolloutPlan'
import { VersionPolicy } from '../../JayfallVersionPolicy'

const PERIOD = 20_000
const SESSIONS = 400
const SESSION_GAP = 5000

class Instance {
  readonly policy: VersionPolicy

  constructor (readonly clock: { now: number }, startedAt: number | undefined) {
    this.policy = new VersionPolicy({ sessionGap: SESSION_GAP, exposureShare: 0.15 }, () => clock.now)
    const rollout: Rollout = { order: { service: 'guide', version: 'v2', period: PERIOD, revision: 5 }, startedAt: startedAt ?? 0, outcome: 'running' }
    if (startedAt !== undefined) this.policy.setRollouts(new Map([['guide', rollout]]))
  }

  /** Runs a request of a session, and tells the version. */
  run (session: string): string {
    const { now } = this.clock
    const version = this.policy.ruleFor('guide', session, now).prefers('v1') ? 'v1' : 'v2'
    this.policy.noteRun('guide', session, version, now)
    return version
  }
}

describe('sessions', () => {
  // PINNED: an instance that did not know a session took it for new and began it on the new version, though it ran on the old one elsewhere.
  it('stay on the old version in the first half at instances that do not know them (guards against sessions that move with their callers)', () => {
    const clock = { now: 0 }
    const before = new Instance(clock, undefined)
    const after = new Instance(clock, 1000)
    for (let index = 0; index < SESSIONS; index++) {
      clock.now = 900
      assert.equal(before.run(`session-${index}`), 'v1')
      clock.now = 1500
      assert.equal(after.run(`session-${index}`), 'v1')
    }
  })

  // PINNED: sessions on the new version must find it at every instance.
  it('never go back to the old version at another instance (guards against sessions that alternate)', () => {
    const clock = { now: 0 }
    const instances = [new Instance(clock, 1000), new Instance(clock, 1000), new Instance(clock, 1000)]
    for (let index = 0; index < SESSIONS; index++) {
      let isOnNew = false
      for (clock.now = 1000; clock.now < 1000 + PERIOD; clock.now += 700) {
        const version = instances[(clock.now / 700 | 0) % instances.length].run(`session-${index}`)
        assert.ok(!(isOnNew && version === 'v1'), `session-${index} went back at ${clock.now}`)
        isOnNew = version === 'v2'
        if (clock.now < 1000 + PERIOD / 2) assert.equal(version, 'v1')
      }
      assert.equal(isOnNew, true)
    }
  })
})
