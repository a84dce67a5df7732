/** Errors of calls between entry instances. */

import { JayfallError } from '#jayfall/shared'

/** A call to another entry instance failed; it may or may not have been carried out. */
export class PeerError extends JayfallError {
  constructor (message: string, cause?: unknown) {
    super('PeerError', 'peer_unavailable', message, cause)
  }
}
