/** Detection of backend servers that are leaving, which means that they shut down soon and must not get new work. */

import { type IncomingHttpHeaders } from 'node:http'

/** Decides which announcements count. */
export abstract class LeavingPolicy {
  /** Whether the headers of a response announce that its server is leaving. */
  abstract isAnnounced (headers: IncomingHttpHeaders): boolean
  /** Whether marks in the catalogue and the platform's list of instances count as well. */
  abstract readonly hasExternalSources: boolean
}

/** Counts response headers, marks in the catalogue and the platform's list, whichever announces it first. */
export class AnySourceLeavingPolicy extends LeavingPolicy {
  override readonly hasExternalSources = true

  override isAnnounced (headers: IncomingHttpHeaders): boolean {
    return headers['x-leaving'] === '1'
  }
}
