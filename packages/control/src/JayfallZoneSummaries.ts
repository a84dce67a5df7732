/**
 * Summaries of the availability zones: the number of members, some of their addresses, and the demands.
 *
 * Any member renews the summary of its zone when it is old. The logical clock of a summary orders the
 * summaries of one zone. It starts at the wall-clock time in milliseconds and then counts renewals, so
 * that a zone whose members have all restarted continues above its earlier summaries.
 */

import { type Clock } from '#jayfall/shared'

import { SUMMARY_INTERVAL_MILLISECONDS, ZONE_REMOVED_AFTER_MILLISECONDS } from './JayfallControlConstants'

/** The summary of one zone. */
export interface ZoneSummary {
  readonly zone: string
  /** Logical clock; of two summaries of a zone, the one with the higher clock is newer. */
  readonly clock: number
  readonly members: number
  /** Addresses (IP address and port) of some live members. */
  readonly contacts: readonly string[]
  /** The demands of the zone, encoded by `packDemands`. */
  readonly demands: string
  /** Identifiers of the zone's backend servers that are leaving according to the platform's list. */
  readonly leavingServers: readonly string[]
}

interface ReceivedSummary {
  readonly summary: ZoneSummary
  /** Time at which the logical clock last advanced, in monotonic milliseconds. */
  readonly advancedAt: number
}

/** Holds the newest known summary of each zone. */
export class ZoneSummaries {
  private readonly byZone = new Map<string, ReceivedSummary>()

  constructor (private readonly zone: string, private readonly clock: Clock) {}

  get own (): ZoneSummary | undefined {
    return this.byZone.get(this.zone)?.summary
  }

  /** The summaries of the other zones. `silence`: milliseconds since the logical clock of the summary advanced. */
  otherZones (): readonly { readonly summary: ZoneSummary, readonly silence: number }[] {
    const now = this.clock.monotonic()
    return [...this.byZone.values()].filter(({ summary }) => summary.zone !== this.zone)
      .map(({ summary, advancedAt }) => ({ summary, silence: now - advancedAt }))
  }

  /** Renews the summary of the own zone when it is due, or when the set of leaving servers has changed. */
  renew (content: Omit<ZoneSummary, 'zone' | 'clock'>): void {
    const known = this.byZone.get(this.zone)
    const age = known === undefined ? Infinity : this.clock.monotonic() - known.advancedAt
    const isChanged = known?.summary.leavingServers.join() !== content.leavingServers.join()
    if (age < SUMMARY_INTERVAL_MILLISECONDS && !isChanged) return
    const clock = known === undefined ? this.clock.wall() : known.summary.clock + 1
    this.merge([{ ...content, zone: this.zone, clock }])
  }

  /** Merges summaries; only those with a higher logical clock have an effect. */
  merge (summaries: readonly ZoneSummary[]): void {
    for (const summary of summaries) {
      const known = this.byZone.get(summary.zone)
      if (known !== undefined && summary.clock <= known.summary.clock) continue
      this.byZone.set(summary.zone, { summary, advancedAt: this.clock.monotonic() })
    }
  }

  /** The logical clocks of all known summaries, encoded as text. */
  digest (): string {
    return [...this.byZone.values()].map(({ summary }) => `${summary.zone}:${summary.clock.toString(36)}`).join(',')
  }

  /** The summaries that are newer than those of the instance that sent `digest`. */
  newerThan (digest: string): readonly ZoneSummary[] {
    const clocks = new Map(digest.split(',').map(part => {
      const [zone, clock] = part.split(':')
      return [zone, parseInt(clock, 36)]
    }))
    return [...this.byZone.values()].map(({ summary }) => summary).filter(({ zone, clock }) => (clocks.get(zone) ?? -1) < clock)
  }

  /** Extends all deadlines by the length of a pause of this process, as it could receive no summaries meanwhile. */
  compensatePause (milliseconds: number): void {
    for (const [zone, { summary, advancedAt }] of this.byZone) this.byZone.set(zone, { summary, advancedAt: advancedAt + milliseconds })
  }

  /** Removes other zones whose summaries have not advanced for `ZONE_REMOVED_AFTER_MILLISECONDS`. */
  removeExpired (): void {
    for (const { summary, silence } of this.otherZones()) {
      if (silence >= ZONE_REMOVED_AFTER_MILLISECONDS) this.byZone.delete(summary.zone)
    }
  }
}
