/** Determines from the zones' status rows which zones and instances have not installed an accepted revision yet. */

import { STATUS_STALE_AFTER_MILLISECONDS } from './JayfallControlConstants'
import { type LaggingInstance, type ZoneStatus } from './JayfallZoneStatus'

/** An instance that has not installed the revision. */
export interface MissingInstance {
  readonly id: string
  readonly state: LaggingInstance['state']
  readonly revision: number
  /** Time for which the instance may continue without the revision, in milliseconds; undefined when it may continue until it is reachable again. */
  readonly mayContinue?: number
}

/** The state of a revision in one zone. */
export interface ZonePropagation {
  readonly zone: string
  /** `in-force`: all instances have the revision; `missing`: some lack it; `unreported`: the zone has written no recent row. */
  readonly state: 'in-force' | 'missing' | 'unreported'
  readonly members: number
  readonly leaving: readonly string[]
  /** Age of the row in milliseconds, as the difference between this machine's clock and that of the row's writer; undefined without a row. */
  readonly reportAge?: number
  readonly missing: readonly MissingInstance[]
  /** For zones whose missing instances are unknown: the time for which they may continue, in milliseconds; undefined when they may continue until they are reachable again. */
  readonly mayContinue?: number
}

/** The revision in question and the data for the report. */
export interface PropagationQuery {
  readonly revision: number
  /** Zones that are expected to have a status row. */
  readonly zones: readonly string[]
  readonly rows: readonly ZoneStatus[]
  /** Current wall-clock time in milliseconds. */
  readonly now: number
  /** Confirmation age in milliseconds at which instances without the revision stop; undefined when they do not stop. */
  readonly stopsAfter?: number
}

/** Reports the state of a revision in each zone. */
export function reportPropagation ({ revision, zones, rows, now, stopsAfter }: PropagationQuery): readonly ZonePropagation[] {
  const byZone = new Map(rows.map(row => [row.zone, row]))
  return [...new Set([...zones, ...byZone.keys()])].sort().map(zone => {
    const row = byZone.get(zone)
    if (row === undefined) return { zone, state: 'unreported', members: 0, leaving: [], missing: [], mayContinue: stopsAfter }
    const reportAge = Math.max(0, now - row.writtenAt)
    const common = { zone, members: row.members, leaving: row.leaving, reportAge }
    // An instance lacks no change that was accepted before its confirmation, so it stops at most `stopsAfter` after the acceptance.
    if (reportAge > STATUS_STALE_AFTER_MILLISECONDS) return { ...common, state: 'unreported', missing: [], mayContinue: stopsAfter }
    const missing = row.lagging.filter(instance => instance.revision < revision).map(({ id, state, revision: installed, confirmationAge }) =>
      ({ id, state, revision: installed, mayContinue: stopsAfter === undefined ? undefined : Math.max(0, stopsAfter - confirmationAge - reportAge) }))
    const isMissing = missing.length > 0 || row.lowestRevision < revision
    return { ...common, state: isMissing ? 'missing' : 'in-force', missing, ...(isMissing && missing.length === 0 ? { mayContinue: stopsAfter } : {}) }
  })
}
