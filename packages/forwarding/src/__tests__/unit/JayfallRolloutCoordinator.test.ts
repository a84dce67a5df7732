/** Tests of the steps of rollouts, with a store in memory and without a network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { MemoryTables, RolloutFixture } from './JayfallRolloutFixture'

describe('RolloutCoordinator', () => {
  describe('without the store', () => {
    // Failure: an instance that the store did not answer published its evidence first, which failed, and never judged the version: it sent requests to a bad one for as long as the store turned it away.
    it('keeps requests away from a bad version on its own evidence (guards against exposure at instances that the store turns away)', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      await fixture.start()
      fixture.tables.isDown = true
      fixture.observe(20)
      await fixture.coordinator.run()
      assert.equal(fixture.rule, 'suspended')
    })

    // The store took the evidence and did not answer, and the next verdict waited for the time limit of that call.
    it('keeps requests away from a bad version while a call of the store hangs', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      await fixture.start()
      fixture.tables.isSilent = true
      fixture.observe(1)
      fixture.coordinator.run()
      fixture.observe(20)
      fixture.clock.advance(500)
      fixture.coordinator.run()
      assert.equal(fixture.rule, 'suspended')
    })

    it('rolls the version back as soon as the store answers again', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      await fixture.start()
      fixture.tables.isDown = true
      fixture.observe(20)
      await fixture.coordinator.run()
      fixture.tables.isDown = false
      fixture.clock.advance(500)
      await fixture.coordinator.run()
      assert.equal(fixture.rule, 'rolled_back')
    })
  })
})
