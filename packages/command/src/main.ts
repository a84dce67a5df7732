#!/usr/bin/env node
/** The `jayfall` executable. */

import 'reflect-metadata'
import { binary, runSafely, subcommands } from 'cmd-ts'

import { catalogueCommands } from './JayfallCatalogueCommands'
import { EXIT_STATUS } from './JayfallCommandError'
import { entryCommand } from './JayfallEntryCommand'
import { instanceCommands } from './JayfallInstanceCommands'
import { versionCommands } from './JayfallVersionCommands'

const jayfall = subcommands({
  name: 'jayfall',
  description: 'Model-aware router for model versions and cascades.',
  version: '0.1.0',
  cmds: { entry: entryCommand, catalogue: catalogueCommands, version: versionCommands, instance: instanceCommands }
})

runSafely(binary(jayfall), process.argv).then(
  result => {
    if (result._tag === 'error') {
      const { message, into } = result.error.config
      process[into].write(`${message}\n`)
      // The help text goes to the standard output, and problems with arguments to the standard error.
      process.exit(into === 'stdout' ? EXIT_STATUS.done : EXIT_STATUS.usage)
    }
    // Open sockets of libraries must not hold a finished command back.
    process.exit()
  },
  (error: Error) => {
    process.stderr.write(`jayfall: ${error.message}\n`)
    process.exit(1)
  }
)
