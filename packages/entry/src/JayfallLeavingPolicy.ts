/** How an instance learns that a backend server is leaving. */

import { type IncomingHttpHeaders } from 'node:http'

export abstract class LeavingPolicy {
  /** Whether an answer's headers say that its server is leaving. */
  abstract isAnnounced (headers: IncomingHttpHeaders): boolean
  /** Whether the catalogue mark or the platform's list counts. */
  abstract readonly hasExternalSources: boolean
}

/** Answers' headers, the catalogue's marks and the platform's list all count, whichever comes first. */
export class EarliestLeavingPolicy extends LeavingPolicy {
  override readonly hasExternalSources = true

  override isAnnounced (headers: IncomingHttpHeaders): boolean {
    return headers['x-leaving'] === '1'
  }
}
