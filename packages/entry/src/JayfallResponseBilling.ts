/** Billing of the responses to model requests. */

import { type VersionEntry } from '#jayfall/catalogue'
import { type Bill } from '#jayfall/ledger'

import { parseUsage } from './JayfallResponseWriter'
import { type DataContext } from './JayfallDataContext'

/** What the bill of a response depends on besides the token counts. */
export interface BillableResponse {
  readonly workspace: string
  readonly version: VersionEntry
  /** The workspace, and the idempotency key or the identifier of the request. */
  readonly billKey: string
}

/** Bills a response by the token usage in its final events; resolves when a crash of this instance cannot lose the bill. */
export async function billResponse (context: DataContext, billable: BillableResponse, final: Buffer): Promise<Bill> {
  const usage = parseUsage(final)
  const bill = createBill(billable, usage.promptTokens, usage.outputTokens)
  await context.control.call('bill', bill)
  return bill
}

/** Creates the bill of one response; prices are for a million tokens. */
export function createBill ({ workspace, version, billKey }: BillableResponse, promptTokens: number, outputTokens: number): Bill {
  const { price, id } = version
  const amount = (promptTokens * price.promptPerMillionTokens + outputTokens * price.outputPerMillionTokens) / 1e6
  return { key: billKey, workspace, source: id, promptTokens, outputTokens, amount }
}
