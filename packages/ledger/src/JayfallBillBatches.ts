/** Bills of drafts, gathered in batches that are written to the object store. */

import { ObjectStore } from '#jayfall/platform'

import { type Bill } from './JayfallBill'
import { BILLS_PREFIX } from './JayfallLedgerConstants'

/** Bills that an instance wrote with one object. */
export interface BillBatch {
  readonly origin: string
  readonly sequence: number
  readonly bills: readonly Bill[]
}

/** Gathers bills and writes them as objects. */
export class BillBatches {
  private open: readonly Bill[] = []
  private sequence = 0

  constructor (private readonly store: ObjectStore, private readonly origin: string) {}

  record (bill: Bill): void {
    this.open = [...this.open, bill]
  }

  /** Writes the open batch. When the store fails the bills stay for the next call. */
  async flush (): Promise<void> {
    if (this.open.length === 0) return
    const batch: BillBatch = { origin: this.origin, sequence: this.sequence, bills: this.open }
    await this.store.putIfAbsent(`${BILLS_PREFIX}${this.origin}/${this.sequence}/0`, batch)
    this.sequence++
    this.open = this.open.slice(batch.bills.length)
  }
}
