import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'

import { entryKey, InstalledCatalogue, type VersionEntry } from '#jayfall/catalogue'
import { CatalogueStore, Lease, PlatformError, TableStore, type AnswerRating, type TableRow, type TableWrite } from '#jayfall/store'
import { ManualClock, RandomSource } from '#jayfall/shared'
import { createLog } from '#jayfall/telemetry'
import { testVersion } from '#jayfall/testbed'

import { formatOfferedId, parseOfferedId } from '../../JayfallRatingOffer'
import { RolloutRunner } from '../../JayfallRolloutRunner'
import { ROLLOUTS_TABLE } from '../../JayfallRolloutRows'

class MemoryTableStore extends TableStore {
  private readonly rows = new Map<string, TableRow>()
  private revision = 0
  /** Tables whose writes fail. */
  refused = ''

  override async transact (writes: readonly TableWrite[]): Promise<readonly number[]> {
    if (writes.some(({ table }) => table === this.refused)) throw new PlatformError('unavailable', 'refused')
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

describe('RolloutRunner', () => {
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

  function createRunner (holder: string): RolloutRunner {
    return new RolloutRunner({
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

  function rate (count: number, newQuality: number): void {
    for (let index = 0; index < count; index++) {
      const isNew = index % 2 === 0
      ratings.push({
        requestId: formatOfferedId({ requestId: String(ratings.length), answeredAt: clock.wall() }),
        version: isNew ? 'new' : 'old',
        score: random.chance(isNew ? newQuality : 0.9) ? 1 : 0
      })
    }
  }

  async function round (runner: RolloutRunner): Promise<void> {
    clock.advance(5000)
    catalogue.installSnapshot(await catalogueStore.readSnapshot())
    await runner.run()
  }

  async function readVersion (id: string): Promise<VersionEntry> {
    return (await catalogueStore.readEntry(`version/${id}`))?.entry as VersionEntry
  }

  it('brings a good version to all traffic and the old one to none, in steps that are revisions', async () => {
    const runner = createRunner('one')
    const shares = new Set<number>()
    for (let index = 0; index < 300 && (await readVersion('old')).trafficShare > 0; index++) {
      rate(10, 0.9)
      await round(runner)
      shares.add(Math.round((await readVersion('new')).trafficShare))
    }
    assert.deepEqual([...shares], [1, 5, 11, 33, 100])
    const { state, trafficShare, whenCutOff } = await readVersion('new')
    assert.deepEqual({ state, trafficShare, whenCutOff }, { state: 'in-service', trafficShare: 100, whenCutOff: 'continue' })
  })

  it('guards against a bad version that stays: it is withdrawn by a new revision', async () => {
    const runner = createRunner('one')
    rate(400, 0.4)
    await round(runner)
    const { state, trafficShare } = await readVersion('new')
    assert.deepEqual({ state, trafficShare }, { state: 'withdrawn', trafficShare: 0 })
    assert.equal((await readVersion('old')).trafficShare, 100)
  })

  it('guards against a decision that is lost when the holder dies before its catalogue change', async () => {
    rate(400, 0.4)
    store.refused = 'catalogue'
    await assert.rejects(round(createRunner('one')))
    store.refused = ''
    assert.equal((await readVersion('new')).state, 'rolling-out')
    const successor = createRunner('two')
    for (let index = 0; index < 4; index++) await round(successor)
    assert.equal((await readVersion('new')).state, 'withdrawn')
  })

  it('guards against counting ratings twice: a successor goes on from the same place', async () => {
    rate(20, 0.9)
    await round(createRunner('one'))
    const before = await store.read(ROLLOUTS_TABLE, 'version/new')
    const successor = createRunner('two')
    for (let index = 0; index < 4; index++) await round(successor)
    assert.deepEqual((await store.read(ROLLOUTS_TABLE, 'version/new'))?.value, before?.value)
  })

  it('guards against overriding an operator: a version withdrawn during its roll-out stays withdrawn', async () => {
    const runner = createRunner('one')
    await round(runner)
    const found = await catalogueStore.readEntry('version/new')
    await catalogueStore.write({ key: 'version/new', entry: testVersion('new', { state: 'withdrawn', trafficShare: 0 }), basedOn: found?.revision ?? 0, writer: 'operator' })
    for (let index = 0; index < 30; index++) {
      rate(20, 0.9)
      await round(runner)
    }
    assert.equal((await readVersion('new')).state, 'withdrawn')
  })
})

describe('offered identifiers', () => {
  it('guards against ratings that lose their place in a cascade', () => {
    const place = { cascade: 'draft', step: 1, signal: 'weak' as const, kind: 'taller/short/0s' }
    const answer = { requestId: '5f0c-1', answeredAt: 1700000000000, place }
    assert.deepEqual(parseOfferedId(formatOfferedId(answer)), answer)
    assert.equal(parseOfferedId('of-another-origin'), undefined)
  })
})
