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

const startInstances = (ids: readonly string[], memoryLimit?: number): readonly FakeInstance[] => {
  instances = new Map()
  for (const id of ids) instances.set(id, new FakeInstance(id, store, clock, instances, memoryLimit))
  return [...instances.values()]
}
const parts = (): readonly BillPart[] => [...store.objects.values()].map(text => JSON.parse(text) as BillPart)
const storedKeys = (): readonly string[] => parts().flatMap(({ bills }) => bills.map(({ key }) => key))
/** Bills that one batch holds twice, as `origin/sequence key`. */
const duplicateNames = (): readonly string[] => {
  const names = parts().flatMap(({ origin, sequence, bills }) => bills.map(({ key }) => `${origin}/${sequence} ${key}`))
  return names.filter((name, index) => names.indexOf(name) !== index)
}
const advanceTime = async (milliseconds: number, step = 250) => {
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
    it('has the witness write the bills of a dead instance (guards against bills that are lost with their instance)', async () => {
      const [origin] = startInstances(['a', 'b'])
      const recorded = origin.batches.record(makeBill(1))
      await origin.tick()
      await recorded
      assert.deepEqual(storedKeys(), [])
      origin.isAlive = false
      await advanceTime(1000)
      assert.deepEqual(storedKeys(), [makeBill(1).key])
    })

    it('asks a second witness when the first does not answer (guards against bills without a copy)', async () => {
      const [origin, ...others] = startInstances(['a', 'b', 'c'])
      for (const silent of others) {
        for (const other of others) other.fault = other === silent ? 'cut' : 'none'
        const recorded = origin.batches.record(makeBill(1))
        await origin.tick()
        await recorded
      }
      assert.equal(origin.batches.unreplicatedBillCount, 0)
      assert.equal(others.filter(({ witness }) => witness.heldBatches > 0).length, 2)
    })

    it('writes at once when there is no other instance (guards against waiting for a witness that does not exist)', async () => {
      const [origin] = startInstances(['a'])
      const recorded = origin.batches.record(makeBill(1))
      await origin.tick()
      await recorded
      assert.deepEqual(storedKeys(), [makeBill(1).key])
    })

    it('releases and counts a bill when there is neither a witness nor a store (guards against answers that are withheld for ever)', async () => {
      const [origin] = startInstances(['a'])
      store.faults.nextFault = () => 'down'
      const recorded = origin.batches.record(makeBill(1))
      await origin.tick()
      await recorded
      assert.equal(origin.batches.unreplicatedBillCount, 1)
      store.faults.nextFault = () => 'none'
      await advanceTime(10_000)
      assert.deepEqual(storedKeys(), [makeBill(1).key])
    })
  })

  describe('writing', () => {
    it('removes a confirmed batch from the witness, even if a confirmation was lost (guards against copies that are kept for ever)', async () => {
      const [origin, witness] = startInstances(['a', 'b'])
      for (let round = 0; round < 2; round++) {
        const recorded = origin.batches.record(makeBill(round))
        await origin.tick()
        await recorded
        witness.fault = round === 0 ? 'cut' : 'none'
        await advanceTime(6000)
        witness.fault = 'none'
      }
      assert.equal(witness.witness.heldBatches, 0)
      assert.equal(witness.memory.usedBytes + origin.memory.usedBytes, 0)
      assert.equal(storedKeys().length, 2)
    })

    it('has the witness write after 30 s without contact, and the origin only what is missing (guards against bills of a silent origin that are never stored)', async () => {
      const [origin, witness] = startInstances(['a', 'b'])
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
      await advanceTime(6000)
      assert.deepEqual([...storedKeys()].sort(), [makeBill(1).key, makeBill(2).key])
    })

    it('keeps a copy that arrives while the witness writes the earlier ones (guards against dropping it)', async () => {
      const [origin, witness] = startInstances(['a', 'b'])
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
      await advanceTime(10_000)
      assert.deepEqual([...storedKeys()].sort(), [makeBill(1).key, makeBill(2).key])
    })

    it('has the witness write the bills of a restarted instance at once (guards against waiting for a process that has ended)', async () => {
      const [origin, witness] = startInstances(['a', 'b'])
      origin.batches.record(makeBill(1))
      await origin.tick()
      origin.isAlive = false
      const directory = { livePeersOfZone: () => [], isDead: () => false, incarnationOf: () => 2 }
      Object.assign(witness.directory, directory)
      await advanceTime(1000)
      assert.deepEqual(storedKeys(), [makeBill(1).key])
    })

    it('writes held copies at a planned stop (guards against bills that are left behind)', async () => {
      const [origin, witness] = startInstances(['a', 'b'])
      const recorded = origin.batches.record(makeBill(1))
      await origin.tick()
      await recorded
      origin.isAlive = false
      await witness.witness.flush()
      assert.deepEqual(storedKeys(), [makeBill(1).key])
      assert.equal(witness.memory.usedBytes, 0)
    })

    it('reports only the first record of each key (guards against a second bill for a repeated key)', async () => {
      const [first, second] = startInstances(['a', 'b'])
      first.batches.record(makeBill(1))
      clock.advance(10)
      second.batches.record({ ...makeBill(1), amount: 99 })
      await advanceTime(12_000)
      const ledger = await readLedger(new FakeTableStore(), store)
      assert.deepEqual(ledger, [makeBill(1)])
    })
  })

  describe('in a long outage', () => {
    it('holds an hour of 106 bills a second in bounded memory and loses none (guards against lost bills and unbounded memory)', async () => {
      const [origin, witness] = startInstances(['a', 'b'])
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
        await advanceTime(1000, 500)
      }
      const used = origin.memory.usedBytes + witness.memory.usedBytes
      assert.ok(used < 24 * 1024 * 1024, `${used} bytes are held for ${billed} bills`)
      assert.equal(origin.batches.unreplicatedBillCount, 0)
      store.faults.nextFault = () => 'none'
      await advanceTime(600_000)
      assert.equal(new Set(storedKeys()).size, billed)
      assert.equal(storedKeys().length, billed)
      assert.equal(origin.memory.usedBytes + witness.memory.usedBytes, 0)
    })

    it('reports a full backlog and loses nothing (guards against dropping bills when memory is full)', async () => {
      const [origin, witness] = startInstances(['a', 'b'], 20_000)
      store.faults.nextFault = () => 'down'
      for (let index = 0; index < 2000; index++) {
        origin.batches.record(makeBill(index))
        if (index % 100 === 0) await advanceTime(1000)
      }
      assert.ok(origin.memory.isFull && witness.memory.isFull)
      store.faults.nextFault = () => 'none'
      await advanceTime(60_000)
      assert.equal(new Set(storedKeys()).size, 2000)
      assert.ok(!origin.memory.isFull)
    })
  })

  describe('under any order of writes and crashes', () => {
    const storeFault = fc.constantFrom<StoreFault>('none', 'none', 'none', 'down', 'lost-before', 'lost-after', 'late')

    it('stores each bill once when the origin and witnesses write the same batch concurrently (guards against duplicates)', async () => {
      const writer = fc.record({ bills: fc.uniqueArray(fc.integer({ min: 0, max: 6 })), writeCount: fc.integer({ min: 0, max: 4 }) })
      await fc.assert(fc.asyncProperty(fc.array(writer, { minLength: 1, maxLength: 4 }), fc.array(storeFault, { maxLength: 40 }), async (writers, faults) => {
        store = new FakeObjectStore()
        const remainingFaults = [...faults]
        store.faults.nextFault = () => remainingFaults.shift() ?? 'none'
        // A writer that has used all its writes has crashed.
        const write = (bills: readonly number[]) => writeBills(store, { origin: 'a', sequence: 0, openedAt: 0, bills: bills.map(makeBill) })
        await Promise.all(writers.map(async ({ bills, writeCount }) => {
          for (let attempt = 0; attempt < writeCount; attempt++) {
            await write(bills).catch(() => {})
            if (attempt % 2 === 1) store.faults.deliverLateCalls()
          }
        }))
        store.faults.nextFault = () => 'none'
        await write(writers[0].bills)
        store.faults.deliverLateCalls()
        assert.deepEqual(duplicateNames(), [])
        for (const bill of writers[0].bills) assert.ok(storedKeys().includes(makeBill(bill).key))
      }), { numRuns: 1000 })
    })

    it('stores each released bill exactly once although one instance crashes at any time (guards against lost and duplicate bills)', async () => {
      const step = fc.record({
        bills: fc.integer({ min: 0, max: 3 }),
        milliseconds: fc.constantFrom(20, 250, 5000, 31_000),
        killedIndex: fc.constantFrom(undefined, undefined, undefined, 0, 1, 2),
        fault: fc.constantFrom<PeerFault>('none', 'none', 'cut', 'lost-reply'),
        faultyIndex: fc.integer({ min: 0, max: 2 }),
        isStoreDown: fc.boolean(),
        isConcurrent: fc.boolean()
      })
      await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 15 }), fc.array(storeFault, { maxLength: 30 }), async (steps, faults) => {
        store = new FakeObjectStore()
        clock = new ManualClock()
        const all = startInstances(['a', 'b', 'c'])
        const released = new Set<string>()
        const remainingFaults = [...faults]
        let billed = 0
        for (const { bills, milliseconds, killedIndex, fault, faultyIndex, isStoreDown, isConcurrent } of steps) {
          store.faults.nextFault = () => isStoreDown ? 'down' : remainingFaults.shift() ?? 'none'
          all.forEach((instance, index) => { instance.fault = index === faultyIndex ? fault : 'none' })
          for (let index = 0; index < bills && all[0].isAlive; index++) {
            const bill = makeBill(billed++)
            const before = all[0].batches.unreplicatedBillCount
            all[0].batches.record(bill).then(() => { if (all[0].batches.unreplicatedBillCount === before) released.add(bill.key) })
          }
          clock.advance(milliseconds)
          const ticks = all.map(instance => () => instance.tick())
          if (isConcurrent) await Promise.all(ticks.map(tick => tick()))
          else for (const tick of ticks) await tick()
          if (killedIndex !== undefined && all.every(({ isAlive }) => isAlive)) all[killedIndex].isAlive = false
          store.faults.deliverLateCalls()
        }
        store.faults.nextFault = () => 'none'
        all.forEach(instance => { instance.fault = 'none' })
        const hasLostOrigin = !all[0].isAlive && all[0].batches.unreplicatedBillCount > 0
        await advanceTime(120_000, 1000)
        assert.deepEqual(duplicateNames(), [])
        const stored = new Set(storedKeys())
        if (!hasLostOrigin) assert.deepEqual([...released].filter(key => !stored.has(key)), [])
      }), { numRuns: 300 })
    })
  })
})

/** Returns a key in the form of a random identifier, which compresses as badly as a real key. */
function randomIdentifier (index: number): string {
  const digits = createHash('sha256').update(String(index)).digest('hex')
  return [[0, 8], [8, 12], [12, 16], [16, 20], [20, 32]].map(([from, to]) => digits.slice(from, to)).join('-')
}
