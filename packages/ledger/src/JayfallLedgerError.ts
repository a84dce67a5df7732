/** Errors of the ledger. */

import { JayfallError, type ErrorInfo } from '#jayfall/shared'

/**
 * - `store_unavailable`: nothing is known about the row; the call was not sent by this attempt.
 * - `key_reused`: the key was used before with another request body.
 * - `backlog_full`: no memory is left for bills or outcomes that are not stored yet.
 */
export type LedgerErrorCode = 'store_unavailable' | 'key_reused' | 'backlog_full'

/** The failure of a ledger operation. */
export class LedgerError extends JayfallError {
  override readonly code: LedgerErrorCode

  constructor (code: LedgerErrorCode, message: string, cause?: unknown, info?: ErrorInfo) {
    super('LedgerError', code, message, cause, info)
    this.code = code
  }
}
