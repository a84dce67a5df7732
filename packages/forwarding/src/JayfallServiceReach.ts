/**
 * Decides whether this instance can open connections to the servers of a service, without network I/O.
 *
 * Servers that crash are found one by one, by the requests that are sent to them. When several different servers of a
 * service refuse connections, or leave them unanswered, and none has accepted one since, the path of this instance is
 * the likely cause. From then on requests are not sent to the service's servers, so that no request waits for another
 * failure; probes, which carry no request, find the end of the cut. After it, requests return by degrees.
 */

import { rendezvousShare } from '#jayfall/shared'

import { MAXIMUM_UNOPENED_SERVERS, REACH_PROBE_INTERVAL_MILLISECONDS, REACH_RETURN_MILLISECONDS, REACH_WINDOW_MILLISECONDS } from './JayfallForwardingConstants'

interface ReachRow {
  /** Servers that could not be reached since one of the service was, with the monotonic time of the last failure. */
  readonly unopened: ReadonlyMap<string, number>
  /** Monotonic milliseconds at which the cut was noticed; undefined when there is none. */
  readonly cutAt: number | undefined
  readonly probedAt: number
  /** Monotonic milliseconds at which a server was reached again after a cut. */
  readonly regainedAt: number
}

const REACHED: ReachRow = { unopened: new Map(), cutAt: undefined, probedAt: -Infinity, regainedAt: -Infinity }

export type ReachChange = 'cut' | 'regained'

export class ServiceReach {
  private readonly rows = new Map<string, ReachRow>()

  /** Records that a server could not be reached. @param servers the number of servers of the service that are in use. */
  recordUnopened (service: string, server: string, servers: number, now: number): ReachChange | undefined {
    const row = this.rows.get(service) ?? REACHED
    const unopened = new Map([...row.unopened].filter(([, at]) => now - at < REACH_WINDOW_MILLISECONDS)).set(server, now)
    const isReturning = row.cutAt === undefined && now - row.regainedAt < REACH_RETURN_MILLISECONDS
    const required = isReturning ? 1 : Math.max(1, Math.min(MAXIMUM_UNOPENED_SERVERS, servers))
    const isNew = row.cutAt === undefined && unopened.size >= required
    this.rows.set(service, { ...row, unopened, ...(isNew ? { cutAt: now, probedAt: now } : {}) })
    return isNew ? 'cut' : undefined
  }

  /** Records that a connection to a server was opened. */
  recordOpened (service: string, now: number): ReachChange | undefined {
    const row = this.rows.get(service)
    if (row === undefined) return undefined
    if (row.cutAt === undefined) {
      if (row.unopened.size > 0) this.rows.set(service, { ...row, unopened: new Map() })
      return undefined
    }
    this.rows.set(service, { ...REACHED, regainedAt: now })
    return 'regained'
  }

  isCut (service: string): boolean {
    return this.rows.get(service)?.cutAt !== undefined
  }

  /** Whether a request should be sent to the servers of the service. After a cut, a growing share of requests is. */
  mayReach (service: string, request: string, now: number): boolean {
    const row = this.rows.get(service)
    if (row === undefined) return true
    if (row.cutAt !== undefined) return false
    const share = (now - row.regainedAt) / REACH_RETURN_MILLISECONDS
    return share >= 1 || rendezvousShare(request, service) < share
  }

  /** Yields the services whose servers should be probed now. */
  * dueProbes (now: number): Generator<string> {
    for (const [service, row] of this.rows) {
      if (row.cutAt === undefined || now - row.probedAt < REACH_PROBE_INTERVAL_MILLISECONDS) continue
      this.rows.set(service, { ...row, probedAt: now })
      yield service
    }
  }
}
