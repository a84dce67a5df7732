/** The platform's transactional table service. */

import { LISTING_PAGE_ROWS } from './JayfallStoreConstants'
import { PlatformError } from './JayfallStoreError'
import { type PlatformHttp } from './JayfallStoreHttp'

/** A row and its revision, which grows with each write of the row and is never 0. */
export interface TableRow<Value = unknown> {
  readonly key: string
  readonly value: Value
  readonly revision: number
}

/** One write of a transaction. */
export interface TableWrite {
  readonly table: string
  readonly key: string
  /** null deletes the row. */
  readonly value: unknown
  /** The row's expected revision; 0 when the row must be absent; unset for no condition. */
  readonly ifRevision?: number
}

/** A row that did not meet the condition of a write. */
export interface TableConflict {
  readonly table: string
  readonly key: string
  /** 0 when the row is absent. */
  readonly revision: number
  readonly value: unknown
}

/** Tables of rows with conditional, transactional writes. */
export abstract class TableStore {
  /**
   * Carries out all writes or none and returns the rows' new revisions.
   * @throws PlatformError `conflict` with the conflicting rows in `info.conflicts`, and the codes of an unreachable platform.
   */
  abstract transact (writes: readonly TableWrite[]): Promise<readonly number[]>
  /** Reads one row, or undefined when it is absent. */
  abstract read<Value> (table: string, key: string): Promise<TableRow<Value> | undefined>
  /** Reads one page of rows in key order, after the key `after`. */
  abstract list<Value> (table: string, prefix: string, after?: string, limit?: number): Promise<readonly TableRow<Value>[]>
}

/** A row that changed; `value` is undefined when the row was removed. */
export interface TableChange<Value = unknown> {
  readonly key: string
  readonly value: Value | undefined
  readonly revision: number
}

/** Changes of a table up to a revision. */
export interface TableChanges<Value = unknown> {
  readonly changes: readonly TableChange<Value>[]
  /** Where the next reading goes on. */
  readonly revision: number
  /** The store's own steady clock, in milliseconds. */
  readonly storeTime: number
  /** Whether another instance read them from the store. */
  readonly isRelayed?: boolean
  /** The instance that read them; undefined when this one did. */
  readonly reader?: string
}

/** A table store that tells what has changed. */
export abstract class WatchableTableStore extends TableStore {
  /** Reads all rows of a table, and the revision as of which they hold. */
  abstract snapshot<Value> (table: string): Promise<TableChanges<Value>>
  /**
   * Waits up to `wait` milliseconds for changes after `revision`.
   * @throws PlatformError `history_lost` when the store no longer has them.
   */
  abstract changes<Value> (table: string, revision: number, wait: number): Promise<TableChanges<Value>>
  /** Milliseconds that may pass between two readings of changes. */
  get longestPause (): number {
    return Infinity
  }
}

/** The table service over HTTP. */
export class HttpTableStore extends TableStore {
  constructor (private readonly http: PlatformHttp) {
    super()
  }

  override async transact (writes: readonly TableWrite[]): Promise<readonly number[]> {
    const { status, body } = await this.http.call('POST', '/tables/transact', { writes })
    if (status === 409) {
      const conflicts = (body as { conflict: readonly TableConflict[] }).conflict
      throw new PlatformError('conflict', 'a condition of the transaction did not hold', undefined, { conflicts })
    }
    if (status !== 200) throw new PlatformError('malformed', `the table service answered a transaction with status ${status}`)
    return (body as { revisions: readonly number[] }).revisions
  }

  override async read<Value> (table: string, key: string): Promise<TableRow<Value> | undefined> {
    const { status, body } = await this.http.call('GET', `/tables/${table}/${encodeURIComponent(key)}`)
    if (status === 404) return undefined
    const row = body as { value: Value, revision: number }
    return { key, value: row.value, revision: row.revision }
  }

  override async list<Value> (table: string, prefix: string, after = '', limit = LISTING_PAGE_ROWS): Promise<readonly TableRow<Value>[]> {
    const query = new URLSearchParams({ prefix, after, limit: String(limit) })
    const { body } = await this.http.call('GET', `/tables/${table}?${query}`)
    return (body as { rows: readonly TableRow<Value>[] }).rows
  }
}

/** All rows whose key starts with `prefix`, page by page. */
export async function * listRows<Value> (store: TableStore, table: string, prefix: string, after = ''): AsyncGenerator<TableRow<Value>> {
  for (let last = after; ;) {
    const rows = await store.list<Value>(table, prefix, last)
    yield * rows
    if (rows.length < LISTING_PAGE_ROWS) return
    last = rows[rows.length - 1].key
  }
}

/** The conflicting rows that a `conflict` error carries. */
export function conflictsOf (error: PlatformError): readonly TableConflict[] {
  return (PlatformError.info(error).conflicts ?? []) as readonly TableConflict[]
}
