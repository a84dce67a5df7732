/** The base class of the error classes that each layer defines. */

import { VError } from 'verror'

/** The message of anything that was thrown. */
export function messageOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

/** Facts about an error that callers may branch on or log. */
export type ErrorInfo = Readonly<Record<string, unknown>>

/**
 * Base of each layer's error class.
 * `code` is stable and meant for programs; `message` is meant for people.
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
