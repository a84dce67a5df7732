/** Compresses bills while they wait to be stored, to save memory. */

import { deflateRawSync, inflateRawSync } from 'node:zlib'

import { type Bill } from './JayfallBill'
import { BILL_COMPRESSION_LEVEL } from './JayfallLedgerConstants'

/** Bills in columns, because equal values of neighbouring bills then compress to almost nothing. */
interface BillColumns {
  readonly keys: readonly string[]
  readonly workspaces: readonly string[]
  readonly sources: readonly string[]
  readonly promptTokens: readonly number[]
  readonly outputTokens: readonly number[]
  readonly amounts: readonly number[]
}

/** A list of bills in compressed form. */
export class CompressedBills {
  private readonly compressed: Buffer

  constructor (bills: readonly Bill[]) {
    const columns: BillColumns = {
      keys: bills.map(({ key }) => key),
      workspaces: bills.map(({ workspace }) => workspace),
      sources: bills.map(({ source }) => source),
      promptTokens: bills.map(({ promptTokens }) => promptTokens),
      outputTokens: bills.map(({ outputTokens }) => outputTokens),
      amounts: bills.map(({ amount }) => amount)
    }
    this.compressed = deflateRawSync(JSON.stringify(columns), { level: BILL_COMPRESSION_LEVEL })
  }

  get bytes (): number {
    return this.compressed.length
  }

  decompress (): readonly Bill[] {
    const { keys, workspaces, sources, promptTokens, outputTokens, amounts } = JSON.parse(inflateRawSync(this.compressed).toString()) as BillColumns
    return keys.map((key, index) => ({
      key, workspace: workspaces[index], source: sources[index], promptTokens: promptTokens[index], outputTokens: outputTokens[index], amount: amounts[index]
    }))
  }
}
