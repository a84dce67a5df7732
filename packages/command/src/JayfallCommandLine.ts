/** The `jayfall` command line. */

import 'reflect-metadata'
import { binary, runSafely, subcommands } from 'cmd-ts'

import { billCommands } from './JayfallBillCommands'
import { catalogueCommands } from './JayfallCatalogueCommands'
import { EXIT_STATUS } from './JayfallCommandError'
import { createConfigurationCommands, type ConfigurationFormatLoader } from './JayfallConfigurationCommands'
import { entryCommand } from './JayfallEntryCommand'
import { explainCommand } from './JayfallExplainCommand'
import { instanceCommands } from './JayfallInstanceCommands'
import { statusCommand } from './JayfallStatusCommands'
import { traceCommands } from './JayfallTraceCommands'
import { versionCommands } from './JayfallVersionCommands'

const COMMANDS = { entry: entryCommand, catalogue: catalogueCommands, version: versionCommands, instance: instanceCommands, bill: billCommands, status: statusCommand, trace: traceCommands, explain: explainCommand }

const PROGRAM = {
  name: 'jayfall',
  description: 'Model-aware router for model versions and cascades.',
  version: '0.1.0'
}

/**
 * Runs the subcommand that `argv` names and ends the process.
 * @param loadConfigurationFormat loads the format of `configuration check`, which is missing without it.
 */
export function runCommandLine (argv: string[], loadConfigurationFormat?: ConfigurationFormatLoader): void {
  const jayfall = loadConfigurationFormat === undefined
    ? subcommands({ ...PROGRAM, cmds: COMMANDS })
    : subcommands({ ...PROGRAM, cmds: { ...COMMANDS, configuration: createConfigurationCommands(loadConfigurationFormat) } })
  runSafely(binary(jayfall), argv).then(
    result => {
      if (result._tag === 'error') {
        const { message, into } = result.error.config
        process[into].write(`${message}\n`)
        // The help text goes to the standard output, and problems with arguments to the standard error.
        process.exit(into === 'stdout' ? EXIT_STATUS.done : EXIT_STATUS.usage)
      }
      // Sockets that libraries keep open must not delay the end of a finished command.
      process.exit()
    },
    (error: Error) => {
      process.stderr.write(`jayfall: ${error.message}\n`)
      process.exit(EXIT_STATUS.failed)
    }
  )
}
