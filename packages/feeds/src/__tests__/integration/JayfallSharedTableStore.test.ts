/** Tests of instances of one zone that share their reads of the store over real sockets; the store is in memory. */

import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import { afterEach, describe, it } from 'node:test'

import { SystemClock, createRandomSource, delay } from '#jayfall/shared'
import { PlatformError, WatchableTableStore, type TableChange, type TableChanges, type TableRow, type TableWrite } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { InstanceRegistry } from '../../JayfallInstanceRegistry'
import { SharedTableStore } from '../../JayfallSharedTableStore'
import { followTable } from '../../JayfallTableFeed'

const INSTANCE_COUNT = 6
const POLL_INTERVAL_MILLISECONDS = 5
/** The platform allows 2 s from the acknowledgement of a change until it is in force. */
const PROPAGATION_LIMIT_MILLISECONDS = 2000
/** Time within which a zone has a single reader; instances list each other about 3 s after their start. */
const SETTLING_LIMIT_MILLISECONDS = 10_000

/** The changes in the store that all instances use. */
class SharedRows {
  readonly changes: { readonly table: string, readonly change: TableChange }[] = []
  revision = 1

  put (table: string, key: string, value: unknown): void {
    this.changes.push({ table, change: { key, value, revision: ++this.revision } })
  }
}

/** One instance's connection to the store. */
class MemoryStore extends WatchableTableStore {
  calls = 0
  isCutOff = false

  constructor (private readonly rows: SharedRows) {
    super()
  }

  override async transact (writes: readonly TableWrite[]): Promise<readonly number[]> {
    for (const { table, key, value } of writes) this.rows.put(table, key, value ?? undefined)
    return writes.map(() => this.rows.revision)
  }

  override async read (): Promise<undefined> {}

  override async list<Value> (table: string, prefix: string): Promise<readonly TableRow<Value>[]> {
    const latest = new Map(this.rows.changes.filter(row => row.table === table && row.change.key.startsWith(prefix)).map(({ change }) => [change.key, change]))
    return [...latest.values()].filter(({ value }) => value !== undefined) as unknown as readonly TableRow<Value>[]
  }

  override async snapshot<Value> (table: string): Promise<TableChanges<Value>> {
    return this.changesAfter(table, 0)
  }

  override async changes<Value> (table: string, revision: number, wait: number): Promise<TableChanges<Value>> {
    this.calls++
    const end = performance.now() + wait
    for (;;) {
      if (this.isCutOff) {
        await delay(wait)
        throw new PlatformError('outcome_unknown', 'no answer')
      }
      const reading = this.changesAfter<Value>(table, revision)
      if (reading.changes.length > 0 || performance.now() >= end) return reading
      await delay(POLL_INTERVAL_MILLISECONDS)
    }
  }

  private changesAfter<Value> (table: string, revision: number): TableChanges<Value> {
    const changes = this.rows.changes.filter(row => row.table === table && row.change.revision > revision).map(({ change }) => change)
    return { changes: changes as TableChange<Value>[], revision: this.rows.revision, storeTime: performance.now() }
  }
}

interface Member {
  readonly id: string
  readonly own: MemoryStore
  readonly shared: SharedTableStore
  /** The latest value of the followed row at this instance. */
  known: unknown
  isStopped: boolean
}

const silentLog: Log = { debug () {}, info () {}, warn () {}, error () {} }

describe('SharedTableStore', () => {
  const rows: { current: SharedRows } = { current: new SharedRows() }
  let members: Member[] = []

  afterEach(async () => {
    for (const member of members) member.isStopped = true
    await Promise.all(members.map(({ shared }) => shared.closeAbruptly()))
    members = []
  })

  async function startMember (id: string): Promise<Member> {
    const own = new MemoryStore(rows.current)
    const shared = new SharedTableStore({ store: own, instance: id, zone: 'valdivia', host: '127.0.0.1', port: 0, clock: new SystemClock(), random: createRandomSource(members.length + 1), log: silentLog })
    const member: Member = { id, own, shared, known: undefined, isStopped: false }
    members.push(member)
    follow(member)
    await shared.start()
    return member
  }

  async function follow (member: Member): Promise<void> {
    for await (const event of followTable({ store: member.shared, table: 'op', random: createRandomSource(1), isStopped: () => member.isStopped })) {
      if (event.kind !== 'lost') for (const { value } of event.rows) member.known = value
    }
  }

  /** Starts all instances, waits until only one of them reads from the store and returns that one. */
  async function startSharing (): Promise<Member> {
    rows.current = new SharedRows()
    rows.current.put('op', 'config', 1)
    for (let index = 0; index < INSTANCE_COUNT; index++) await startMember(`entry-${index}`)
    const end = performance.now() + SETTLING_LIMIT_MILLISECONDS
    while (performance.now() < end) {
      const before = members.map(({ own }) => own.calls)
      await delay(1500)
      const readers = members.filter(({ own }, index) => own.calls > before[index])
      if (readers.length === 1) return readers[0]
    }
    throw new Error('more than one instance reads from the store')
  }

  /** Waits until all members in `expected` know a value and returns the elapsed time in milliseconds. */
  async function timeUntilKnown (value: unknown, expected: readonly Member[]): Promise<number> {
    const startedAt = performance.now()
    while (expected.some(({ known }) => known !== value)) {
      if (performance.now() - startedAt > 2 * PROPAGATION_LIMIT_MILLISECONDS) throw new Error(`not known everywhere: ${expected.map(({ known }) => known).join(', ')}`)
      await delay(POLL_INTERVAL_MILLISECONDS)
    }
    return performance.now() - startedAt
  }

  it('reads the store through one instance, which passes changes on immediately (guards against reads that grow with the number of instances)', async () => {
    await startSharing()
    rows.current.put('op', 'config', 2)
    assert.ok(await timeUntilKnown(2, members) < 500)
  })

  it('delivers large rows to all instances in time and keeps one reader (guards against instances that wait for rows which the reader does not send)', async () => {
    const reader = await startSharing()
    const value = 'x'.repeat(400_000)
    rows.current.put('op', 'config', value)
    assert.ok(await timeUntilKnown(value, members) < 500)
    const before = members.map(({ own }) => own.calls)
    await delay(1500)
    assert.deepEqual(members.filter(({ own }, index) => own.calls > before[index]), [reader])
  })

  it('delivers changes in time when the reader is cut off from the store (guards against a zone that keeps an old configuration)', async () => {
    const reader = await startSharing()
    reader.own.isCutOff = true
    await delay(50)
    rows.current.put('op', 'config', 2)
    assert.ok(await timeUntilKnown(2, members.filter(member => member !== reader)) < PROPAGATION_LIMIT_MILLISECONDS)
  })

  it('delivers changes in time when the reader is killed', async () => {
    const reader = await startSharing()
    reader.isStopped = true
    await reader.shared.closeAbruptly()
    rows.current.put('op', 'config', 2)
    assert.ok(await timeUntilKnown(2, members.filter(member => member !== reader)) < PROPAGATION_LIMIT_MILLISECONDS)
  })

  it('delivers changes in time when the reader accepts calls and does not answer (guards against a frozen reader)', async () => {
    const reader = await startSharing()
    const [row] = await reader.own.list<{ readonly address: string }>('instances', `valdivia/${reader.id}`)
    reader.isStopped = true
    await reader.shared.closeAbruptly()
    // The server accepts connections and never answers.
    const frozen = net.createServer(() => {}).listen(Number(row.value.address.split(':')[1]), '127.0.0.1')
    frozen.unref()
    rows.current.put('op', 'config', 2)
    assert.ok(await timeUntilKnown(2, members.filter(member => member !== reader)) < PROPAGATION_LIMIT_MILLISECONDS)
  })

  it('removes rows of instances that ended long ago (guards against a list that grows without bound)', async () => {
    rows.current = new SharedRows()
    rows.current.put('instances', 'valdivia/old', { id: 'old', zone: 'valdivia', address: '127.0.0.1:1', at: Date.now() - 3_600_000 })
    const store = new MemoryStore(rows.current)
    const listings: number[] = []
    const register = new InstanceRegistry({ self: { id: 'new', zone: 'valdivia', address: '127.0.0.1:2' }, store, clock: new SystemClock(), random: createRandomSource(1), log: silentLog, onListing: found => listings.push(found.length) })
    await register.start()
    for (let waited = 0; listings.length === 0 && waited < SETTLING_LIMIT_MILLISECONDS; waited += 100) await delay(100)
    await register.stop()
    assert.deepEqual(listings, [1])
    assert.equal((await store.list('instances', 'valdivia/')).length, 0)
  })
})
