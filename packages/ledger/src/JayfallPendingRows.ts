/** Rows that could not be written and are written again in the background, in bounded memory. */

import { type Clock, type RandomSource } from '#jayfall/shared'

import { Backoff } from './JayfallBackoff'
import { type CallRow } from './JayfallCallRow'
import { MAXIMUM_PENDING_BYTES, MAXIMUM_PENDING_ROWS } from './JayfallLedgerConstants'

interface PendingRow {
  readonly value: CallRow
  readonly revision: number
  readonly bytes: number
}

/** Writes one row at the revision known for it. */
export type RowWriter = (value: CallRow, revision: number) => Promise<void>

/** Keeps rows until the store has them. */
export class PendingRows {
  private readonly rows = new Map<string, PendingRow>()
  private readonly backoff: Backoff
  private bytes = 0
  private retrying = false

  constructor (clock: Clock, random: RandomSource, private readonly write: RowWriter) {
    this.backoff = new Backoff(clock, random)
  }

  get size (): number {
    return this.rows.size
  }

  /** Keeps a row; false when there is no memory for it. */
  add (value: CallRow, revision: number): boolean {
    const bytes = value.state === 'done' ? value.outcome.body.length : 0
    if (this.rows.size >= MAXIMUM_PENDING_ROWS || this.bytes + bytes > MAXIMUM_PENDING_BYTES) return false
    this.rows.set(value.attempt, { value, revision, bytes })
    this.bytes += bytes
    return true
  }

  /** Writes all rows again when a try is due; those that fail stay. */
  async retry (): Promise<void> {
    if (this.retrying || this.rows.size === 0 || !this.backoff.isDue) return
    this.retrying = true
    const results = await Promise.all([...this.rows].map(([attempt, row]) => this.retryRow(attempt, row)))
    this.retrying = false
    if (results.includes(false)) this.backoff.fail()
    else this.backoff.succeed()
  }

  private async retryRow (attempt: string, { value, revision, bytes }: PendingRow): Promise<boolean> {
    try {
      await this.write(value, revision)
    } catch {
      return false
    }
    this.rows.delete(attempt)
    this.bytes -= bytes
    return true
  }
}
