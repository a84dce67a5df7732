/** Reads files that operators write as JSON. */

import * as fs from 'node:fs'

import { CommandError } from './JayfallCommandError'

/** @throws CommandError `usage` when the file is missing or is not JSON. */
export function readJsonFile (file: string): unknown {
  try {
    return JSON.parse(fs.readFileSync(file, 'utf8'))
  } catch (error) {
    throw new CommandError('usage', `${file} cannot be read as JSON`, error)
  }
}
