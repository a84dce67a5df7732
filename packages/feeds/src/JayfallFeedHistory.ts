/**
 * What one instance knows of a table: the recent changes, kept for other instances, and a digest of each row.
 *
 * Only the last change of each row is kept, because other instances need the current state and not the
 * intermediate ones. An instance whose position is before the kept changes has to read from the store.
 *
 * After all rows were read again, as in a new era of the store, the digests tell which rows differ. Only these are
 * passed on, also to instances whose position is in the era before, as long as this instance knew all that they know.
 * Of each era it knows the changes between two revisions; a row that came and went outside of them is unknown here.
 */

import { createHash } from 'node:crypto'

import { comparePositions, FIRST_POSITION, isAfter, laterPosition, type TableChange, type TableChanges, type TablePosition } from '#jayfall/store'

import { MAXIMUM_HISTORY_ROWS, MAXIMUM_KEPT_ERAS } from './JayfallFeedConstants'

/** A position after all transactions. */
const END_POSITION: TablePosition = { era: Infinity, revision: Infinity }
const DIGEST_BYTES = 9

/** The revisions of an era between which all changes were read. */
interface EraRange {
  readonly first: number
  readonly last: number
}

/** The last change of each recently changed row of one table. */
export class FeedHistory {
  /** The last change of each row, in the order of positions. */
  private readonly changes = new Map<string, TableChange>()
  /** Digests of the values of all known rows, by key. */
  private readonly digests = new Map<string, string>()
  private readonly eraRanges = new Map<number, EraRange>()
  /** All changes after this position, up to `latest`, are kept. */
  private completeAfter = END_POSITION
  private latest = FIRST_POSITION
  private newestChange = FIRST_POSITION
  private storeTime = 0
  /** Monotonic milliseconds. */
  private readAt = -Infinity

  /** Monotonic milliseconds up to which all changes of the store are known. */
  get completeUntil (): number {
    return this.readAt
  }

  /** Position of the newest change that may be unknown to an instance behind it. */
  get changedPosition (): TablePosition {
    return this.newestChange
  }

  /** Position up to which all changes are known. */
  get completePosition (): TablePosition {
    return this.latest
  }

  /** Number of rows of the table, as far as they are known. */
  get rowCount (): number {
    return this.digests.size
  }

  /** The store's clock at a time of this instance's monotonic clock, in milliseconds. */
  storeTimeAt (now: number): number {
    return this.storeTime + now - this.readAt
  }

  /**
   * Replaces what is known by a reading of the whole table. Does nothing when a later era is known.
   * @param readAt monotonic milliseconds of the reading.
   */
  replace ({ changes: rows, position, storeTime }: TableChanges, readAt: number): void {
    if (position.era < this.latest.era) return
    // Within an era, the rows that were added and removed since are unknown, so instances behind cannot be served.
    const isNewEra = this.completeAfter !== END_POSITION && position.era > this.latest.era
    if (!isNewEra) this.begin(rows, position)
    else {
      for (const change of this.differencesTo(rows, position)) this.retain(change)
      // A row that was lost and written again is the same here, and unknown to an instance that came to the era before it.
      this.newestChange = laterPosition(this.newestChange, position)
    }
    this.setLatest(position, storeTime, readAt)
  }

  /**
   * Replaces what is known by all rows of the table that another instance read, and returns them as the changes since
   * the latest position: the rows that differ.
   */
  adopt (reading: TableChanges, readAt: number): TableChanges {
    const changes = this.differencesTo(reading.changes, reading.position)
    this.replace(reading, readAt)
    return { ...reading, changes }
  }

  /** Adds the changes that were read after the position `after`. */
  append (after: TablePosition, { changes, position, storeTime }: TableChanges, readAt: number): void {
    if (position.era < this.latest.era) return
    // The changes between the latest position and `after` are unknown, so instances behind `after` cannot be served.
    if (isAfter(after, this.latest)) this.begin([], after)
    for (const change of changes) this.retain(change)
    this.setLatest(laterPosition(this.latest, position), storeTime, readAt)
  }

  /** The changes after a position, or undefined when some of them are not kept or the position was never known here. */
  changesAfter (position: TablePosition, now: number): TableChanges | undefined {
    if (!this.isInKnownRange(position) || isAfter(this.completeAfter, position)) return undefined
    const changes = [...this.changes.values()].filter(change => isAfter(change.position, position))
    return { changes, position: laterPosition(position, this.latest), storeTime: this.storeTimeAt(now), isRelayed: true }
  }

  /** Forgets what was known and begins with the state at a position. */
  private begin (rows: readonly TableChange[], position: TablePosition): void {
    this.changes.clear()
    this.digests.clear()
    for (const { key, value } of rows) this.digests.set(key, digestOf(value))
    this.completeAfter = position
    this.newestChange = position
    this.eraRanges.set(position.era, { first: position.revision, last: position.revision })
  }

  /** The rows of the whole table that are different from what is known, and those that are known and missing. */
  private differencesTo (rows: readonly TableChange[], position: TablePosition): readonly TableChange[] {
    const keys = new Set(rows.map(({ key }) => key))
    const changed = rows.filter(({ key, value }) => this.digests.get(key) !== digestOf(value))
    const removed = [...this.digests.keys()].filter(key => !keys.has(key)).map(key => ({ key, value: undefined, position }))
    return [...changed, ...removed].sort((left, right) => comparePositions(left.position, right.position))
  }

  /** Whether all changes since the position are known. In the present era, a position after the latest one is that of an instance that knows more. */
  private isInKnownRange ({ era, revision }: TablePosition): boolean {
    const range = this.eraRanges.get(era)
    return range !== undefined && revision >= range.first && (era === this.latest.era || revision <= range.last)
  }

  private retain (change: TableChange): void {
    const retained = this.changes.get(change.key)
    if (retained !== undefined && !isAfter(change.position, retained.position)) return
    if (change.value === undefined) this.digests.delete(change.key)
    else this.digests.set(change.key, digestOf(change.value))
    this.changes.delete(change.key)
    this.changes.set(change.key, change)
    this.newestChange = laterPosition(this.newestChange, change.position)
    if (this.changes.size <= MAXIMUM_HISTORY_ROWS) return
    const [oldest] = this.changes.values()
    this.changes.delete(oldest.key)
    this.completeAfter = laterPosition(this.completeAfter, oldest.position)
  }

  private setLatest (position: TablePosition, storeTime: number, readAt: number): void {
    const { era, revision } = position
    this.eraRanges.set(era, { first: this.eraRanges.get(era)?.first ?? revision, last: revision })
    const [oldest] = this.eraRanges.keys()
    if (this.eraRanges.size > MAXIMUM_KEPT_ERAS) this.eraRanges.delete(oldest)
    this.latest = position
    if (readAt < this.readAt) return
    this.storeTime = storeTime
    this.readAt = readAt
  }
}

function digestOf (value: unknown): string {
  return createHash('sha1').update(JSON.stringify(value) ?? '').digest().subarray(0, DIGEST_BYTES).toString('base64')
}
