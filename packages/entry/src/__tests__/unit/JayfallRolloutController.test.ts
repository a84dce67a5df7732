/** Tests of rollouts that are controlled by ratings, and of the identifiers under which responses are offered for rating. */

import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'

import { entryKey, InstalledCatalogue, type VersionEntry } from '#jayfall/catalogue'
import { CatalogueStore, Lease, PlatformError, TableStore, type AnswerRating, type TableRow, type TableWrite } from '#jayfall/store'
import { ManualClock, RandomSource } from '#jayfall/shared'
import { createLog } from '#jayfall/telemetry'
import { testVersion } from '#jayfall/testbed'

import { formatOfferedId, parseOfferedId } from '../../JayfallOfferedResponse'
import { RolloutController } from '../../JayfallRolloutController'
import { ROLLOUTS_TABLE } from '../../JayfallRolloutRows'

/** A table store in memory whose writes to one table can be made to fail. */
class MemoryTableStore extends TableStore {
  private readonly rows = new Map<string, TableRow>()
  private revision = 0
  /** Name of the table whose writes fail; no table if empty. */
  failingTable = ''

  override async transact (writes: readonly TableWrite[]): Promise<readonly number[]> {
    if (writes.some(({ table }) => table === this.failingTable)) throw new PlatformError('unavailable', 'refused')
    const conflicts = writes.filter(({ table, key, ifRevision }) => ifRevision !== undefined && (this.rows.get(`${table}/${key}`)?.revision ?? 0) !== ifRevision)
    if (conflicts.length > 0) throw new PlatformError('conflict', 'conflict', undefined, { conflicts })
    return writes.map(({ table, key, value }) => {
      this.revision++
      this.rows.set(`${table}/${key}`, { key, value: JSON.parse(JSON.stringify(value)), revision: this.revision })
      return this.revision
    })
  }

  override async read<Value> (table: string, key: string): Promise<TableRow<Value> | undefined> {
    return this.rows.get(`${table}/${key}`) as TableRow<Value> | undefined
  }

  override async list<Value> (table: string, prefix: string, after = ''): Promise<readonly TableRow<Value>[]> {
    const rows = [...this.rows].filter(([path, { key }]) => path === `${table}/${key}` && key.startsWith(prefix) && key > after).map(([, row]) => row as TableRow<Value>)
    return rows.sort((left, right) => left.key < right.key ? -1 : 1)
  }
}

describe('RolloutController', () => {
  let store: MemoryTableStore
  let catalogueStore: CatalogueStore
  let catalogue: InstalledCatalogue
  let clock: ManualClock
  let ratings: AnswerRating[]
  let random: RandomSource

  beforeEach(async () => {
    store = new MemoryTableStore()
    catalogueStore = new CatalogueStore(store)
    catalogue = new InstalledCatalogue()
    clock = new ManualClock(1000)
    ratings = []
    random = new RandomSource(1)
    for (const entry of [testVersion('old', {}), testVersion('new', { state: 'rolling-out', trafficShare: 1, whenCutOff: 'stop' })]) {
      await catalogueStore.write({ key: entryKey(entry), entry, basedOn: 0, writer: 'test' })
    }
  })

  function createRunner (holder: string): RolloutController {
    return new RolloutController({
      lease: new Lease(store, clock, { name: 'rollout', holder }),
      tables: store,
      catalogueStore,
      catalogue,
      clock,
      log: createLog('silent'),
      writer: holder,
      services: { readRatings: async after => ({ ratings: ratings.slice(after), next: ratings.length }) }
    })
  }

  function addRatings (count: number, newQuality: number): void {
    for (let index = 0; index < count; index++) {
      const isNew = index % 2 === 0
      ratings.push({
        requestId: formatOfferedId({ requestId: String(ratings.length), answeredAt: clock.wall() }),
        version: isNew ? 'new' : 'old',
        score: random.chance(isNew ? newQuality : 0.9) ? 1 : 0
      })
    }
  }

  async function runRound (runner: RolloutController): Promise<void> {
    clock.advance(5000)
    catalogue.installSnapshot(await catalogueStore.readSnapshot())
    await runner.run()
  }

  async function readVersion (id: string): Promise<VersionEntry> {
    return (await catalogueStore.readEntry(`version/${id}`))?.entry as VersionEntry
  }

  it('shifts all traffic from the old version to a good version, in steps that are catalogue revisions', async () => {
    const runner = createRunner('one')
    const shares = new Set<number>()
    for (let index = 0; index < 300 && (await readVersion('old')).trafficShare > 0; index++) {
      addRatings(10, 0.9)
      await runRound(runner)
      shares.add(Math.round((await readVersion('new')).trafficShare))
    }
    assert.deepEqual([...shares], [1, 5, 11, 33, 100])
    const { state, trafficShare, whenCutOff } = await readVersion('new')
    assert.deepEqual({ state, trafficShare, whenCutOff }, { state: 'in-service', trafficShare: 100, whenCutOff: 'continue' })
  })

  // Guards against a bad version that keeps its traffic.
  it('withdraws a bad version in a new revision (guards against a bad version that stays in service)', async () => {
    const runner = createRunner('one')
    addRatings(400, 0.4)
    await runRound(runner)
    const { state, trafficShare } = await readVersion('new')
    assert.deepEqual({ state, trafficShare }, { state: 'withdrawn', trafficShare: 0 })
    assert.equal((await readVersion('old')).trafficShare, 100)
  })

  // Guards against a decision that is stored in the rows but never applied, because the lease holder died before it changed the catalogue.
  it('applies the decision of a lease holder that died before its catalogue change (guards against a lost decision)', async () => {
    addRatings(400, 0.4)
    store.failingTable = 'catalogue'
    await assert.rejects(runRound(createRunner('one')))
    store.failingTable = ''
    assert.equal((await readVersion('new')).state, 'rolling-out')
    const successor = createRunner('two')
    for (let index = 0; index < 4; index++) await runRound(successor)
    assert.equal((await readVersion('new')).state, 'withdrawn')
  })

  // Guards against ratings that the next lease holder counts a second time.
  it('continues at the read position of the previous lease holder (guards against ratings that are counted twice)', async () => {
    addRatings(20, 0.9)
    await runRound(createRunner('one'))
    const before = await store.read(ROLLOUTS_TABLE, 'version/new')
    const successor = createRunner('two')
    for (let index = 0; index < 4; index++) await runRound(successor)
    assert.deepEqual((await store.read(ROLLOUTS_TABLE, 'version/new'))?.value, before?.value)
  })

  // Guards against a rollout that reverts the withdrawal of a version by an operator.
  it('leaves a version withdrawn that an operator withdrew during its rollout (guards against overriding an operator)', async () => {
    const runner = createRunner('one')
    await runRound(runner)
    const found = await catalogueStore.readEntry('version/new')
    await catalogueStore.write({ key: 'version/new', entry: testVersion('new', { state: 'withdrawn', trafficShare: 0 }), basedOn: found?.revision ?? 0, writer: 'operator' })
    for (let index = 0; index < 30; index++) {
      addRatings(20, 0.9)
      await runRound(runner)
    }
    assert.equal((await readVersion('new')).state, 'withdrawn')
  })
})

describe('identifiers of offered responses', () => {
  // Guards against ratings that cannot be assigned to a step of a cascade.
  it('contain the position in a cascade (guards against ratings without their position)', () => {
    const place = { cascade: 'draft', step: 1, signal: 'weak' as const, kind: 'taller/short/0s' }
    const answer = { requestId: '5f0c-1', answeredAt: 1700000000000, place }
    assert.deepEqual(parseOfferedId(formatOfferedId(answer)), answer)
    assert.equal(parseOfferedId('of-another-origin'), undefined)
  })
})
