/** The error of a failed call to a backend server. */

import { type AttemptFailure } from '#jayfall/routing'
import { JayfallError } from '#jayfall/shared'

/** An attempt on a backend server failed; `isLeaving` tells that the server announced its shutdown. */
export class BackendError extends JayfallError {
  constructor (readonly failure: AttemptFailure, message: string, cause?: unknown, readonly isLeaving = false) {
    super('BackendError', failure, message, cause)
  }
}

export function isBackendError (error: unknown): error is BackendError {
  return error instanceof BackendError
}
