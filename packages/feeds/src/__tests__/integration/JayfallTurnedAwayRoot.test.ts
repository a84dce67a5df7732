/** Test of the preferred reader of all instances when the store turns it away, over real sockets. */

import * as assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'

import { delay } from '#jayfall/shared'

import { PROPAGATION_LIMIT_MILLISECONDS, SharedFleet } from './JayfallSharedFleet'

const PEERS_PORT = 18184
/** Time in which a call that the store does not answer is given up, beyond its wait. */
const SILENCE_MILLISECONDS = 700

describe('SharedTableStore after an outage', () => {
  const fleet = new SharedFleet(PEERS_PORT)

  afterEach(async () => { await fleet.stop() })

  // Failure: the root, which the store turned away, read through an instance that read through the root again, and changes were late for all.
  it('delivers changes to a root that the store goes on turning away after an outage (guards against an instance that stays behind)', async () => {
    const root = await fleet.startSharing()
    for (const { own } of fleet.members) Object.assign(own, { isCutOff: true, silence: SILENCE_MILLISECONDS })
    await delay(3000)
    for (const member of fleet.members) member.own.isCutOff = member === root
    for (const value of ['first', 'second', 'third', 'fourth', 'fifth', 'sixth']) {
      fleet.rows.put('op', 'config', value)
      assert.ok(await fleet.timeUntilKnown(value) < PROPAGATION_LIMIT_MILLISECONDS)
      await delay(700)
    }
  })
})
