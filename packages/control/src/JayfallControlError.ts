/** The error class of membership and catalogue propagation. */

import { JayfallError } from '#jayfall/shared'

export type ControlErrorCode = 'message_malformed'

/** Signals that a message of another instance is malformed. */
export class ControlError extends JayfallError {
  constructor (code: ControlErrorCode, message: string, cause?: unknown) {
    super('ControlError', code, message, cause)
  }
}
