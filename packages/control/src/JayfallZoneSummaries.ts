/**
 * Summaries of the zones: how many members a zone has, whom to call there, and its demands.
 *
 * Any member renews its zone's summary when it is old. The summary's clock only orders the
 * summaries of one zone; it starts at wall-clock milliseconds and then counts renewals, so a
 * zone whose members all restarted goes on above its earlier summaries.
 */

import { type Clock } from '#jayfall/shared'

import { SUMMARY_MILLISECONDS, ZONE_FORGOTTEN_AFTER_MILLISECONDS } from './JayfallControlConstants'

export interface ZoneSummary {
  readonly zone: string
  readonly clock: number
  readonly members: number
  /** Addresses of some live members. */
  readonly contacts: readonly string[]
  /** See `packDemands`. */
  readonly demands: string
  /** Backend servers of the zone that the platform's list shows as leaving. */
  readonly leavingServers: readonly string[]
}

interface HeardSummary {
  readonly summary: ZoneSummary
  /** Monotonic milliseconds at which the clock last advanced. */
  readonly heardAt: number
}

/** The newest summary of each zone. */
export class ZoneSummaries {
  private readonly byZone = new Map<string, HeardSummary>()

  constructor (private readonly zone: string, private readonly clock: Clock) {}

  get own (): ZoneSummary | undefined {
    return this.byZone.get(this.zone)?.summary
  }

  /** Other zones with the milliseconds since their summaries advanced. */
  otherZones (): readonly { readonly summary: ZoneSummary, readonly silence: number }[] {
    const now = this.clock.monotonic()
    return [...this.byZone.values()].filter(({ summary }) => summary.zone !== this.zone)
      .map(({ summary, heardAt }) => ({ summary, silence: now - heardAt }))
  }

  /** Renews the own zone's summary when it is due, or when it says something else about leaving servers. */
  renew (content: Omit<ZoneSummary, 'zone' | 'clock'>): void {
    const heard = this.byZone.get(this.zone)
    const age = heard === undefined ? Infinity : this.clock.monotonic() - heard.heardAt
    const isChanged = heard?.summary.leavingServers.join() !== content.leavingServers.join()
    if (age < SUMMARY_MILLISECONDS && !isChanged) return
    const clock = heard === undefined ? this.clock.wall() : heard.summary.clock + 1
    this.merge([{ ...content, zone: this.zone, clock }])
  }

  /** Takes summaries with a higher clock. */
  merge (summaries: readonly ZoneSummary[]): void {
    for (const summary of summaries) {
      const known = this.byZone.get(summary.zone)
      if (known !== undefined && summary.clock <= known.summary.clock) continue
      this.byZone.set(summary.zone, { summary, heardAt: this.clock.monotonic() })
    }
  }

  /** Zones with their clocks, packed. */
  digest (): string {
    return [...this.byZone.values()].map(({ summary }) => `${summary.zone}:${summary.clock.toString(36)}`).join(',')
  }

  /** Summaries that are newer than the sender of `digest` has them. */
  newerThan (digest: string): readonly ZoneSummary[] {
    const clocks = new Map(digest.split(',').map(part => {
      const [zone, clock] = part.split(':')
      return [zone, parseInt(clock, 36)]
    }))
    return [...this.byZone.values()].map(({ summary }) => summary).filter(({ zone, clock }) => (clocks.get(zone) ?? -1) < clock)
  }

  forgivePause (milliseconds: number): void {
    for (const [zone, { summary, heardAt }] of this.byZone) this.byZone.set(zone, { summary, heardAt: heardAt + milliseconds })
  }

  forgetSilent (): void {
    for (const { summary, silence } of this.otherZones()) {
      if (silence >= ZONE_FORGOTTEN_AFTER_MILLISECONDS) this.byZone.delete(summary.zone)
    }
  }
}
