import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { beforeEach, describe, it } from 'node:test'

import { createRandomSource, ManualClock } from '#jayfall/shared'
import * as fc from 'fast-check'

import { writeBills, type BillPart } from '../../JayfallBillObjects'
import { readLedger } from '../../JayfallLedgerReader'
import { FakeInstance, makeBill, type PeerFault } from './JayfallFakeInstances'
import { FakeObjectStore, FakeTableStore, type StoreFault } from './JayfallFakeStores'

let store: FakeObjectStore
let clock: ManualClock
let instances: Map<string, FakeInstance>

const start = (ids: readonly string[], memoryLimit?: number): readonly FakeInstance[] => {
  instances = new Map()
  for (const id of ids) instances.set(id, new FakeInstance(id, store, clock, instances, memoryLimit))
  return [...instances.values()]
}
const parts = (): readonly BillPart[] => [...store.objects.values()].map(text => JSON.parse(text) as BillPart)
const storedKeys = (): readonly string[] => parts().flatMap(({ bills }) => bills.map(({ key }) => key))
/** Keys that one batch holds twice. */
const storedTwice = (): readonly string[] => {
  const names = parts().flatMap(({ origin, sequence, bills }) => bills.map(({ key }) => `${origin}/${sequence} ${key}`))
  return names.filter((name, index) => names.indexOf(name) !== index)
}
const runFor = async (milliseconds: number, step = 250) => {
  for (let passed = 0; passed < milliseconds; passed += step) {
    clock.advance(step)
    for (const instance of instances.values()) await instance.tick()
  }
}

beforeEach(() => {
  store = new FakeObjectStore()
  clock = new ManualClock()
})

describe('bills of drafts', () => {
  describe('before the end of an answer is released', () => {
    it('guards against a bill that dies with its instance: the witness writes it', async () => {
      const [origin] = start(['a', 'b'])
      const recorded = origin.batches.record(makeBill(1))
      await origin.tick()
      await recorded
      assert.deepEqual(storedKeys(), [])
      origin.isAlive = false
      await runFor(1000)
      assert.deepEqual(storedKeys(), [makeBill(1).key])
    })

    it('guards against a witness that does not answer: a second one is asked', async () => {
      const [origin, ...others] = start(['a', 'b', 'c'])
      for (const silent of others) {
        for (const other of others) other.fault = other === silent ? 'cut' : 'none'
        const recorded = origin.batches.record(makeBill(1))
        await origin.tick()
        await recorded
      }
      assert.equal(origin.batches.unreplicatedBillCount, 0)
      assert.equal(others.filter(({ witness }) => witness.heldBatches > 0).length, 2)
    })

    it('guards against waiting for nobody: an instance without others writes at once', async () => {
      const [origin] = start(['a'])
      const recorded = origin.batches.record(makeBill(1))
      await origin.tick()
      await recorded
      assert.deepEqual(storedKeys(), [makeBill(1).key])
    })

    it('guards against holding answers for ever: alone and without the store the bill is released and counted', async () => {
      const [origin] = start(['a'])
      store.faults.nextFault = () => 'down'
      const recorded = origin.batches.record(makeBill(1))
      await origin.tick()
      await recorded
      assert.equal(origin.batches.unreplicatedBillCount, 1)
      store.faults.nextFault = () => 'none'
      await runFor(10_000)
      assert.deepEqual(storedKeys(), [makeBill(1).key])
    })
  })

  describe('writing', () => {
    it('guards against copies that stay for ever: a confirmed batch leaves the witness, also when a confirmation was lost', async () => {
      const [origin, witness] = start(['a', 'b'])
      for (let round = 0; round < 2; round++) {
        const recorded = origin.batches.record(makeBill(round))
        await origin.tick()
        await recorded
        witness.fault = round === 0 ? 'cut' : 'none'
        await runFor(6000)
        witness.fault = 'none'
      }
      assert.equal(witness.witness.heldBatches, 0)
      assert.equal(witness.memory.used + origin.memory.used, 0)
      assert.equal(storedKeys().length, 2)
    })

    it('guards against a silent origin: the witness writes after 30 s, and the origin adds only what is missing', async () => {
      const [origin, witness] = start(['a', 'b'])
      const recorded = origin.batches.record(makeBill(1))
      await origin.tick()
      await recorded
      witness.fault = 'cut'
      origin.batches.record(makeBill(2))
      for (let passed = 0; passed < 31_000; passed += 250) {
        clock.advance(250)
        await witness.tick()
      }
      assert.deepEqual(storedKeys(), [makeBill(1).key])
      await runFor(6000)
      assert.deepEqual([...storedKeys()].sort(), [makeBill(1).key, makeBill(2).key])
    })

    it('guards against dropping a copy that arrives while the witness writes the earlier ones', async () => {
      const [origin, witness] = start(['a', 'b'])
      origin.batches.record(makeBill(1))
      await origin.tick()
      clock.advance(31_000)
      const writing = witness.tick()
      origin.batches.record(makeBill(2))
      const copying = origin.batches.tick()
      origin.isAlive = false
      store.faults.nextFault = () => 'down'
      await Promise.all([writing, copying])
      store.faults.nextFault = () => 'none'
      await runFor(10_000)
      assert.deepEqual([...storedKeys()].sort(), [makeBill(1).key, makeBill(2).key])
    })

    it('guards against waiting for a process that a restart has replaced', async () => {
      const [origin, witness] = start(['a', 'b'])
      origin.batches.record(makeBill(1))
      await origin.tick()
      origin.isAlive = false
      const directory = { livePeersOfZone: () => [], isDead: () => false, incarnationOf: () => 2 }
      Object.assign(witness.directory, directory)
      await runFor(1000)
      assert.deepEqual(storedKeys(), [makeBill(1).key])
    })

    it('guards against bills left behind by a planned stop', async () => {
      const [origin, witness] = start(['a', 'b'])
      const recorded = origin.batches.record(makeBill(1))
      await origin.tick()
      await recorded
      origin.isAlive = false
      await witness.witness.flush()
      assert.deepEqual(storedKeys(), [makeBill(1).key])
      assert.equal(witness.memory.used, 0)
    })

    it('guards against a second bill for a repeated key: the ledger has the first record of each key', async () => {
      const [first, second] = start(['a', 'b'])
      first.batches.record(makeBill(1))
      clock.advance(10)
      second.batches.record({ ...makeBill(1), amount: 99 })
      await runFor(12_000)
      const ledger = await readLedger(new FakeTableStore(), store)
      assert.deepEqual(ledger, [makeBill(1)])
    })
  })

  describe('in a long outage', () => {
    it('guards against lost bills and unbounded memory: an hour at 106 bills a second', async () => {
      const [origin, witness] = start(['a', 'b'])
      store.faults.nextFault = () => 'down'
      const random = createRandomSource(1)
      let billed = 0
      for (let passed = 0; passed < 3_600_000; passed += 1000) {
        for (let index = 0; index < 106; index++) {
          const [promptTokens, outputTokens] = [random.integer(10, 2000), random.integer(1, 800)]
          origin.batches.record({
            key: `taller-${billed % 10}/${randomIdentifier(billed)}`,
            workspace: `taller-${billed % 10}`,
            source: `guide-${billed % 3}`,
            promptTokens,
            outputTokens,
            amount: (promptTokens * 0.5 + outputTokens * 1.5) / 1e6
          })
          billed++
        }
        await runFor(1000, 500)
      }
      const used = origin.memory.used + witness.memory.used
      assert.ok(used < 24 * 1024 * 1024, `${used} bytes are held for ${billed} bills`)
      assert.equal(origin.batches.unreplicatedBillCount, 0)
      store.faults.nextFault = () => 'none'
      await runFor(600_000)
      assert.equal(new Set(storedKeys()).size, billed)
      assert.equal(storedKeys().length, billed)
      assert.equal(origin.memory.used + witness.memory.used, 0)
    })

    it('guards against dropping bills when memory is full: the backlog is reported and nothing is lost', async () => {
      const [origin, witness] = start(['a', 'b'], 20_000)
      store.faults.nextFault = () => 'down'
      for (let index = 0; index < 2000; index++) {
        origin.batches.record(makeBill(index))
        if (index % 100 === 0) await runFor(1000)
      }
      assert.ok(origin.memory.isFull && witness.memory.isFull)
      store.faults.nextFault = () => 'none'
      await runFor(60_000)
      assert.equal(new Set(storedKeys()).size, 2000)
      assert.ok(!origin.memory.isFull)
    })
  })

  describe('under any order of writes and deaths', () => {
    const storeFault = fc.constantFrom<StoreFault>('none', 'none', 'none', 'down', 'lost-before', 'lost-after', 'late')

    it('guards against a bill stored twice when origin and witnesses write the same batch at once', async () => {
      const writer = fc.record({ bills: fc.uniqueArray(fc.integer({ min: 0, max: 6 })), tries: fc.integer({ min: 0, max: 4 }) })
      await fc.assert(fc.asyncProperty(fc.array(writer, { minLength: 1, maxLength: 4 }), fc.array(storeFault, { maxLength: 40 }), async (writers, faults) => {
        store = new FakeObjectStore()
        const rest = [...faults]
        store.faults.nextFault = () => rest.shift() ?? 'none'
        // A writer with no tries left has died.
        const write = (bills: readonly number[]) => writeBills(store, { origin: 'a', sequence: 0, openedAt: 0, bills: bills.map(makeBill) })
        await Promise.all(writers.map(async ({ bills, tries }) => {
          for (let attempt = 0; attempt < tries; attempt++) {
            await write(bills).catch(() => {})
            if (attempt % 2 === 1) store.faults.deliverLate()
          }
        }))
        store.faults.nextFault = () => 'none'
        await write(writers[0].bills)
        store.faults.deliverLate()
        assert.deepEqual(storedTwice(), [])
        for (const bill of writers[0].bills) assert.ok(storedKeys().includes(makeBill(bill).key))
      }), { numRuns: 1000 })
    })

    it('guards against a released bill that is lost or stored twice, with one instance dying at any moment', async () => {
      const step = fc.record({
        bills: fc.integer({ min: 0, max: 3 }),
        milliseconds: fc.constantFrom(20, 250, 5000, 31_000),
        kill: fc.constantFrom(undefined, undefined, undefined, 0, 1, 2),
        fault: fc.constantFrom<PeerFault>('none', 'none', 'cut', 'lost-reply'),
        faulty: fc.integer({ min: 0, max: 2 }),
        isStoreDown: fc.boolean(),
        together: fc.boolean()
      })
      await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 15 }), fc.array(storeFault, { maxLength: 30 }), async (steps, faults) => {
        store = new FakeObjectStore()
        clock = new ManualClock()
        const all = start(['a', 'b', 'c'])
        const released = new Set<string>()
        const rest = [...faults]
        let billed = 0
        for (const { bills, milliseconds, kill, fault, faulty, isStoreDown, together } of steps) {
          store.faults.nextFault = () => isStoreDown ? 'down' : rest.shift() ?? 'none'
          all.forEach((instance, index) => { instance.fault = index === faulty ? fault : 'none' })
          for (let index = 0; index < bills && all[0].isAlive; index++) {
            const bill = makeBill(billed++)
            const before = all[0].batches.unreplicatedBillCount
            all[0].batches.record(bill).then(() => { if (all[0].batches.unreplicatedBillCount === before) released.add(bill.key) })
          }
          clock.advance(milliseconds)
          const ticks = all.map(instance => () => instance.tick())
          if (together) await Promise.all(ticks.map(tick => tick()))
          else for (const tick of ticks) await tick()
          if (kill !== undefined && all.every(({ isAlive }) => isAlive)) all[kill].isAlive = false
          store.faults.deliverLate()
        }
        store.faults.nextFault = () => 'none'
        all.forEach(instance => { instance.fault = 'none' })
        const hasLostOrigin = !all[0].isAlive && all[0].batches.unreplicatedBillCount > 0
        await runFor(120_000, 1000)
        assert.deepEqual(storedTwice(), [])
        const stored = new Set(storedKeys())
        if (!hasLostOrigin) assert.deepEqual([...released].filter(key => !stored.has(key)), [])
      }), { numRuns: 300 })
    })
  })
})

/** A key in the form of a random identifier, which compresses as badly. */
function randomIdentifier (index: number): string {
  const digits = createHash('sha256').update(String(index)).digest('hex')
  return [[0, 8], [8, 12], [12, 16], [16, 20], [20, 32]].map(([from, to]) => digits.slice(from, to)).join('-')
}
