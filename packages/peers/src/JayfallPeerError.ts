/** The error class of calls between entry instances. */

import { JayfallError } from '#jayfall/shared'

/** Signals that a call to another entry instance failed. The procedure may have run or not. */
export class PeerError extends JayfallError {
  constructor (message: string, cause?: unknown) {
    super('PeerError', 'peer_unavailable', message, cause)
  }
}
