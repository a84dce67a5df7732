/**
 * Group commit of rows: one transaction in flight, each with many independent rows.
 *
 * The table service carries out a few hundred transactions a second, fewer than there are calls.
 */

import { conflictsOf, isPlatformError, type TableConflict, type TableWrite } from '#jayfall/store'

import { MAXIMUM_ROWS_PER_COMMIT } from './JayfallLedgerConstants'
import { type StoreGate } from './JayfallStoreGate'

/** A conditional write of one row, and writes of other rows that take effect with it. */
export interface RowChange {
  readonly row: TableWrite
  readonly companions: readonly TableWrite[]
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
  private running = false

  constructor (private readonly gate: StoreGate) {}

  /**
   * Writes one row. A conflict of another row in the same transaction does not affect it.
   * @throws PlatformError when the store gave no answer about the row, or refused it.
   */
  commit (change: RowChange): Promise<CommitResult> {
    return new Promise((resolve, reject) => {
      this.queue.push({ change, resolve, reject })
      if (!this.running) this.run().catch(reject)
    })
  }

  private async run (): Promise<void> {
    this.running = true
    // Changes of the same tick share the first transaction.
    await Promise.resolve()
    while (this.queue.length > 0) await this.commitBatch(this.takeBatch())
    this.running = false
  }

  /** Two writes of one row would both pass the condition within one transaction, so the later one waits. */
  private takeBatch (): readonly PendingChange[] {
    const batch: PendingChange[] = []
    const rest: PendingChange[] = []
    const rows = new Set<string>()
    for (const pending of this.queue) {
      const name = rowName(pending.change.row)
      if (batch.length === MAXIMUM_ROWS_PER_COMMIT || rows.has(name)) rest.push(pending)
      else batch.push(pending)
      rows.add(name)
    }
    this.queue = rest
    return batch
  }

  private async commitBatch (batch: readonly PendingChange[]): Promise<void> {
    const writes = [...batch.map(({ change }) => change.row), ...batch.flatMap(({ change }) => change.companions)]
    try {
      const revisions = await this.gate.run(store => store.transact(writes))
      batch.forEach(({ resolve }, index) => resolve({ kind: 'written', revision: revisions[index] }))
    } catch (error) {
      this.settleFailure(batch, error)
    }
  }

  private settleFailure (batch: readonly PendingChange[], error: unknown): void {
    const conflicts = new Map(isPlatformError(error, 'conflict') ? conflictsOf(error).map(row => [rowName(row), row]) : [])
    const rest = batch.filter(({ change, resolve }) => {
      const row = conflicts.get(rowName(change.row))
      if (row !== undefined) resolve({ kind: 'conflict', row })
      return row === undefined
    })
    // A conflict means that nothing was written, so the other rows can be written again.
    if (rest.length < batch.length) this.queue = [...rest, ...this.queue]
    else for (const { reject } of rest) reject(error)
  }
}

function rowName ({ table, key }: Pick<TableWrite, 'table' | 'key'>): string {
  return `${table}/${key}`
}
