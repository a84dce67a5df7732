/** Errors of an entry instance as a whole. */

import { JayfallError } from '#jayfall/shared'

export type EntryErrorCode = 'listen_failed' | 'data_thread_failed'

/** The instance cannot start or go on. */
export class EntryError extends JayfallError {
  constructor (code: EntryErrorCode, message: string, cause?: unknown) {
    super('EntryError', code, message, cause)
  }
}
