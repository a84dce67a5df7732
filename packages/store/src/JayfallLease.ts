/**
 * Leases: the right of one instance to do work on behalf of all.
 *
 * A lease is a row that its holder keeps changing. A candidate takes it over only after it has
 * itself seen the row unchanged for a full term on its own clock; the holder counts its term from
 * before its write was sent. Clocks of different machines are never compared, so at most one
 * instance believes that it holds the lease, except one that is paused between checking its term
 * and acting. The fencing number, which grows with each holder, tells its late orders apart.
 */

import { randomUUID } from 'node:crypto'

import { type Clock } from '#jayfall/shared'

import { DEFAULT_LEASE_TERM_MILLISECONDS, LEASES_TABLE, MAXIMUM_PENDING_LEASE_WRITES } from './JayfallStoreConstants'
import { conflictsOf, type TableRow, type TableStore } from './JayfallTableStore'
import { isPlatformError } from './JayfallStoreError'

/** The value of a lease's row. */
export interface LeaseRow {
  /** null after a release. */
  readonly holder: string | null
  /** Grows by 1 with each new holder. */
  readonly fencing: number
  /** Milliseconds. */
  readonly term: number
  /** Identifies the write, so that its writer recognises it after a lost reply. */
  readonly writeId: string
}

export interface LeaseSettings {
  readonly name: string
  /** Identifies this process; an instance that restarts must use another one. */
  readonly holder: string
  /** Milliseconds. */
  readonly term?: number
}

/** A write of this process, the newest last. */
interface PendingWrite {
  readonly writeId: string
  readonly startedAt: number
}

/** One lease as one process sees it. */
export class Lease {
  private readonly term: number
  /** The row as last read or written. */
  private seen: TableRow<LeaseRow> | undefined
  /** When `seen` was first seen at its revision. Monotonic milliseconds. */
  private seenAt = -Infinity
  private expiresAt = -Infinity
  private pending: readonly PendingWrite[] = []

  constructor (private readonly store: TableStore, private readonly clock: Clock, private readonly settings: LeaseSettings) {
    this.term = settings.term ?? DEFAULT_LEASE_TERM_MILLISECONDS
  }

  /** Milliseconds until this process no longer holds the lease; 0 when it does not hold it. */
  get remaining (): number {
    return Math.max(0, this.expiresAt - this.clock.monotonic())
  }

  /** The fencing number, or undefined unless the lease is held for `needed` more milliseconds. Ask before each order. */
  fencingFor (needed: number): number | undefined {
    return this.seen !== undefined && this.remaining > needed ? this.seen.value.fencing : undefined
  }

  /**
   * Renews, takes or watches the lease; call it every third of the term.
   * @returns whether the lease is held.
   * @throws PlatformError when the store gives no answer; a lease that is held then lasts until its term ends.
   */
  async maintain (): Promise<boolean> {
    if (!this.isOwn(this.seen)) await this.refresh()
    if (this.isOwn(this.seen) || this.mayTake()) await this.write(this.settings.holder)
    return this.remaining > 0
  }

  /** Gives the lease up, so that a candidate need not wait. The holder sends no order after this call. */
  async release (): Promise<void> {
    this.expiresAt = -Infinity
    if (!this.isOwn(this.seen)) return
    await this.write(null)
  }

  private mayTake (): boolean {
    if (this.seen === undefined || this.seen.value.holder === null) return true
    return this.clock.monotonic() - this.seenAt >= Math.max(this.term, this.seen.value.term)
  }

  private isOwn (row: TableRow<LeaseRow> | undefined): boolean {
    return row !== undefined && row.value.holder === this.settings.holder
  }

  private async refresh (): Promise<void> {
    this.see(await this.store.read<LeaseRow>(LEASES_TABLE, this.settings.name))
  }

  /** Takes note of the row. A row that this process wrote is held from the start of that write. */
  private see (row: TableRow<LeaseRow> | undefined): void {
    if (row?.revision !== this.seen?.revision) this.seenAt = this.clock.monotonic()
    this.seen = row
    const own = this.pending.find(({ writeId }) => writeId === row?.value.writeId)
    if (own !== undefined && this.isOwn(row)) this.expiresAt = Math.max(this.expiresAt, own.startedAt + this.term)
    else if (!this.isOwn(row)) this.expiresAt = -Infinity
  }

  private async write (holder: string | null): Promise<void> {
    const startedAt = this.clock.monotonic()
    const { seen } = this
    const fencing = (seen?.value.fencing ?? 0) + (this.isOwn(seen) ? 0 : 1)
    const value: LeaseRow = { holder, fencing, term: this.term, writeId: randomUUID() }
    this.pending = [...this.pending, { writeId: value.writeId, startedAt }].slice(-MAXIMUM_PENDING_LEASE_WRITES)
    try {
      const [revision] = await this.store.transact([{ table: LEASES_TABLE, key: this.settings.name, value, ifRevision: seen?.revision ?? 0 }])
      this.see({ key: this.settings.name, value, revision })
    } catch (error) {
      if (isPlatformError(error, 'conflict')) {
        const row = conflictsOf(error)[0] as TableRow<LeaseRow> | undefined
        // A conflicting row may be an earlier write of this process whose reply was lost.
        this.see(row === undefined || row.revision === 0 ? undefined : row)
      } else if (isPlatformError(error, 'outcome_unknown')) {
        await this.refresh()
      } else {
        throw error
      }
    }
  }
}
