/** The bills of model requests. */

import { type VersionEntry } from '#jayfall/catalogue'
import { type Bill } from '#jayfall/ledger'

import { parseUsage } from './JayfallAnswerSink'
import { type DataContext } from './JayfallDataContext'

/** What a draft is billed for. */
export interface BilledDraft {
  readonly workspace: string
  readonly version: VersionEntry
  readonly billKey: string
}

/** Bills a draft by the usage in its last events; resolves when the bill survives the death of this instance. */
export async function settleDraft (context: DataContext, draft: BilledDraft, final: Buffer): Promise<Bill> {
  const usage = parseUsage(final)
  const bill = createDraftBill(draft, usage.promptTokens, usage.outputTokens)
  await context.control.call('bill', bill)
  return bill
}

/** The bill of one draft; prices are for a million tokens. */
export function createDraftBill ({ workspace, version, billKey }: BilledDraft, promptTokens: number, outputTokens: number): Bill {
  const { price, id } = version
  const amount = (promptTokens * price.promptPerMillionTokens + outputTokens * price.outputPerMillionTokens) / 1e6
  return { key: billKey, workspace, source: id, promptTokens, outputTokens, amount }
}
