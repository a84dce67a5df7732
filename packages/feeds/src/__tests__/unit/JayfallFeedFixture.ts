/** Positions, changes and readings for tests of the feeds. */

import { type TableChange, type TableChanges, type TablePosition } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

export const SILENT_LOG: Log = { debug () {}, info () {}, warn () {}, error () {} }

export function at (revision: number, era = 1): TablePosition {
  return { era, revision }
}

export function createChange (key: string, revision: number, value: unknown = revision, era = 1): TableChange {
  return { key, position: at(revision, era), value }
}

/** A reading up to a position; without changes if none are given. */
export function createReading (position: TablePosition, changes: readonly TableChange[] = [], storeTime = 0): TableChanges {
  return { changes, position, storeTime }
}
