/** Tests of the steps of rollouts, with a store in memory and without a network. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { type EvidenceRow } from '../../JayfallRolloutRows'
import { SERVICE } from './JayfallDecisionFixture'
import { MemoryTables, ORDER, RolloutFixture } from './JayfallRolloutFixture'

/** The order as operators write it again in the second era, under another revision. */
const WRITTEN_AGAIN = { ...ORDER, position: { era: 2, revision: 7 } }
/** Counts of a version that fails, as another instance saw them. */
const FAILURES = { route: [0, 20, 20, 0] as const }

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

  describe('at the deadline', () => {
    // Failure: the store was silent until the deadline, the counts of a version that instances kept requests away from were too old by then, and it was completed (issue 31, EXPOSURE).
    it('rolls back a version that was judged bad, however old the counts are (guards against a bad version that is completed after an outage)', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      await fixture.start()
      fixture.tables.isDown = true
      fixture.observe(20)
      await fixture.coordinator.run()
      fixture.clock.advance(ORDER.period)
      await fixture.coordinator.run()
      fixture.tables.isDown = false
      await fixture.coordinator.run()
      assert.deepEqual(fixture.status, { state: 'rolled_back', to: 'v2' })
    })
  })

  describe('beside other instances', () => {
    // Failure at others: around a hand-over between two processes both acted for a moment, and orders went out twice.
    it('makes each step once, however many instances try (guards against steps that are made twice)', async () => {
      const tables = new MemoryTables()
      const fixtures = Array.from({ length: 9 }, (_, index) => new RolloutFixture(tables, `entry-${index}`))
      await Promise.all(fixtures.map(fixture => fixture.start()))
      await Promise.all(fixtures.map(fixture => fixture.rollBack()))
      assert.deepEqual(tables.statusWrites, [{ state: 'running', to: 'v2' }, { state: 'rolled_back', to: 'v2' }])
    })
  })

  describe('after the store came back from a copy', () => {
    // Failure: operators wrote an order again that was lost, and the instances began its rollout anew, with a version that they had just rolled back.
    it('keeps a version rolled back whose order and steps are lost (guards against exposure to a version that is known to be bad)', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      const copy = fixture.tables.copy()
      await fixture.start()
      await fixture.rollBack()
      fixture.tables.restore(copy)
      fixture.readNewEra()
      assert.equal(fixture.rule, 'rolled_back')
      fixture.readNewEra(WRITTEN_AGAIN)
      assert.equal(fixture.rule, 'rolled_back')
      await fixture.coordinator.run()
      assert.deepEqual(fixture.status, { state: 'rolled_back', to: 'v2' })
      assert.equal(fixture.coordinator.isActive, false)
    })

    // Failure: the row of the rollout turned back to 'running', and instances followed it.
    it('keeps a version rolled back whose last step is lost, and writes the step again', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      await fixture.start()
      const copy = fixture.tables.copy()
      await fixture.rollBack()
      fixture.tables.restore(copy)
      fixture.readNewEra({ ...ORDER, position: { era: 2, revision: 5 } })
      assert.equal(fixture.rule, 'rolled_back')
      assert.equal(fixture.coordinator.isActive, true)
      await fixture.coordinator.run()
      assert.deepEqual(fixture.status, { state: 'rolled_back', to: 'v2' })
    })

    it('writes a step again at one of many instances, of which some know less (guards against instances that disagree on a rollout)', async () => {
      const tables = new MemoryTables()
      const [informed, behind, restarted] = ['entry-1', 'entry-2', 'entry-3'].map(instance => new RolloutFixture(tables, instance))
      const copy = tables.copy()
      await informed.start()
      behind.coordinator.applyOrders([ORDER], 1)
      await informed.rollBack()
      tables.restore(copy)
      restarted.readNewEra(WRITTEN_AGAIN)
      behind.readNewEra(WRITTEN_AGAIN)
      // The instances that know less begin the rollout anew first.
      for (const fixture of [restarted, behind]) await fixture.coordinator.run()
      informed.readNewEra(WRITTEN_AGAIN)
      assert.equal(informed.rule, 'rolled_back')
      await informed.coordinator.run()
      for (const fixture of [restarted, behind]) {
        fixture.readNewEra(WRITTEN_AGAIN)
        assert.equal(fixture.rule, 'rolled_back')
      }
    })

    it('goes on with a running rollout and with what was seen of it (guards against a bad version that fails from the beginning again)', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      const copy = fixture.tables.copy()
      await fixture.start()
      fixture.observe(3)
      fixture.tables.restore(copy)
      fixture.clock.advance(1000)
      fixture.readNewEra(WRITTEN_AGAIN)
      await fixture.coordinator.run()
      const row = fixture.tables.rows.get(`rollouts/${SERVICE}`)?.value as { readonly startedAt: number, readonly orderRevision: number }
      assert.deepEqual([row.startedAt, row.orderRevision], [1000, 7])
      fixture.observe(5, 0)
      await fixture.coordinator.run()
      assert.equal(fixture.rule, 'rolled_back')
    })

    it('makes no step before it has read the rows of the new era (guards against a step that another instance has made)', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      const copy = fixture.tables.copy()
      fixture.coordinator.applyOrders([ORDER], 1)
      fixture.tables.restore(copy)
      fixture.coordinator.applyOrders([WRITTEN_AGAIN], 2)
      await fixture.coordinator.run()
      assert.equal(fixture.status, undefined)
    })

    it('stays rolled back over two returns in a row', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      const copy = fixture.tables.copy()
      await fixture.start()
      await fixture.rollBack()
      for (const era of [2, 3]) {
        fixture.tables.restore(copy)
        fixture.readNewEra({ ...ORDER, position: { era, revision: 5 + era } })
        assert.equal(fixture.rule, 'rolled_back')
        await fixture.coordinator.run()
        assert.deepEqual(fixture.status, { state: 'rolled_back', to: 'v2' })
      }
    })

    it('begins anew with an order that operators make in the same era', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      await fixture.start()
      await fixture.rollBack()
      fixture.coordinator.applyOrders([{ ...ORDER, position: { era: 1, revision: 20 } }], 1)
      await fixture.coordinator.run()
      assert.deepEqual(fixture.status, { state: 'running', to: 'v2' })
    })

    // A revision that was given out again made old evidence count for a new order.
    it('does not count evidence of another version under the same revision (guards against a good version that is rolled back)', async () => {
      const fixture = new RolloutFixture(new MemoryTables())
      const copy = fixture.tables.copy()
      await fixture.start()
      fixture.tables.restore(copy)
      fixture.readNewEra({ ...ORDER, version: 'v3', position: { era: 2, revision: 5 } })
      await fixture.coordinator.run()
      const row: EvidenceRow = { instance: 'entry-2', orderRevision: 5, version: 'v2', at: fixture.clock.monotonic(), counts: FAILURES, speeds: {} }
      fixture.coordinator.applyEvidenceRows([{ key: `${SERVICE}/entry-2`, value: row, position: { era: 2, revision: 12 } }])
      await fixture.coordinator.run()
      assert.deepEqual(fixture.status, { state: 'running', to: 'v3' })
    })
  })
})
