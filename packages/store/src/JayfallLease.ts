/**
 * Leases: the exclusive right of one instance to do certain work on behalf of all.
 *
 * A lease is a row that its holder keeps writing. A candidate acquires the lease only after it has
 * observed the unchanged row for a full term on its own clock, while the holder counts its term from
 * the time before it sent its write. Clocks of different machines are never compared. At most one
 * instance therefore acts as holder, except for an instance that is paused between the check of its
 * term and the action. The fencing number increases with each holder and identifies such late actions.
 */

import { randomUUID } from 'node:crypto'

import { type Clock } from '#jayfall/shared'

import { DEFAULT_LEASE_TERM_MILLISECONDS, LEASES_TABLE, MAXIMUM_PENDING_LEASE_WRITES } from './JayfallStoreConstants'
import { conflictsOf, type TableRow, type TableStore } from './JayfallTableStore'
import { isPlatformError } from './JayfallPlatformError'

/** The value of a lease's row. */
export interface LeaseRow {
  /** Identifier of the holder; null after a release. */
  readonly holder: string | null
  /** The fencing number; increases by 1 with each new holder. */
  readonly fencing: number
  /** Term of the lease in milliseconds. */
  readonly term: number
  /** Identifies the write, so that the writer recognises it after a lost reply. */
  readonly writeId: string
}

export interface LeaseSettings {
  readonly name: string
  /** Identifier of this process. A restarted instance has to use another one. */
  readonly holder: string
  /** Term of the lease in milliseconds. */
  readonly term?: number
}

/** A write of this process that may still take effect. */
interface PendingWrite {
  readonly writeId: string
  readonly startedAt: number
}

/** The state of one lease in one process. */
export class Lease {
  private readonly term: number
  /** The row as last read or written by this process. */
  private observedRow: TableRow<LeaseRow> | undefined
  /** Time at which the present revision of `observedRow` was first observed, in monotonic milliseconds. */
  private observedAt = -Infinity
  /** End of the term of this process, in monotonic milliseconds. */
  private expiresAt = -Infinity
  /** The last writes of this process, the newest at the end. */
  private pendingWrites: readonly PendingWrite[] = []

  constructor (private readonly store: TableStore, private readonly clock: Clock, private readonly settings: LeaseSettings) {
    this.term = settings.term ?? DEFAULT_LEASE_TERM_MILLISECONDS
  }

  /** Time in milliseconds for which this process still holds the lease; 0 when it does not hold the lease. */
  get remaining (): number {
    return Math.max(0, this.expiresAt - this.clock.monotonic())
  }

  /** The fencing number when this process holds the lease for more than `needed` milliseconds, otherwise undefined. Call it before each action under the lease. */
  fencingFor (needed: number): number | undefined {
    return this.observedRow !== undefined && this.remaining > needed ? this.observedRow.value.fencing : undefined
  }

  /**
   * Renews, acquires or observes the lease; call it every third of the term.
   * @returns whether this process holds the lease.
   * @throws PlatformError when the store does not answer; a held lease then lasts until the end of its term.
   */
  async maintain (): Promise<boolean> {
    if (!this.isOwn(this.observedRow)) await this.refresh()
    if (this.isOwn(this.observedRow) || this.mayAcquire()) await this.write(this.settings.holder)
    return this.remaining > 0
  }

  /** Releases the lease, so that a candidate can acquire it without waiting. The holder must not act under the lease after this call. */
  async release (): Promise<void> {
    this.expiresAt = -Infinity
    if (!this.isOwn(this.observedRow)) return
    await this.write(null)
  }

  private mayAcquire (): boolean {
    if (this.observedRow === undefined || this.observedRow.value.holder === null) return true
    return this.clock.monotonic() - this.observedAt >= Math.max(this.term, this.observedRow.value.term)
  }

  private isOwn (row: TableRow<LeaseRow> | undefined): boolean {
    return row !== undefined && row.value.holder === this.settings.holder
  }

  private async refresh (): Promise<void> {
    this.observe(await this.store.read<LeaseRow>(LEASES_TABLE, this.settings.name))
  }

  /** Records the row. The term of a row that this process wrote starts at the start of that write. */
  private observe (row: TableRow<LeaseRow> | undefined): void {
    if (row?.revision !== this.observedRow?.revision) this.observedAt = this.clock.monotonic()
    this.observedRow = row
    const own = this.pendingWrites.find(({ writeId }) => writeId === row?.value.writeId)
    if (own !== undefined && this.isOwn(row)) this.expiresAt = Math.max(this.expiresAt, own.startedAt + this.term)
    else if (!this.isOwn(row)) this.expiresAt = -Infinity
  }

  private async write (holder: string | null): Promise<void> {
    const startedAt = this.clock.monotonic()
    const { observedRow } = this
    const fencing = (observedRow?.value.fencing ?? 0) + (this.isOwn(observedRow) ? 0 : 1)
    const value: LeaseRow = { holder, fencing, term: this.term, writeId: randomUUID() }
    this.pendingWrites = [...this.pendingWrites, { writeId: value.writeId, startedAt }].slice(-MAXIMUM_PENDING_LEASE_WRITES)
    try {
      const [revision] = await this.store.transact([{ table: LEASES_TABLE, key: this.settings.name, value, ifRevision: observedRow?.revision ?? 0 }])
      this.observe({ key: this.settings.name, value, revision })
    } catch (error) {
      if (isPlatformError(error, 'conflict')) {
        const row = conflictsOf(error)[0] as TableRow<LeaseRow> | undefined
        // The conflicting row may be an earlier write of this process whose reply was lost.
        this.observe(row === undefined || row.revision === 0 ? undefined : row)
      } else if (isPlatformError(error, 'outcome_unknown')) {
        await this.refresh()
      } else {
        throw error
      }
    }
  }
}
