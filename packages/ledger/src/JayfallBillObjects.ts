/**
 * Bills in the object store.
 *
 * A batch is one or more objects `bills/{origin}/{sequence}/{part}`. A writer puts a part only
 * after it has read all parts before it, and puts only bills that none of them holds, so that
 * an origin and its witnesses can write the same batch at any moment without storing a bill twice.
 */

import { type ObjectStore } from '#jayfall/store'

import { type Bill } from './JayfallBill'
import { BILLS_PREFIX } from './JayfallLedgerConstants'

/** What a batch is known by. */
export interface BatchName {
  /** The process that billed: the instance and its start, as a restarted instance counts from 0 again. */
  readonly origin: string
  readonly sequence: number
}

/** One object. */
export interface BillPart extends BatchName {
  /** Wall-clock milliseconds at which the writer first had a bill of the batch. */
  readonly openedAt: number
  readonly bills: readonly Bill[]
}

/** Writes the bills that the store does not hold yet. @throws PlatformError; then the call is to be repeated. */
export async function writeBills (store: ObjectStore, { origin, sequence, openedAt, bills }: BillPart): Promise<void> {
  let missing = withoutKeys(bills, new Set())
  for (let part = 0; missing.length > 0; part++) {
    const name = `${BILLS_PREFIX}${origin}/${sequence}/${part}`
    const value: BillPart = { origin, sequence, openedAt, bills: missing }
    if (await store.putIfAbsent(name, value)) return
    const present = await store.get<BillPart>(name)
    missing = withoutKeys(missing, new Set(present?.bills.map(({ key }) => key)))
  }
}

/** All parts of all batches. @throws PlatformError. */
export async function * readParts (store: ObjectStore): AsyncGenerator<BillPart> {
  for (let after = ''; ;) {
    const names = await store.list(BILLS_PREFIX, after)
    if (names.length === 0) return
    for (const name of names) {
      const part = await store.get<BillPart>(name)
      if (part !== undefined) yield part
    }
    after = names[names.length - 1]
  }
}

/** The first bill of each key that is not in `known`. */
function withoutKeys (bills: readonly Bill[], known: ReadonlySet<string>): readonly Bill[] {
  const seen = new Set(known)
  return bills.filter(({ key }) => {
    const isNew = !seen.has(key)
    seen.add(key)
    return isNew
  })
}
