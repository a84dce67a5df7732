/**
 * The recent changes of one table, kept for other instances.
 *
 * Only the last change of each row is kept, because other instances need the current state and not the
 * intermediate ones. An instance whose revision is older than the kept changes has to read from the store.
 */

import { type TableChange, type TableChanges } from '#jayfall/store'

import { MAXIMUM_HISTORY_ROWS } from './JayfallFeedConstants'

/** The last change of each recently changed row of one table. */
export class FeedHistory {
  /** The last change of each row, in the order of revisions. */
  private readonly changes = new Map<string, TableChange>()
  /** All changes after this revision, up to `latestRevision`, are kept. */
  private completeAfter = Infinity
  private latestRevision = 0
  private newestChange = 0
  private storeTime = 0
  /** Monotonic milliseconds. */
  private readAt = -Infinity

  /** Monotonic milliseconds up to which all changes of the store are known. */
  get completeUntil (): number {
    return this.readAt
  }

  /** Revision of the newest change that may be unknown to an instance behind it. */
  get changedRevision (): number {
    return this.newestChange
  }

  /** Revision up to which all changes are known. */
  get completeRevision (): number {
    return this.latestRevision
  }

  /** The store's clock at a time of this instance's monotonic clock, in milliseconds. */
  storeTimeAt (now: number): number {
    return this.storeTime + now - this.readAt
  }

  /** Discards all changes after a read of the whole table at `revision`. `storeTime` and `readAt` are in milliseconds of the store's and of this instance's monotonic clock. */
  reset (revision: number, storeTime: number, readAt: number): void {
    this.changes.clear()
    this.completeAfter = revision
    this.newestChange = revision
    this.setRevision(revision, storeTime, readAt)
  }

  /** Adds the changes that were read after the revision `after`. */
  append (after: number, { changes, revision, storeTime }: TableChanges, readAt: number): void {
    // The changes between the latest revision and `after` are unknown, so instances behind `after` cannot be served.
    if (after > this.latestRevision) this.reset(after, storeTime, readAt)
    for (const change of changes) this.retain(change)
    this.setRevision(Math.max(this.latestRevision, revision), storeTime, readAt)
  }

  /** The changes after a revision, or undefined when some of them are not kept. */
  changesAfter (revision: number, now: number): TableChanges | undefined {
    if (revision < this.completeAfter) return undefined
    const changes = [...this.changes.values()].filter(change => change.revision > revision)
    return { changes, revision: Math.max(revision, this.latestRevision), storeTime: this.storeTimeAt(now), isRelayed: true }
  }

  private retain (change: TableChange): void {
    const retained = this.changes.get(change.key)
    if (retained !== undefined && retained.revision >= change.revision) return
    this.changes.delete(change.key)
    this.changes.set(change.key, change)
    this.newestChange = Math.max(this.newestChange, change.revision)
    if (this.changes.size <= MAXIMUM_HISTORY_ROWS) return
    const [oldest] = this.changes.values()
    this.changes.delete(oldest.key)
    this.completeAfter = Math.max(this.completeAfter, oldest.revision)
  }

  private setRevision (revision: number, storeTime: number, readAt: number): void {
    this.latestRevision = revision
    if (readAt < this.readAt) return
    this.storeTime = storeTime
    this.readAt = readAt
  }
}
