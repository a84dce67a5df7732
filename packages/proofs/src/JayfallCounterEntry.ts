/**
 * An entry instance with one mechanism of the ledger replaced, for counter-proofs.
 *
 * The replacement is made in this program's wiring only; no setting of the product reaches it.
 */

import 'reflect-metadata'
import { EntryInstance, createDataParts } from '#jayfall/entry'
import { BillBatches, CallClaims, StoreGate } from '#jayfall/ledger'
import { readEntrySettings } from '#jayfall/settings'
import { createLog } from '#jayfall/telemetry'

/** What can be replaced, by the last word of the script's name. */
const REPLACEMENTS: Readonly<Record<string, () => void>> = {
  /** Every attempt may send, whatever the row says. */
  claims: () => { CallClaims.prototype.claim = async () => ({ kind: 'granted', revision: 0 }) },
  /** The end of an answer does not wait for a witness, and none is asked. */
  replication: () => {
    const { record } = BillBatches.prototype
    BillBatches.prototype.record = async function (bill) { record.call(this, bill).catch(() => {}) }
    Object.assign(BillBatches.prototype, { copyToWitness: async () => true })
  },
  /** Every claim waits for the store, however long it has been silent. */
  gate: () => { StoreGate.prototype.run = async function (call) { return await call(this.store) } }
}

/** Runs an instance with `name` replaced until SIGTERM. */
export async function runCounterEntry (name: string): Promise<void> {
  REPLACEMENTS[name]()
  const settings = readEntrySettings(process.argv[process.argv.indexOf('--settings') + 1])
  const instance = new EntryInstance(settings, createLog('error'), createDataParts())
  await instance.start()
  process.once('SIGTERM', () => {
    instance.stop().then(() => process.exit(0), () => process.exit(1))
  })
}
