/** Reads the ledger, which consists of the bills of all workspaces, from the platform. */

import { listRows, type ObjectStore, type TableStore } from '#jayfall/store'

import { type Bill } from './JayfallBill'
import { readBatchParts } from './JayfallBillObjects'
import { type CallRow } from './JayfallCallRow'
import { CALLS_TABLE } from './JayfallLedgerConstants'

interface DatedBill {
  readonly bill: Bill
  readonly openedAt: number
  readonly origin: string
}

/**
 * Returns the bills of drafts (the first record of each key) and of calls.
 *
 * Drafts and calls have separate keys: the same idempotency key may identify one of each.
 * @throws PlatformError.
 */
export async function readLedger (tables: TableStore, objects: ObjectStore): Promise<readonly Bill[]> {
  const drafts = new Map<string, DatedBill>()
  for await (const { openedAt, origin, bills } of readBatchParts(objects)) {
    for (const bill of bills) {
      const record = { bill, openedAt, origin }
      const before = drafts.get(bill.key)
      if (before === undefined || isEarlier(record, before)) drafts.set(bill.key, record)
    }
  }
  const calls: Bill[] = []
  for await (const { value } of listRows<CallRow>(tables, CALLS_TABLE, '')) {
    if (value.state === 'done') calls.push(value.bill)
  }
  return [...[...drafts.values()].map(({ bill }) => bill), ...calls]
}

function isEarlier (left: DatedBill, right: DatedBill): boolean {
  return left.openedAt === right.openedAt ? left.origin < right.origin : left.openedAt < right.openedAt
}
