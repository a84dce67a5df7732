/** Instances that share their reads of a store in memory, over real sockets. */

import { PeerDatagrams } from '#jayfall/peers'
import { SystemClock, createRandomSource, delay } from '#jayfall/shared'
import { PlatformError, WatchableTableStore, type TableChange, type TableChanges, type TablePosition, type TableRow, type TableWrite } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { SharedTableStore } from '../../JayfallSharedTableStore'
import { followTable } from '../../JayfallTableFeed'

const INSTANCE_COUNT = 9
export const ZONES = ['valdivia', 'osorno', 'chiloe']
const LIMITS = { change: 2000, contact: 3000 }
const POLL_INTERVAL_MILLISECONDS = 5
/** The platform allows 2 s from the acknowledgement of a change until it is in force. */
export const PROPAGATION_LIMIT_MILLISECONDS = 2000
/** Time within which a single instance reads from the store. */
const SETTLING_LIMIT_MILLISECONDS = 10_000

/** The changes in the store that all instances use. */
export class SharedRows {
  changes: { readonly table: string, readonly change: TableChange }[] = []
  revision = 1
  era = 1

  put (table: string, key: string, value: unknown): void {
    this.changes.push({ table, change: { key, value, position: { era: this.era, revision: ++this.revision } } })
  }

  /** Loses the newest changes. Their revisions are given out again. */
  restore (lostCount: number): void {
    this.era++
    const kept = this.changes.slice(0, this.changes.length - lostCount)
    this.revision = kept[kept.length - 1].change.position.revision
    this.changes = kept.map(({ table, change }) => ({ table, change: { ...change, position: { era: this.era, revision: change.position.revision } } }))
  }
}

/** One instance's connection to the store. */
export class MemoryStore extends WatchableTableStore {
  calls = 0
  wholeReadings = 0
  isCutOff = false
  /** Time until a call that is cut off fails beyond its wait, in milliseconds. */
  silence = 0
  private knownEra = 0
  /** Milliseconds by which each answer is delayed. */
  latency = 0

  constructor (private readonly rows: SharedRows) {
    super()
  }

  override get era (): number {
    return this.knownEra
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
    this.wholeReadings++
    this.knownEra = this.rows.era
    return this.changesAfter(table, 0)
  }

  override async changes<Value> (table: string, after: TablePosition, wait: number): Promise<TableChanges<Value>> {
    this.calls++
    const end = performance.now() + wait
    for (;;) {
      if (this.isCutOff) {
        await delay(wait + this.silence)
        throw new PlatformError('outcome_unknown', 'no answer')
      }
      this.knownEra = this.rows.era
      if (after.era !== this.rows.era) throw new PlatformError('era_changed', 'the store came back from a copy')
      const reading = this.changesAfter<Value>(table, after.revision)
      if (reading.changes.length > 0 || performance.now() >= end) {
        await delay(this.latency)
        return reading
      }
      await delay(POLL_INTERVAL_MILLISECONDS)
    }
  }

  private changesAfter<Value> (table: string, revision: number): TableChanges<Value> {
    const changes = this.rows.changes.filter(row => row.table === table && row.change.position.revision > revision).map(({ change }) => change)
    return { changes: changes as TableChange<Value>[], position: { era: this.rows.era, revision: this.rows.revision }, storeTime: performance.now() }
  }
}

export interface Member {
  readonly id: string
  readonly zone: string
  readonly own: MemoryStore
  readonly shared: SharedTableStore
  readonly datagrams: PeerDatagrams
  /** The latest value of the followed row at this instance. */
  known: unknown
  isStopped: boolean
}

export const silentLog: Log = { debug () {}, info () {}, warn () {}, error () {} }

export class SharedFleet {
  rows = new SharedRows()
  members: readonly Member[] = []

  /** @param port of all instances for calls between them; tests that run at the same time need different ones. */
  constructor (private readonly port: number) {}

  async stop (): Promise<void> {
    await Promise.all(this.members.map(member => this.kill(member)))
  }

  async startMember (index: number): Promise<void> {
    const own = new MemoryStore(this.rows)
    const [id, zone, host, clock] = [`entry-${index}`, ZONES[index % ZONES.length], `127.0.1.${index + 1}`, new SystemClock()]
    const datagrams = new PeerDatagrams({ host, port: this.port, clock, log: silentLog })
    const shared = new SharedTableStore({ store: own, instance: id, zone, host, port: this.port, limits: LIMITS, isFirstStart: true, datagrams, clock, random: createRandomSource(index + 1), log: silentLog })
    const member: Member = { id, zone, own, shared, datagrams, known: undefined, isStopped: false }
    this.members = [...this.members, member]
    await datagrams.listen()
    this.follow(member)
    await shared.start()
  }

  /** Ends a member without a notice to the others. */
  async kill (member: Member): Promise<void> {
    if (!this.members.includes(member)) return
    this.members = this.members.filter(other => other !== member)
    member.isStopped = true
    member.datagrams.close()
    await member.shared.closeAbruptly()
  }

  /** Starts all instances, waits until only one of them reads from the store and returns that one. */
  async startSharing (instanceCount = INSTANCE_COUNT): Promise<Member> {
    this.rows = new SharedRows()
    this.rows.put('op', 'config', 1)
    await Promise.all(Array.from({ length: instanceCount }, (_, index) => this.startMember(index)))
    const end = performance.now() + SETTLING_LIMIT_MILLISECONDS
    while (performance.now() < end) {
      const before = this.members.map(({ own }) => own.calls)
      await delay(1500)
      const readers = this.members.filter(({ own }, index) => own.calls > before[index])
      if (readers.length === 1) return readers[0]
    }
    throw new Error('more than one instance reads from the store')
  }

  /** Waits until all members in `expected` know a value and returns the elapsed time in milliseconds. */
  async timeUntilKnown (value: unknown, expected = this.members): Promise<number> {
    const startedAt = performance.now()
    while (expected.some(({ known }) => known !== value)) {
      if (performance.now() - startedAt > 2 * PROPAGATION_LIMIT_MILLISECONDS) throw new Error(`not known everywhere: ${expected.map(({ known }) => known).join(', ')}`)
      await delay(POLL_INTERVAL_MILLISECONDS)
    }
    return performance.now() - startedAt
  }

  private async follow (member: Member): Promise<void> {
    for await (const event of followTable({ store: member.shared, table: 'op', random: createRandomSource(1), isStopped: () => member.isStopped })) {
      if (event.kind !== 'lost') for (const { value } of event.rows) member.known = value
    }
  }
}
