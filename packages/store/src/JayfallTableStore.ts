/** Interfaces of transactional table stores, and the client of the platform's table service. */

import { delay } from '#jayfall/shared'

import { LISTING_PAGE_ROWS } from './JayfallStoreConstants'
import { PlatformError } from './JayfallPlatformError'
import { type PlatformHttp } from './JayfallPlatformHttp'
import { type TablePosition } from './JayfallTablePosition'

/** A row and its revision, which increases with each write of the row and is never 0. */
export interface TableRow<Value = unknown> {
  readonly key: string
  readonly value: Value
  readonly revision: number
}

/** One write of a transaction. */
export interface TableWrite {
  readonly table: string
  readonly key: string
  /** The new value; null deletes the row. */
  readonly value: unknown
  /** The condition of the write: the expected revision of the row, or 0 when the row must be absent. Undefined means no condition. */
  readonly ifRevision?: number
  /** The era of the store in which `ifRevision` was read; the condition does not hold when the store is known to be in a later one. */
  readonly ifEra?: number
}

/** The present state of a row that did not meet the condition of a write. */
export interface TableConflict {
  readonly table: string
  readonly key: string
  /** Revision of the row; 0 when the row is absent. */
  readonly revision: number
  readonly value: unknown
}

/** A store of tables with conditional, transactional writes. */
export abstract class TableStore {
  /**
   * Executes all writes or none and returns the new revisions of the rows.
   * @throws PlatformError `conflict` with the conflicting rows in `info.conflicts`, or a code for a failed call.
   */
  abstract transact (writes: readonly TableWrite[]): Promise<readonly number[]>
  /** Reads one row; resolves to undefined when it is absent. */
  abstract read<Value> (table: string, key: string): Promise<TableRow<Value> | undefined>
  /** Lists one page of rows whose keys have the prefix, in key order and starting after the key `after`. */
  abstract list<Value> (table: string, prefix: string, after?: string, limit?: number): Promise<readonly TableRow<Value>[]>
}

/** A change of a row. `value` is undefined when the row was removed. */
export interface TableChange<Value = unknown> {
  readonly key: string
  readonly value: Value | undefined
  readonly position: TablePosition
}

/** The changes of a table up to a position. */
export interface TableChanges<Value = unknown> {
  readonly changes: readonly TableChange<Value>[]
  /** The position from which the next read continues. */
  readonly position: TablePosition
  /** Time of the store's own monotonic clock when it was read, in milliseconds. In an answer to another instance: the estimated time of the answer. */
  readonly storeTime: number
  /** Whether another instance read the changes from the store. */
  readonly isRelayed?: boolean
  /** Identifier of the instance that read the changes from the store; undefined when this instance did. */
  readonly reader?: string
}

/** A table store whose changes can be followed. */
export abstract class WatchableTableStore extends TableStore {
  /** The latest era that the store has named; 0 before its first answer, and for a store that names none. */
  abstract get era (): number
  /** Reads all rows of a table and the position to which they correspond. */
  abstract snapshot<Value> (table: string): Promise<TableChanges<Value>>
  /**
   * Reads the changes after a position, and waits up to `wait` milliseconds while there are none.
   * @throws PlatformError `history_lost` when the store no longer has the changes; `era_changed` when it came back from a copy
   * since, so that all rows have to be read again.
   */
  abstract changes<Value> (table: string, after: TablePosition, wait: number): Promise<TableChanges<Value>>
  /** Maximum pause between two reads of changes, in milliseconds. */
  get maximumReadPause (): number {
    return Infinity
  }

  /** Resolves after `milliseconds`, or earlier when there may be something to read. */
  pause (milliseconds: number): Promise<void> {
    return delay(milliseconds)
  }
}

/** The platform's table service, accessed over HTTP. */
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

/** Lists all rows whose keys have the prefix, page by page. */
export async function * listRows<Value> (store: TableStore, table: string, prefix: string, after = ''): AsyncGenerator<TableRow<Value>> {
  for (let last = after; ;) {
    const rows = await store.list<Value>(table, prefix, last)
    yield * rows
    if (rows.length < LISTING_PAGE_ROWS) return
    last = rows[rows.length - 1].key
  }
}

/** The conflicting rows in a `conflict` error. */
export function conflictsOf (error: PlatformError): readonly TableConflict[] {
  return (PlatformError.info(error).conflicts ?? []) as readonly TableConflict[]
}
