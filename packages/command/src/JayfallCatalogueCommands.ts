/** `jayfall catalogue`: lists, shows, writes and removes entries. */

import { entryKey, parseEntry, type CatalogueEntry } from '#jayfall/catalogue'
import { type CatalogueStore } from '#jayfall/store'
import { command, flag, number, option, optional, positional, string, subcommands } from 'cmd-ts'

import { CommandError } from './JayfallCommandError'
import { jsonOption, openCatalogueStore, platformOption, writerOption } from './JayfallCommandOptions'
import { printResult, runSubcommand } from './JayfallCommandOutput'
import { describeEntryDifference } from './JayfallEntryDifference'
import { readJsonFile } from './JayfallJsonFile'

const keyArgument = positional({ type: string, displayName: 'kind/id', description: 'such as version/guide-small-3' })

function withCatalogueStore (platform: string, work: (store: CatalogueStore) => Promise<void>): Promise<void> {
  return runSubcommand(async () => {
    const { store, close } = openCatalogueStore(platform)
    try {
      await work(store)
    } finally {
      close()
    }
  })
}

const list = command({
  name: 'list',
  description: 'List all entries with the revision at which each last changed.',
  args: { platform: platformOption, json: jsonOption },
  handler: ({ platform, json }) => withCatalogueStore(platform, async store => {
    const snapshot = await store.readSnapshot()
    const entries = [...snapshot.entries].sort((left, right) => entryKey(left.entry) < entryKey(right.entry) ? -1 : 1)
    printResult(json, snapshot, [`revision ${snapshot.revision}`, ...entries.map(({ entry, revision }) => `${entryKey(entry)} revision ${revision}`)])
  })
})

const show = command({
  name: 'show',
  description: 'Show one entry and its revision.',
  args: { key: keyArgument, platform: platformOption, json: jsonOption },
  handler: ({ key, platform, json }) => withCatalogueStore(platform, async store => {
    const found = await store.readEntry(key)
    if (found === undefined) throw new CommandError('failed', `there is no entry ${key}; "jayfall catalogue list" shows all`)
    printResult(json, found, [`revision ${found.revision}`, JSON.stringify(found.entry, null, 2)])
  })
})

const put = command({
  name: 'put',
  description: 'Write the entries of a JSON file (one entry, or an array).',
  args: {
    file: positional({ type: string, displayName: 'file' }),
    basedOn: option({ long: 'based-on', type: optional(number), description: 'revision of the entry that the change is based on; the current one by default' }),
    dryRun: flag({ long: 'dry-run', description: 'only show the difference' }),
    platform: platformOption,
    writer: writerOption,
    json: jsonOption
  },
  handler: ({ file, basedOn, dryRun, platform, writer, json }) => withCatalogueStore(platform, async store => {
    const written: object[] = []
    const lines: string[] = []
    for (const entry of readEntries(file)) {
      const key = entryKey(entry)
      const before = await store.readEntry(key)
      const base = basedOn ?? before?.revision ?? 0
      lines.push(`${key} based on revision ${base}`, ...describeEntryDifference(before?.entry, entry))
      if (dryRun) continue
      const revision = await store.write({ key, entry, basedOn: base, writer })
      written.push({ key, basedOn: base, revision })
      lines.push(`${key} accepted as revision ${revision}`)
    }
    printResult(json, { written }, lines)
  })
})

const remove = command({
  name: 'remove',
  description: 'Remove one entry.',
  args: { key: keyArgument, platform: platformOption, writer: writerOption, json: jsonOption },
  handler: ({ key, platform, writer, json }) => withCatalogueStore(platform, async store => {
    const before = await store.readEntry(key)
    if (before === undefined) throw new CommandError('failed', `there is no entry ${key}; "jayfall catalogue list" shows all`)
    const revision = await store.write({ key, entry: null, basedOn: before.revision, writer })
    printResult(json, { key, revision }, [`${key} removed as revision ${revision}`])
  })
})

/** Reads all entries of a file. Every entry is checked before the first is written. */
function readEntries (file: string): readonly CatalogueEntry[] {
  const content = readJsonFile(file)
  return (Array.isArray(content) ? content : [content]).map(parseEntry)
}

export const catalogueCommands = subcommands({ name: 'catalogue', description: 'Read and edit the catalogue.', cmds: { list, show, put, remove } })
