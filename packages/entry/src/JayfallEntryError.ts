/** The error of an entry instance that cannot start or continue. */

import { JayfallError } from '#jayfall/shared'

export type EntryErrorCode = 'listen_failed' | 'data_thread_failed'

/** The instance cannot start or continue. */
export class EntryError extends JayfallError {
  constructor (code: EntryErrorCode, message: string, cause?: unknown) {
    super('EntryError', code, message, cause)
  }
}
