/** Errors of the platform clients. */

import { JayfallError, type ErrorInfo } from '#jayfall/shared'

/**
 * - `unavailable`: the platform surely did not carry out the call (it was not sent or was refused).
 * - `outcome_unknown`: the call was sent and no answer came; a write may have taken effect.
 * - `conflict`: a condition of a write did not hold; nothing was written.
 * - `rate_limited`: refused because of the platform's rate; nothing was written.
 * - `history_lost`: the store no longer has the changes that were asked for.
 * - `malformed`: the answer could not be understood.
 */
export type PlatformErrorCode = 'unavailable' | 'outcome_unknown' | 'conflict' | 'rate_limited' | 'history_lost' | 'malformed'

/** A call to the platform failed. */
export class PlatformError extends JayfallError {
  override readonly code: PlatformErrorCode

  constructor (code: PlatformErrorCode, message: string, cause?: unknown, info?: ErrorInfo) {
    super('PlatformError', code, message, cause, info)
    this.code = code
  }
}

/** Whether `error` is a platform error, with one of `codes` when any are given. */
export function isPlatformError (error: unknown, ...codes: readonly PlatformErrorCode[]): error is PlatformError {
  return error instanceof PlatformError && (codes.length === 0 || codes.includes(error.code))
}
