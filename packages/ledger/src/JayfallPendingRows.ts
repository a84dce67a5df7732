/** Keeps rows that could not be written, in bounded memory, and writes them again in the background. */

import { type Clock, type RandomSource } from '#jayfall/shared'

import { Backoff } from './JayfallBackoff'
import { type CallRow } from './JayfallCallRow'
import { MAXIMUM_PENDING_BYTES, MAXIMUM_PENDING_ROWS } from './JayfallLedgerConstants'

interface PendingRow {
  readonly value: CallRow
  readonly revision: number
  readonly bytes: number
}

/** Writes one row, given the last known revision of that row. */
export type RowWriter = (value: CallRow, revision: number) => Promise<void>

/** Rows that are kept until the store accepts them. */
export class PendingRows {
  private readonly rows = new Map<string, PendingRow>()
  private readonly backoff: Backoff
  private bytes = 0
  private isRetrying = false

  constructor (clock: Clock, random: RandomSource, private readonly write: RowWriter) {
    this.backoff = new Backoff(clock, random)
  }

  get size (): number {
    return this.rows.size
  }

  /** Keeps a row. Returns false when there is no memory for it. */
  add (value: CallRow, revision: number): boolean {
    const bytes = value.state === 'done' ? value.outcome.body.length : 0
    if (this.rows.size >= MAXIMUM_PENDING_ROWS || this.bytes + bytes > MAXIMUM_PENDING_BYTES) return false
    this.rows.set(value.attempt, { value, revision, bytes })
    this.bytes += bytes
    return true
  }

  /** Writes all rows again if the backoff has passed; rows that fail are kept. */
  async retry (): Promise<void> {
    if (this.isRetrying || this.rows.size === 0 || !this.backoff.isDue) return
    this.isRetrying = true
    const results = await Promise.all([...this.rows].map(([attempt, row]) => this.retryRow(attempt, row)))
    this.isRetrying = false
    if (results.includes(false)) this.backoff.recordFailure()
    else this.backoff.recordSuccess()
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
