/** The `jayfall` command line. */

import 'reflect-metadata'
import { binary, run, subcommands } from 'cmd-ts'

import { billCommands } from './JayfallBillCommands'
import { catalogueCommands } from './JayfallCatalogueCommands'
import { entryCommand } from './JayfallEntryCommand'
import { instanceCommands } from './JayfallInstanceCommands'
import { statusCommand } from './JayfallStatusCommands'
import { traceCommands } from './JayfallTraceCommands'
import { versionCommands } from './JayfallVersionCommands'

const jayfall = subcommands({
  name: 'jayfall',
  description: 'Model-aware router for model versions and cascades.',
  version: '0.1.0',
  cmds: { entry: entryCommand, catalogue: catalogueCommands, version: versionCommands, instance: instanceCommands, bill: billCommands, status: statusCommand, trace: traceCommands }
})

/** Runs the subcommand that `argv` names and ends the process. */
export function runCommandLine (argv: string[]): void {
  run(binary(jayfall), argv).then(
    () => {
      // Open sockets of libraries must not hold a finished command back.
      process.exit()
    },
    (error: Error) => {
      process.stderr.write(`jayfall: ${error.message}\n`)
      process.exit(1)
    }
  )
}
