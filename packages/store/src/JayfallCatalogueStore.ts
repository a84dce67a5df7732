/**
 * Reads and writes the catalogue in the platform's table service.
 *
 * A head row contains the catalogue revision. Each change is one transaction that increments the revision,
 * writes the entry and appends the change to the change log, from which readers fetch only newer changes.
 */

import { randomUUID } from 'node:crypto'

import { CatalogueError, changeKey, entryKey, type CatalogueChange, type CatalogueEntry, type CatalogueSnapshot, type RevisedEntry } from '#jayfall/catalogue'

import { CATALOGUE_TABLE, CHANGES_TABLE, HEAD_KEY, HEAD_TABLE, MAXIMUM_HEAD_ATTEMPTS } from './JayfallStoreConstants'
import { PlatformError, isPlatformError } from './JayfallPlatformError'
import { conflictsOf, listRows, type TableRow, type TableStore } from './JayfallTableStore'

/** The value of the head row. */
interface HeadRow {
  readonly revision: number
}

/** The value of an entry's row. `entry` is null after the removal of the entry. */
interface EntryRow {
  readonly revision: number
  readonly entry: CatalogueEntry | null
}

/** A requested change of one entry. */
export interface CatalogueEdit {
  readonly key: string
  /** The new entry; null removes it. */
  readonly entry: CatalogueEntry | null
  /** The catalogue revision of the last change of the entry when the writer read it; 0 when the entry was absent. */
  readonly basedOn: number
  /** Identifies the writer in the change log. */
  readonly writer: string
}

/** The catalogue in a table store. */
export class CatalogueStore {
  constructor (private readonly store: TableStore) {}

  /** Reads the revision of the last accepted change; 0 when there is none. */
  async readHead (): Promise<number> {
    return (await this.store.read<HeadRow>(HEAD_TABLE, HEAD_KEY))?.value.revision ?? 0
  }

  /** Reads all changes above `revision`, in order and without a gap. */
  async readChanges (revision: number): Promise<readonly CatalogueChange[]> {
    const changes: CatalogueChange[] = []
    for await (const row of listRows<CatalogueChange>(this.store, CHANGES_TABLE, '', changeKey(revision))) {
      changes.push(row.value)
    }
    return changes
  }

  /** Reads all entries at one revision. The entries are listed and then updated from the change log. */
  async readSnapshot (): Promise<CatalogueSnapshot> {
    const before = await this.readHead()
    const rows = new Map<string, EntryRow>()
    for await (const row of listRows<EntryRow>(this.store, CATALOGUE_TABLE, '')) rows.set(row.key, row.value)
    const changes = await this.readChanges(before)
    // The listing is not atomic, so single entries may be newer than `before`. The change log updates all entries to the same revision.
    for (const change of changes) rows.set(change.key, { revision: change.revision, entry: change.entry })
    const entries = [...rows.values()].filter((row): row is RevisedEntry => row.entry !== null)
    return { revision: changes[changes.length - 1]?.revision ?? before, entries }
  }

  /** Reads one entry and the revision of its last change; resolves to undefined when the entry is absent. */
  async readEntry (key: string): Promise<RevisedEntry | undefined> {
    const value = (await this.store.read<EntryRow>(CATALOGUE_TABLE, key))?.value
    return value === undefined || value.entry === null ? undefined : { revision: value.revision, entry: value.entry }
  }

  /**
   * Writes one edit and returns its revision.
   * @throws PlatformError `conflict` when the entry changed since `basedOn`; `outcome_unknown` when the platform did not answer the write
   * and the change is not in the change log.
   */
  async write (edit: CatalogueEdit): Promise<number> {
    if (edit.entry !== null && entryKey(edit.entry) !== edit.key) {
      throw new CatalogueError('entry_invalid', `the entry's kind and id do not match its key ${edit.key}`)
    }
    const writeId = randomUUID()
    for (let attempt = 0; attempt < MAXIMUM_HEAD_ATTEMPTS; attempt++) {
      const revision = await this.tryWrite(edit, writeId)
      if (revision !== undefined) return revision
    }
    throw new PlatformError('conflict', 'other writers kept changing the catalogue; try again')
  }

  /** Makes one attempt; resolves to undefined when another writer changed only the head row at the same time. */
  private async tryWrite (edit: CatalogueEdit, writeId: string): Promise<number | undefined> {
    const head = await this.store.read<HeadRow>(HEAD_TABLE, HEAD_KEY)
    const row = await this.store.read<EntryRow>(CATALOGUE_TABLE, edit.key)
    assertUnchanged(edit, row)
    const revision = (head?.value.revision ?? 0) + 1
    const change: CatalogueChange = { revision, key: edit.key, entry: edit.entry, writer: edit.writer, writeId }
    try {
      await this.store.transact([
        { table: HEAD_TABLE, key: HEAD_KEY, value: { revision }, ifRevision: head?.revision ?? 0 },
        { table: CATALOGUE_TABLE, key: edit.key, value: { revision, entry: edit.entry }, ifRevision: row?.revision ?? 0 },
        { table: CHANGES_TABLE, key: changeKey(revision), value: change, ifRevision: 0 }
      ])
      return revision
    } catch (error) {
      if (isPlatformError(error, 'outcome_unknown')) return await this.recogniseOwnWrite(revision, writeId, error)
      if (isPlatformError(error, 'conflict') && conflictsOf(error).every(({ table }) => table !== CATALOGUE_TABLE)) return undefined
      if (isPlatformError(error, 'conflict')) throw entryConflict(edit, error)
      throw error
    }
  }

  /**
   * Determines the outcome of a write whose reply was lost: its revision when the write took effect, and undefined when
   * another write has that revision. When no change has the revision, the write may still take effect.
   * @throws PlatformError `outcome_unknown` in this case.
   */
  private async recogniseOwnWrite (revision: number, writeId: string, cause: PlatformError): Promise<number | undefined> {
    const row = await this.store.read<CatalogueChange>(CHANGES_TABLE, changeKey(revision))
    if (row === undefined) throw new PlatformError('outcome_unknown', 'the platform did not answer the write, and it has not taken effect so far', cause)
    return row.value.writeId === writeId ? revision : undefined
  }
}

function assertUnchanged (edit: CatalogueEdit, row: TableRow<EntryRow> | undefined): void {
  const current = row === undefined || row.value.entry === null ? 0 : row.value.revision
  if (current !== edit.basedOn) throw entryConflict(edit)
}

function entryConflict (edit: CatalogueEdit, cause?: unknown): PlatformError {
  return new PlatformError('conflict', `${edit.key} was changed by someone else since revision ${edit.basedOn}`, cause)
}
