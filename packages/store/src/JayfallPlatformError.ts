/** The error class of the platform clients. */

import { JayfallError, type ErrorInfo } from '#jayfall/shared'

/**
 * The outcome of a failed call:
 * - `unavailable`: the platform did not execute the call, because the call was not sent or was refused.
 * - `outcome_unknown`: the call was sent and not answered; a write may have taken effect.
 * - `conflict`: a condition of a write was not met; nothing was written.
 * - `rate_limited`: the platform refused the call because of its rate limit; nothing was written.
 * - `history_lost`: the store no longer has the requested changes.
 * - `era_changed`: the store came back from a copy, so that positions read before name other rows.
 * - `malformed`: the answer is malformed.
 */
export type PlatformErrorCode = 'unavailable' | 'outcome_unknown' | 'conflict' | 'rate_limited' | 'history_lost' | 'era_changed' | 'malformed'

/** Signals that a call to the platform failed. */
export class PlatformError extends JayfallError {
  override readonly code: PlatformErrorCode

  constructor (code: PlatformErrorCode, message: string, cause?: unknown, info?: ErrorInfo) {
    super('PlatformError', code, message, cause, info)
    this.code = code
  }
}

/** Whether `error` is a `PlatformError`, and has one of `codes` when any are given. */
export function isPlatformError (error: unknown, ...codes: readonly PlatformErrorCode[]): error is PlatformError {
  return error instanceof PlatformError && (codes.length === 0 || codes.includes(error.code))
}
