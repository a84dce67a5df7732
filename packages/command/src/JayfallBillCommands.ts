/** `jayfall bill`: exports the bills of all workspaces. */

import { readLedger } from '#jayfall/ledger'
import { HttpObjectStore, HttpTableStore, PlatformHttp } from '#jayfall/store'
import { command, subcommands } from 'cmd-ts'

import { jsonOption, platformOption } from './JayfallCommandOptions'
import { printResult, runSubcommand } from './JayfallCommandOutput'

const exportBills = command({
  name: 'export',
  description: 'Print every bill of the ledger once: drafts and calls.',
  args: { platform: platformOption, json: jsonOption },
  handler: ({ platform, json }) => runSubcommand(async () => {
    const http = new PlatformHttp({ address: platform })
    try {
      const bills = await readLedger(new HttpTableStore(http), new HttpObjectStore(http))
      const lines = bills.map(({ key, source, promptTokens, outputTokens, amount }) =>
        `key=${key} source=${source} prompt_tokens=${promptTokens} output_tokens=${outputTokens} amount=${amount}`)
      printResult(json, { bills }, lines)
    } finally {
      http.close()
    }
  })
})

export const billCommands = subcommands({ name: 'bill', description: 'Read the ledger.', cmds: { export: exportBills } })
