/**
 * Group commit of rows: at most one transaction is in flight, and each carries many independent rows.
 *
 * The table service executes a few hundred transactions per second, which are fewer than the calls to record.
 */

import { conflictsOf, isPlatformError, type TableConflict, type TableWrite } from '#jayfall/store'

import { MAXIMUM_ROWS_PER_COMMIT } from './JayfallLedgerConstants'
import { type StoreGate } from './JayfallStoreGate'

/** A conditional write of one row, and writes of other rows that take effect with it. */
export interface RowChange {
  readonly row: TableWrite
  readonly accompanyingWrites: readonly TableWrite[]
}

export type CommitResult =
  | { readonly kind: 'written', readonly revision: number }
  | { readonly kind: 'conflict', readonly row: TableConflict }

interface PendingChange {
  readonly change: RowChange
  readonly resolve: (result: CommitResult) => void
  readonly reject: (error: unknown) => void
}

/** Writes rows of all callers in shared transactions. */
export class RowCommitter {
  private queue: PendingChange[] = []
  private isRunning = false

  constructor (private readonly gate: StoreGate) {}

  /**
   * Writes one row. A conflict of another row in the same transaction does not affect it.
   * @throws PlatformError when the store did not answer, or refused the write.
   */
  commit (change: RowChange): Promise<CommitResult> {
    return new Promise((resolve, reject) => {
      this.queue.push({ change, resolve, reject })
      if (!this.isRunning) this.commitQueue().catch(reject)
    })
  }

  private async commitQueue (): Promise<void> {
    this.isRunning = true
    // Changes from the same turn of the event loop share the first transaction.
    await Promise.resolve()
    while (this.queue.length > 0) await this.commitBatch(this.takeBatch())
    this.isRunning = false
  }

  /** Two writes of one row would both meet their condition within one transaction, so the later one waits. */
  private takeBatch (): readonly PendingChange[] {
    const batch: PendingChange[] = []
    const remaining: PendingChange[] = []
    const rows = new Set<string>()
    for (const pending of this.queue) {
      const name = rowName(pending.change.row)
      if (batch.length === MAXIMUM_ROWS_PER_COMMIT || rows.has(name)) remaining.push(pending)
      else batch.push(pending)
      rows.add(name)
    }
    this.queue = remaining
    return batch
  }

  private async commitBatch (batch: readonly PendingChange[]): Promise<void> {
    const writes = [...batch.map(({ change }) => change.row), ...batch.flatMap(({ change }) => change.accompanyingWrites)]
    try {
      const revisions = await this.gate.run(store => store.transact(writes))
      batch.forEach(({ resolve }, index) => resolve({ kind: 'written', revision: revisions[index] }))
    } catch (error) {
      this.settleFailedBatch(batch, error)
    }
  }

  private settleFailedBatch (batch: readonly PendingChange[], error: unknown): void {
    const conflicts = new Map(isPlatformError(error, 'conflict') ? conflictsOf(error).map(row => [rowName(row), row]) : [])
    const remaining = batch.filter(({ change, resolve }) => {
      const row = conflicts.get(rowName(change.row))
      if (row !== undefined) resolve({ kind: 'conflict', row })
      return row === undefined
    })
    // A conflict means that nothing was written, so the other rows can be written again.
    if (remaining.length < batch.length) this.queue = [...remaining, ...this.queue]
    else for (const { reject } of remaining) reject(error)
  }
}

function rowName ({ table, key }: Pick<TableWrite, 'table' | 'key'>): string {
  return `${table}/${key}`
}
