/**
 * The recent changes of one table, kept for other instances.
 *
 * Of each row only its last change is kept, because readers are interested in the state and not in
 * the way to it. A reader whose revision is older than the kept changes must ask the store.
 */

import { type TableChange, type TableChanges } from '#jayfall/store'

import { MAXIMUM_HISTORY_ROWS } from './JayfallFeedConstants'

export class FeedHistory {
  /** The last change of each row, in the order of revisions. */
  private readonly changes = new Map<string, TableChange>()
  /** All changes after this revision, up to `known`, are kept. */
  private keptAfter = Infinity
  private known = 0
  private storeTime = 0
  private readAt = -Infinity

  /** Monotonic milliseconds up to which the store's changes are known. */
  get completeUntil (): number {
    return this.readAt
  }

  /** Takes note that the state as of a revision was read. */
  begin (revision: number, storeTime: number, readAt: number): void {
    this.changes.clear()
    this.keptAfter = revision
    this.note(revision, storeTime, readAt)
  }

  /** Takes the changes that were read after the revision `after`. */
  take (after: number, { changes, revision, storeTime }: TableChanges, readAt: number): void {
    // Whoever is behind `after` would miss what lies between.
    if (after > this.known) this.begin(after, storeTime, readAt)
    for (const change of changes) this.keep(change)
    this.note(Math.max(this.known, revision), storeTime, readAt)
  }

  /** The changes after a revision; undefined when some of them are not kept. */
  after (revision: number, now: number): TableChanges | undefined {
    if (revision < this.keptAfter) return undefined
    const changes = [...this.changes.values()].filter(change => change.revision > revision)
    return { changes, revision: Math.max(revision, this.known), storeTime: this.storeTime + now - this.readAt, isRelayed: true }
  }

  private keep (change: TableChange): void {
    const known = this.changes.get(change.key)
    if (known !== undefined && known.revision >= change.revision) return
    this.changes.delete(change.key)
    this.changes.set(change.key, change)
    if (this.changes.size <= MAXIMUM_HISTORY_ROWS) return
    const [oldest] = this.changes.values()
    this.changes.delete(oldest.key)
    this.keptAfter = Math.max(this.keptAfter, oldest.revision)
  }

  private note (revision: number, storeTime: number, readAt: number): void {
    this.known = revision
    if (readAt < this.readAt) return
    this.storeTime = storeTime
    this.readAt = readAt
  }
}
