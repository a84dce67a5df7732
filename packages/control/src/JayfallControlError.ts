/** Errors of membership and propagation. */

import { JayfallError } from '#jayfall/shared'

export type ControlErrorCode = 'message_malformed'

/** A message of another instance could not be used. */
export class ControlError extends JayfallError {
  constructor (code: ControlErrorCode, message: string, cause?: unknown) {
    super('ControlError', code, message, cause)
  }
}
