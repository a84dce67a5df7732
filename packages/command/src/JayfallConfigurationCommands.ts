/**
 * `jayfall configuration`: checks a configuration before it is sent.
 *
 * The format is loaded when a check runs, because the packages that it brings take time and memory that
 * the other subcommands, such as an entry instance, do not need.
 */

import { checkConfiguration, type ConfigurationFormat, type NamedDocument } from '#jayfall/configuration'
import { command, option, optional, positional, string, subcommands } from 'cmd-ts'

import { jsonOption } from './JayfallCommandOptions'
import { printReport, runSubcommand } from './JayfallCommandOutput'
import { readJsonFile } from './JayfallJsonFile'

export type ConfigurationFormatLoader = () => Promise<ConfigurationFormat>

export function createConfigurationCommands (loadFormat: ConfigurationFormatLoader) {
  const check = command({
    name: 'check',
    description: 'Check a configuration before it is sent: errors, entries that never match, contradictory limits. Exits with status 1 if there are errors.',
    args: {
      file: positional({ type: string, displayName: 'file', description: 'the configuration, as JSON' }),
      against: option({ long: 'against', type: optional(string), description: 'file with the version in force, to show the differences' }),
      json: jsonOption
    },
    handler: ({ file, against, json }) => runSubcommand(async () => {
      const document = readDocument(file)
      const inForce = against === undefined ? undefined : readDocument(against)
      printReport(json, checkConfiguration(await loadFormat(), document, inForce))
    })
  })
  return subcommands({ name: 'configuration', description: 'Check the configuration of a platform.', cmds: { check } })
}

function readDocument (file: string): NamedDocument {
  return { name: file, content: readJsonFile(file) }
}
