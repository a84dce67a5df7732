/** Errors of the command line, each with its exit status. */

import { CatalogueError } from '#jayfall/catalogue'
import { isPlatformError } from '#jayfall/store'
import { SettingsError } from '#jayfall/settings'
import { JayfallError, messageOf } from '#jayfall/shared'

/** Exit statuses of every subcommand. */
export const EXIT_STATUS = { done: 0, failed: 1, usage: 2, conflict: 3, unreachable: 4 } as const

export type CommandErrorCode = Exclude<keyof typeof EXIT_STATUS, 'done'>

/** The failure of a subcommand; the message says what to do next. */
export class CommandError extends JayfallError {
  override readonly code: CommandErrorCode

  constructor (code: CommandErrorCode, message: string, cause?: unknown) {
    super('CommandError', code, message, cause)
    this.code = code
  }
}

/** Converts errors of the layers below into errors that tell an operator what to do. */
export function toCommandError (error: unknown): CommandError {
  if (error instanceof CommandError) return error
  if (error instanceof SettingsError) return new CommandError('usage', error.message, error)
  if (error instanceof CatalogueError) return new CommandError('usage', `${error.message}; correct the entry and try again`, error)
  if (isPlatformError(error, 'conflict')) return new CommandError('conflict', `${error.message}; read it again with "jayfall catalogue show" and repeat the change`, error)
  if (isPlatformError(error, 'outcome_unknown')) return new CommandError('unreachable', `${error.message}; check with "jayfall catalogue show" whether it took effect before trying again`, error)
  if (isPlatformError(error)) return new CommandError('unreachable', `${error.message}; nothing was changed, try again later`, error)
  return new CommandError('failed', messageOf(error), error)
}
