/** The backend servers that are leaving, according to the platform's list or to reports of the data threads. */

import { type Clock } from '#jayfall/shared'

/** Time for which a report counts. The server gets no further requests, so its response headers cannot renew the report. */
const REPORT_LIFETIME_MILLISECONDS = 600_000

/** Merges both sources and detects changes of the result. */
export class LeavingServers {
  private readonly reportedAt = new Map<string, number>()
  private lastResult = ''

  constructor (private readonly clock: Clock) {}

  /** Records that a server announced in a response that it is leaving. */
  addReport (server: string): void {
    this.reportedAt.set(server, this.clock.monotonic())
  }

  /** Returns the merged list of servers; undefined when it has not changed since the last call. */
  update (listedByPlatform: readonly string[]): readonly string[] | undefined {
    const now = this.clock.monotonic()
    for (const [server, at] of this.reportedAt) {
      if (now - at >= REPORT_LIFETIME_MILLISECONDS) this.reportedAt.delete(server)
    }
    const servers = [...new Set([...listedByPlatform, ...this.reportedAt.keys()])].sort()
    if (servers.join() === this.lastResult) return undefined
    this.lastResult = servers.join()
    return servers
  }
}
