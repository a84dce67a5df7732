/** Which zones and instances do not have an accepted revision yet, from the zones' status rows. */

import { STATUS_STALE_AFTER_MILLISECONDS } from './JayfallControlConstants'
import { type LaggingInstance, type ZoneStatus } from './JayfallZoneStatus'

/** An instance without the revision. */
export interface MissingInstance {
  readonly id: string
  readonly state: LaggingInstance['state']
  readonly revision: number
  /** Milliseconds for which it may go on without it; unset when until it is reached again. */
  readonly mayContinue?: number
}

export interface ZonePropagation {
  readonly zone: string
  /** `in-force` on all instances, `missing` on some, or `unreported` when the zone has written no recent row. */
  readonly state: 'in-force' | 'missing' | 'unreported'
  readonly members: number
  readonly leaving: readonly string[]
  /** Milliseconds since the row was written by the clocks of its writer and of this machine; unset without a row. */
  readonly reportAge?: number
  readonly missing: readonly MissingInstance[]
  /** For zones without a recent row: how long their instances may go on. Unset when until they are reached again. */
  readonly mayContinue?: number
}

export interface PropagationQuestion {
  readonly revision: number
  /** Zones that are to report. */
  readonly zones: readonly string[]
  readonly rows: readonly ZoneStatus[]
  /** Wall-clock milliseconds. */
  readonly now: number
  /** The confirmation age at which instances stop without the revision; unset when they do not. Milliseconds. */
  readonly stopsAfter?: number
}

/** The state of each zone. */
export function reportPropagation ({ revision, zones, rows, now, stopsAfter }: PropagationQuestion): readonly ZonePropagation[] {
  const byZone = new Map(rows.map(row => [row.zone, row]))
  return [...new Set([...zones, ...byZone.keys()])].sort().map(zone => {
    const row = byZone.get(zone)
    if (row === undefined) return { zone, state: 'unreported', members: 0, leaving: [], missing: [], mayContinue: stopsAfter }
    const reportAge = Math.max(0, now - row.writtenAt)
    const common = { zone, members: row.members, leaving: row.leaving, reportAge }
    // A confirmed instance lacks no change accepted before its confirmation, so it stops at most the whole limit after the acceptance.
    if (reportAge > STATUS_STALE_AFTER_MILLISECONDS) return { ...common, state: 'unreported', missing: [], mayContinue: stopsAfter }
    const missing = row.lagging.filter(instance => instance.revision < revision).map(({ id, state, revision: installed, confirmationAge }) =>
      ({ id, state, revision: installed, mayContinue: stopsAfter === undefined ? undefined : Math.max(0, stopsAfter - confirmationAge - reportAge) }))
    const isMissing = missing.length > 0 || row.lowestRevision < revision
    return { ...common, state: isMissing ? 'missing' : 'in-force', missing, ...(isMissing && missing.length === 0 ? { mayContinue: stopsAfter } : {}) }
  })
}
