/** In-memory stores whose calls fail as a test specifies. */

import { ObjectStore, PlatformError, TableStore, type TableConflict, type TableRow, type TableWrite } from '#jayfall/store'

/**
 * - `down`: refused; nothing happens.
 * - `lost-before`: no answer; nothing happens.
 * - `lost-after`: carried out; no answer.
 * - `late`: no answer; carried out when the test calls `deliverLate`.
 */
export type StoreFault = 'none' | 'down' | 'lost-before' | 'lost-after' | 'late'

/** Applies the fault that the test chooses to each call. */
class FaultInjector {
  private lateCalls: readonly (() => void)[] = []
  calls = 0

  constructor (public nextFault: () => StoreFault = () => 'none') {}

  async run<Result> (work: () => Result): Promise<Result> {
    this.calls++
    const fault = this.nextFault()
    await Promise.resolve()
    if (fault === 'none') return work()
    if (fault === 'down') throw new PlatformError('unavailable', 'refused')
    if (fault === 'lost-after') runWithoutCaller(work)
    if (fault === 'late') this.lateCalls = [...this.lateCalls, work]
    throw new PlatformError('outcome_unknown', 'no answer')
  }

  /** Executes the calls that had the fault `late`. */
  deliverLateCalls (): void {
    const lateCalls = this.lateCalls
    this.lateCalls = []
    lateCalls.forEach(runWithoutCaller)
  }
}

export class FakeTableStore extends TableStore {
  readonly faults = new FaultInjector()
  /** Number of writes in each transaction that was executed. */
  readonly transactions: number[] = []
  private readonly rows = new Map<string, TableRow>()
  private lastRevision = 0

  override transact (writes: readonly TableWrite[]): Promise<readonly number[]> {
    return this.faults.run(() => {
      const conflicts = writes.flatMap(write => this.findConflicts(write))
      if (conflicts.length > 0) throw new PlatformError('conflict', 'conflict', undefined, { conflicts })
      this.transactions.push(writes.length)
      return writes.map(write => this.write(write))
    })
  }

  override read<Value> (table: string, key: string): Promise<TableRow<Value> | undefined> {
    return this.faults.run(() => this.rows.get(`${table}:${key}`) as TableRow<Value> | undefined)
  }

  override async list<Value> (table: string, prefix: string, after = ''): Promise<readonly TableRow<Value>[]> {
    return await this.faults.run(() => [...this.rows].filter(([name, { key }]) => name.startsWith(`${table}:${prefix}`) && key > after)
      .map(([, row]) => row as TableRow<Value>).sort((left, right) => left.key < right.key ? -1 : 1))
  }

  /** Reads a row without any fault. */
  peek<Value> (table: string, key: string): Value | undefined {
    return this.rows.get(`${table}:${key}`)?.value as Value | undefined
  }

  private findConflicts ({ table, key, ifRevision }: TableWrite): readonly TableConflict[] {
    const row = this.rows.get(`${table}:${key}`)
    const revision = row?.revision ?? 0
    return ifRevision === undefined || ifRevision === revision ? [] : [{ table, key, revision, value: row?.value ?? null }]
  }

  private write ({ table, key, value }: TableWrite): number {
    this.lastRevision++
    if (value === null) this.rows.delete(`${table}:${key}`)
    else this.rows.set(`${table}:${key}`, { key, value, revision: this.lastRevision })
    return this.lastRevision
  }
}

export class FakeObjectStore extends ObjectStore {
  readonly faults = new FaultInjector()
  readonly objects = new Map<string, string>()

  override putIfAbsent (name: string, value: unknown): Promise<boolean> {
    return this.faults.run(() => {
      if (this.objects.has(name)) return false
      this.objects.set(name, JSON.stringify(value))
      return true
    })
  }

  override get<Value> (name: string): Promise<Value | undefined> {
    return this.faults.run(() => {
      const text = this.objects.get(name)
      return text === undefined ? undefined : JSON.parse(text) as Value
    })
  }

  override list (prefix: string, after = ''): Promise<readonly string[]> {
    return this.faults.run(() => [...this.objects.keys()].filter(name => name.startsWith(prefix) && name > after).sort())
  }
}

function runWithoutCaller (work: () => unknown): void {
  try {
    work()
  } catch (error) {
    // The caller of a late or lost call gets no answer, so a refusal by the store is ignored.
    if (!(error instanceof PlatformError)) throw error
  }
}
