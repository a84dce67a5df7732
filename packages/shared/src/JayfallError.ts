/** The base class of the error classes of all packages. */

import { VError } from 'verror'

/** The message of a thrown value of any type. */
export function messageOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

/** Properties of an error that callers may evaluate or log. */
export type ErrorInfo = Readonly<Record<string, unknown>>

/**
 * Base of each package's error class.
 * `code` is stable and intended for programs; `message` is intended for people.
 */
export abstract class JayfallError extends VError {
  readonly code: string

  constructor (name: string, code: string, message: string, cause?: unknown, info?: ErrorInfo) {
    super({
      name,
      cause: cause instanceof Error ? cause : undefined,
      info: { ...info, code }
    }, '%s', message)
    this.code = code
  }
}
