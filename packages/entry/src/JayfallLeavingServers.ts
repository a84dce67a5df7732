/** Backend servers that are leaving, from the platform's list and from what the data threads saw. */

import { type Clock } from '#jayfall/shared'

/** A server's own word that it is leaving counts for this long, as it gets no request that could repeat it. */
const REPORT_KEPT_MILLISECONDS = 600_000

/** Joins both sources and tells when the result changed. */
export class LeavingServers {
  private readonly reportedAt = new Map<string, number>()
  private sent = ''

  constructor (private readonly clock: Clock) {}

  /** Takes a server's own word. */
  report (server: string): void {
    this.reportedAt.set(server, this.clock.monotonic())
  }

  /** The joined servers, or undefined when they are those of the last call. */
  update (listed: readonly string[]): readonly string[] | undefined {
    const now = this.clock.monotonic()
    for (const [server, at] of this.reportedAt) {
      if (now - at >= REPORT_KEPT_MILLISECONDS) this.reportedAt.delete(server)
    }
    const servers = [...new Set([...listed, ...this.reportedAt.keys()])].sort()
    if (servers.join() === this.sent) return undefined
    this.sent = servers.join()
    return servers
  }
}
