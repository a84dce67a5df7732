/**
 * Finds requests that crash the servers that begin to run them, from reports of crashes.
 *
 * All requests that wait at a server when it crashes look equally guilty. The cause is the one that also waits at the
 * next servers that crash. Three crashes are proof enough, because a request may not crash more. Two suffice when no
 * other request was at both, unless crashes are frequent altogether; that is decided once the reports of the second
 * crash have come. When the cause is certain, its crashes are not held against the requests that waited beside it.
 */

import { LRUCache } from 'lru-cache'

import { CERTAIN_CRASHES_OF_REQUEST, CRASH_REPORTS_SETTLING_MILLISECONDS, MAXIMUM_CRASH_INCIDENTS, MAXIMUM_REQUESTS_PER_INCIDENT, MAXIMUM_TRACKED_REQUESTS, MINIMUM_REQUIRED_CRASHES, CRASH_REPORT_LIFETIME_MILLISECONDS, SAME_CRASH_MILLISECONDS } from './JayfallForwardingConstants'

/** A request waited for the begin of its answer at a server that crashed. */
export interface RequestCrash {
  readonly fingerprint: string
  readonly server: string
  /** Monotonic milliseconds. */
  readonly at: number
}

/** A request that crashes servers. */
export interface RequestFinding {
  readonly fingerprint: string
  readonly crashes: number
  readonly firstCrashAt: number
}

interface CrashIncident {
  readonly server: string
  readonly at: number
  readonly fingerprints: readonly string[]
}

export class RequestCrashes {
  private incidents: readonly CrashIncident[] = []
  /** Requests that are suspected. */
  private readonly suspects = new LRUCache<string, true>({ max: MAXIMUM_TRACKED_REQUESTS })
  /** Requests at two crashes that may be suspected when all reports of the second one have come, each with the time from which that is so. */
  private readonly unsettled = new LRUCache<string, number>({ max: MAXIMUM_TRACKED_REQUESTS })

  /** Adds a report. @returns the request if it is suspected. */
  add ({ fingerprint, server, at }: RequestCrash, now: number): RequestFinding | undefined {
    const recent = this.incidents.filter(incident => now - incident.at < CRASH_REPORT_LIFETIME_MILLISECONDS)
    const known = recent.find(incident => isSameIncident(incident, { server, at }))
    if (known?.fingerprints.includes(fingerprint) === true) return undefined
    const incident = known === undefined ? { server, at, fingerprints: [fingerprint] } : { ...known, fingerprints: [...known.fingerprints, fingerprint].slice(-MAXIMUM_REQUESTS_PER_INCIDENT) }
    this.incidents = [...recent.filter(other => other !== known), incident].slice(-MAXIMUM_CRASH_INCIDENTS)
    const counted = this.unexplainedIncidentsOf(fingerprint)
    if (this.suspects.has(fingerprint) || counted.length >= CERTAIN_CRASHES_OF_REQUEST) return this.suspect(fingerprint)
    if (counted.length >= MINIMUM_REQUIRED_CRASHES) this.unsettled.set(fingerprint, now + CRASH_REPORTS_SETTLING_MILLISECONDS)
    return undefined
  }

  /**
   * Decides on a request at two crashes.
   * @param requiredCrashes the number of crashes that a sound request hardly ever meets in a row.
   * @returns the request if it is suspected.
   */
  settle (fingerprint: string, requiredCrashes: () => number): RequestFinding | undefined {
    if (!this.unsettled.delete(fingerprint)) return undefined
    const incidents = this.unexplainedIncidentsOf(fingerprint)
    const isAlone = incidents.length >= MINIMUM_REQUIRED_CRASHES && !incidents[0].fingerprints.some(other => other !== fingerprint && incidents.every(({ fingerprints }) => fingerprints.includes(other)))
    return isAlone && incidents.length >= requiredCrashes() ? this.suspect(fingerprint) : undefined
  }

  /** Yields the requests that can be decided on. */
  * due (now: number): Generator<string> {
    for (const [fingerprint, at] of this.unsettled.entries()) if (now >= at) yield fingerprint
  }

  /** The request that is certain to have caused the crash of the server at that time. */
  explain (server: string, at: number): string | undefined {
    const incident = this.incidents.find(other => isSameIncident(other, { server, at }))
    return incident?.fingerprints.find(fingerprint => this.isCertain(fingerprint))
  }

  /** Yields the other suspects that were at no more than one crash without this request. */
  * explainedBy (fingerprint: string): Generator<string> {
    for (const other of this.suspects.keys()) {
      if (other !== fingerprint && this.incidentsOf(other).filter(({ fingerprints }) => !fingerprints.includes(fingerprint)).length <= 1) yield other
    }
  }

  /** Drops what stands against a request from before an answer to it began. */
  forget (fingerprint: string, begunAt: number): void {
    if (!this.incidentsOf(fingerprint).some(({ at }) => at < begunAt)) return
    this.suspects.delete(fingerprint)
    this.unsettled.delete(fingerprint)
    this.incidents = this.incidents.map(incident => incident.at < begunAt ? { ...incident, fingerprints: incident.fingerprints.filter(other => other !== fingerprint) } : incident)
  }

  private suspect (fingerprint: string): RequestFinding {
    this.suspects.set(fingerprint, true)
    this.unsettled.delete(fingerprint)
    const incidents = this.incidentsOf(fingerprint)
    return { fingerprint, crashes: incidents.length, firstCrashAt: Math.min(...incidents.map(({ at }) => at)) }
  }

  /** The crashes that a request was at, without those that another one, which was at as many, is certain to have caused. */
  private unexplainedIncidentsOf (fingerprint: string): readonly CrashIncident[] {
    const incidents = this.incidentsOf(fingerprint)
    const isCause = (other: string): boolean => other !== fingerprint && this.isCertain(other) && this.incidentsOf(other).length >= incidents.length
    return incidents.filter(({ fingerprints }) => !fingerprints.some(isCause))
  }

  private isCertain (fingerprint: string): boolean {
    return this.suspects.has(fingerprint) && this.incidentsOf(fingerprint).length >= CERTAIN_CRASHES_OF_REQUEST
  }

  private incidentsOf (fingerprint: string): readonly CrashIncident[] {
    return this.incidents.filter(({ fingerprints }) => fingerprints.includes(fingerprint))
  }
}

/** Requests at one server that crashes notice it within a short time. */
function isSameIncident (left: Pick<CrashIncident, 'server' | 'at'>, right: Pick<CrashIncident, 'server' | 'at'>): boolean {
  return left.server === right.server && Math.abs(left.at - right.at) < SAME_CRASH_MILLISECONDS
}
