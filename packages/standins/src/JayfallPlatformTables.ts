/** The rows and objects of the platform stand-in. */

export interface StoredRow {
  readonly value: unknown
  readonly revision: number
}

export interface StandInWrite {
  readonly table: string
  readonly key: string
  readonly value: unknown
  readonly ifRevision?: number
}

export interface StandInConflict extends StoredRow {
  readonly table: string
  readonly key: string
}

export type TransactionResult =
  | { readonly revisions: readonly number[] }
  | { readonly conflict: readonly StandInConflict[] }

/** Tables with transactions, in memory. */
export class PlatformTables {
  private readonly tables = new Map<string, Map<string, StoredRow>>()
  private lastRevision = 0

  transact (writes: readonly StandInWrite[]): TransactionResult {
    const conflict = writes.flatMap(write => this.findConflict(write))
    if (conflict.length > 0) return { conflict }
    return { revisions: writes.map(write => this.write(write)) }
  }

  read (table: string, key: string): StoredRow | undefined {
    return this.tables.get(table)?.get(key)
  }

  list (table: string, prefix: string, after: string, limit: number): readonly (StoredRow & { readonly key: string })[] {
    const rows = [...this.tables.get(table) ?? []].filter(([key]) => key.startsWith(prefix) && key > after)
    return rows.sort(([left], [right]) => left < right ? -1 : 1).slice(0, limit).map(([key, row]) => ({ key, ...row }))
  }

  private findConflict ({ table, key, ifRevision }: StandInWrite): readonly StandInConflict[] {
    const row = this.read(table, key)
    const revision = row?.revision ?? 0
    if (ifRevision === undefined || ifRevision === revision) return []
    return [{ table, key, revision, value: row?.value ?? null }]
  }

  private write ({ table, key, value }: StandInWrite): number {
    this.lastRevision++
    const rows = this.tables.get(table) ?? new Map<string, StoredRow>()
    this.tables.set(table, rows)
    if (value === null) rows.delete(key)
    else rows.set(key, { value, revision: this.lastRevision })
    return this.lastRevision
  }
}
