/** `jayfall instance`: marks entry instances as leaving or staying. */

import { entryKey, type InstanceMarkEntry } from '#jayfall/catalogue'
import { command, flag, positional, string, subcommands } from 'cmd-ts'

import { jsonOption, openCatalogueStore, platformOption, writerOption } from './JayfallCommandOptions'
import { printResult, runSubcommand } from './JayfallCommandOutput'

const leave = command({
  name: 'leave',
  description: 'Mark an entry instance as leaving, or with --cancel as staying.',
  args: {
    id: positional({ type: string, displayName: 'instance', description: 'identifier of an entry instance' }),
    cancel: flag({ long: 'cancel', description: 'remove the mark' }),
    platform: platformOption,
    writer: writerOption,
    json: jsonOption
  },
  handler: ({ id, cancel, platform, writer, json }) => runSubcommand(async () => {
    const { store, close } = openCatalogueStore(platform)
    try {
      const entry: InstanceMarkEntry = { kind: 'instance-mark', id, leaving: !cancel }
      const key = entryKey(entry)
      const before = await store.readEntry(key)
      const revision = await store.write({ key, entry, basedOn: before?.revision ?? 0, writer })
      printResult(json, { id, leaving: !cancel, revision }, [
        `${id} marked as ${cancel ? 'staying' : 'leaving'}, revision ${revision}`,
        cancel ? '"jayfall status" shows when it serves again' : `stop ${id} with SIGTERM once "jayfall status" shows it as leaving; --cancel takes the mark back`
      ])
    } finally {
      close()
    }
  })
})

export const instanceCommands = subcommands({ name: 'instance', description: 'Mark entry instances.', cmds: { leave } })
