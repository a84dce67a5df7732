/** Tests of instances whose store turns one of them away, or comes back from a copy, over real sockets. */

import * as assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'

import { delay } from '#jayfall/shared'

import { PROPAGATION_LIMIT_MILLISECONDS, SharedFleet } from './JayfallSharedFleet'

const PEERS_PORT = 18183
/** Time in which a call that the store does not answer is given up, beyond its wait. */
const SILENCE_MILLISECONDS = 700

describe('SharedTableStore after an outage', () => {
  const fleet = new SharedFleet(PEERS_PORT)

  afterEach(async () => { await fleet.stop() })

  // Failure: a reader that had just started kept no changes from before, and an instance that the store turned away could not use its answers.
  it('delivers changes to an instance that the store turns away when all others have started anew (guards against readers that cannot help)', async () => {
    await fleet.startSharing(5)
    const [turnedAway, ...others] = fleet.members
    turnedAway.own.isCutOff = true
    for (const member of others) await fleet.kill(member)
    fleet.rows.put('op', 'config', 'written meanwhile')
    await Promise.all([1, 2, 3, 4].map(index => fleet.startMember(index)))
    await delay(2500)
    assert.equal(turnedAway.known, 'written meanwhile')
    for (const value of ['first', 'second']) {
      fleet.rows.put('op', 'config', value)
      assert.ok(await fleet.timeUntilKnown(value) < PROPAGATION_LIMIT_MILLISECONDS)
    }
  })

  for (const role of ['follower', 'reader of a zone'] as const) {
    it(`delivers changes to a ${role} that the store goes on turning away after an outage (guards against an instance that stays behind)`, async () => {
      const root = await fleet.startSharing()
      const turnedAway = fleet.members.find(member => member !== root && (member.shared.maximumReadPause === Infinity) === (role === 'follower'))
      for (const { own } of fleet.members) Object.assign(own, { isCutOff: true, silence: SILENCE_MILLISECONDS })
      await delay(3000)
      for (const member of fleet.members) member.own.isCutOff = member === turnedAway
      for (const value of ['first', 'second', 'third', 'fourth', 'fifth', 'sixth']) {
        fleet.rows.put('op', 'config', value)
        assert.ok(await fleet.timeUntilKnown(value) < PROPAGATION_LIMIT_MILLISECONDS)
        await delay(700)
      }
    })
  }

  // Failure: instances read on after numbers that the store had given out again, and missed the rows up to there.
  for (const [name, cutOff] of [['', 0], [' while some instances are cut off from it', 3]] as const) {
    it(`delivers all rows when the store comes back from a copy${name} (guards against rows that are missing, and a herd at the store)`, async () => {
      const reader = await fleet.startSharing()
      fleet.rows.put('op', 'config', 'lost')
      await fleet.timeUntilKnown('lost')
      const before = fleet.members.map(({ own }) => own.wholeReadings)
      const isolated = fleet.members.filter(member => member !== reader).slice(0, cutOff)
      for (const member of isolated) member.own.isCutOff = true
      fleet.rows.restore(1)
      fleet.rows.put('op', 'config', 'written again')
      for (let count = 0; count < 5; count++) fleet.rows.put('servers', `i-${count}`, count)
      assert.ok(await fleet.timeUntilKnown('written again') < PROPAGATION_LIMIT_MILLISECONDS)
      for (const member of isolated) member.own.isCutOff = false
      await delay(500)
      const wholeReadings = fleet.members.reduce((sum, { own }, index) => sum + own.wholeReadings - before[index], 0)
      // The root reads two tables, and perhaps another instance that noticed first while the root was away.
      assert.ok(wholeReadings <= 4, `${wholeReadings} readings of whole tables`)
    })
  }
})
