#!/usr/bin/env node
/** The `jayfall` executable. */

import 'reflect-metadata'
import { binary, run, subcommands } from 'cmd-ts'

import { catalogueCommands } from './JayfallCatalogueCommands'
import { entryCommand } from './JayfallEntryCommand'
import { instanceCommands } from './JayfallInstanceCommands'
import { versionCommands } from './JayfallVersionCommands'

const jayfall = subcommands({
  name: 'jayfall',
  description: 'Model-aware router for model versions and cascades.',
  version: '0.1.0',
  cmds: { entry: entryCommand, catalogue: catalogueCommands, version: versionCommands, instance: instanceCommands }
})

run(binary(jayfall), process.argv).then(
  () => {
    // Open sockets of libraries must not hold a finished command back.
    process.exit()
  },
  (error: Error) => {
    process.stderr.write(`jayfall: ${error.message}\n`)
    process.exit(1)
  }
)
