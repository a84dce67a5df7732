#!/usr/bin/env node
/** The `jayfall` executable. */

import { isMainThread } from 'node:worker_threads'

import 'reflect-metadata'
import { binary, run, subcommands } from 'cmd-ts'

import { catalogueCommands } from './JayfallCatalogueCommands'
import { entryCommand } from './JayfallEntryCommand'
import { traceCommands } from './JayfallTraceCommands'

const jayfall = subcommands({
  name: 'jayfall',
  description: 'Model-aware router for model versions and cascades.',
  version: '0.1.0',
  cmds: { entry: entryCommand, catalogue: catalogueCommands, trace: traceCommands }
})

/** Runs the command line and ends the process, as open sockets of libraries must not hold a finished command back. */
async function main (): Promise<void> {
  try {
    await run(binary(jayfall), process.argv)
    process.exit()
  } catch (error) {
    process.stderr.write(`jayfall: ${(error as Error).message}\n`)
    process.exit(1)
  }
}

// In the bundle, data threads load this file as well.
if (isMainThread) main().catch(() => {})
