/**
 * Reads and writes bills in the object store.
 *
 * A batch consists of one or more objects `bills/{origin}/{sequence}/{part}`. A writer creates a part only
 * after it has read all previous parts, and includes only bills that none of them holds. An origin and its
 * witnesses can therefore write the same batch at any time without storing a bill twice.
 */

import { type ObjectStore } from '#jayfall/store'

import { type Bill } from './JayfallBill'
import { BILLS_PREFIX } from './JayfallLedgerConstants'

/** Identifies a batch. */
export interface BatchIdentifier {
  /** The process that issued the bills: the instance and its start, because a restarted instance counts from 0 again. */
  readonly origin: string
  /** Number of the batch within its origin. */
  readonly sequence: number
}

/** The content of one object: a part of a batch. */
export interface BillPart extends BatchIdentifier {
  /** Time at which the writer received its first bill of the batch, in wall-clock milliseconds. */
  readonly openedAt: number
  readonly bills: readonly Bill[]
}

/** Writes the bills that the store does not hold yet. @throws PlatformError; the caller must then repeat the call. */
export async function writeBills (store: ObjectStore, { origin, sequence, openedAt, bills }: BillPart): Promise<void> {
  let missing = withoutKeys(bills, new Set())
  for (let part = 0; missing.length > 0; part++) {
    const name = `${BILLS_PREFIX}${origin}/${sequence}/${part}`
    const value: BillPart = { origin, sequence, openedAt, bills: missing }
    if (await store.putIfAbsent(name, value)) return
    const storedPart = await store.get<BillPart>(name)
    missing = withoutKeys(missing, new Set(storedPart?.bills.map(({ key }) => key)))
  }
}

/** Yields all parts of all batches. @throws PlatformError. */
export async function * readBatchParts (store: ObjectStore): AsyncGenerator<BillPart> {
  for (let lastName = ''; ;) {
    const names = await store.list(BILLS_PREFIX, lastName)
    if (names.length === 0) return
    for (const name of names) {
      const part = await store.get<BillPart>(name)
      if (part !== undefined) yield part
    }
    lastName = names[names.length - 1]
  }
}

/** Returns the first bill of each key that is not in `excludedKeys`. */
function withoutKeys (bills: readonly Bill[], excludedKeys: ReadonlySet<string>): readonly Bill[] {
  const seen = new Set(excludedKeys)
  return bills.filter(({ key }) => {
    const isNew = !seen.has(key)
    seen.add(key)
    return isNew
  })
}
