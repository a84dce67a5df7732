/** Rows of the table `rollouts`, and the pure functions that update them with ratings. */

import { type ReadonlyCatalogue, type VersionEntry } from '#jayfall/catalogue'
import { type AnswerRating } from '#jayfall/store'
import { advanceMonitor, advanceRollout, createRollout, NEW_MONITOR, QualityEstimates, type MonitorState, type QualitySnapshot, type RolloutState } from '#jayfall/rollout'

import { parseOfferedId, type OfferedResponse } from './JayfallOfferedResponse'

export const ROLLOUTS_TABLE = 'rollouts'
/** Key of the row with the read position in the ratings. It is written in one transaction with the rows that the ratings change. */
export const CURSOR_KEY = 'cursor'

/** A row of the table. */
export type RolloutRow =
  /** `after`: position up to which the ratings have been read. */
  | { readonly kind: 'cursor', readonly after: number }
  /** A rollout that compares a new version with the version `old`. `isApplied`: the catalogue contains the result of the outcome. */
  | { readonly kind: 'rollout', readonly state: RolloutState, readonly old: string, readonly isApplied: boolean }
  /** The monitor of a version in service. `isApplied`: the catalogue contains the withdrawal of the bad version. */
  | { readonly kind: 'monitor', readonly state: MonitorState, readonly isApplied: boolean }
  /** The ratings of one cascade. */
  | { readonly kind: 'quality', readonly ratings: QualitySnapshot }

/** The rows by key. */
export type RolloutRows = ReadonlyMap<string, RolloutRow>

export function versionKey (version: string): string {
  return `version/${version}`
}

export function qualityKey (cascade: string): string {
  return `quality/${cascade}`
}

/** Adds the missing rows of versions with traffic: a rollout for a version that is being rolled out, a monitor for a version in service. */
export function addMissingRows (rows: RolloutRows, catalogue: ReadonlyCatalogue, now: number): RolloutRows {
  const result = new Map(rows)
  for (const version of catalogue.all('version')) {
    const key = versionKey(version.id)
    const row = rows.get(key)
    if (version.trafficShare === 0) continue
    const isRolloutMissing = row === undefined || (row.kind !== 'rollout' && version.state === 'rolling-out') || (row.kind === 'rollout' && row.isApplied && row.state.outcome === 'stopped')
    if (version.state === 'rolling-out' && isRolloutMissing) {
      const old = findOldVersion(catalogue, version)
      if (old !== undefined) result.set(key, { kind: 'rollout', state: createRollout(now), old: old.id, isApplied: false })
    } else if (version.state === 'in-service' && (row === undefined || (row.kind === 'rollout' && row.state.outcome === 'stopped') || (row.kind === 'monitor' && row.isApplied))) {
      result.set(key, { kind: 'monitor', state: NEW_MONITOR, isApplied: false })
    }
  }
  return result
}

/** Finds the version in service with the largest share of the model's traffic. */
function findOldVersion (catalogue: ReadonlyCatalogue, { id, model }: VersionEntry): VersionEntry | undefined {
  return catalogue.all('version')
    .filter(other => other.model === model && other.id !== id && other.state === 'in-service')
    .sort((left, right) => right.trafficShare - left.trafficShare)[0]
}

/** Adds ratings to all rows that depend on them; `now` is in wall-clock milliseconds. */
export function addRatings (rows: RolloutRows, ratings: readonly AnswerRating[], now: number): RolloutRows {
  const result = new Map(rows)
  for (const { requestId, version, score } of ratings) {
    const answer = parseOfferedId(requestId)
    if (answer === undefined || !(score >= 0 && score <= 1)) continue
    for (const [key, row] of [...result]) result.set(key, addRating(result, key, row, { answer, version, score }, now))
    if (answer.place !== undefined) addCascadeRating(result, answer.place.cascade, answer, score)
  }
  return result
}

/** A rating with its parsed identifier; `score` is between 0 and 1. */
interface ParsedRating {
  readonly answer: OfferedResponse
  readonly version: string
  readonly score: number
}

function addRating (rows: RolloutRows, key: string, row: RolloutRow, { answer: { answeredAt }, version, score }: ParsedRating, now: number): RolloutRow {
  const isOwnVersion = key === versionKey(version)
  if (row.kind === 'monitor' && isOwnVersion) return { ...row, state: advanceMonitor(row.state, [{ score, answeredAt }]) }
  if (row.kind !== 'rollout' || !(isOwnVersion || row.old === version)) return row
  return { ...row, state: advanceRollout(row.state, [{ isNew: isOwnVersion, score, answeredAt }], { now, reference: findReference(rows, row.old) }) }
}

/** Returns the reference quality of a version that is or was monitored. */
export function findReference (rows: RolloutRows, version: string): number | undefined {
  const row = rows.get(versionKey(version))
  return row?.kind === 'monitor' ? row.state.reference : undefined
}

function addCascadeRating (rows: Map<string, RolloutRow>, cascade: string, { place }: OfferedResponse, score: number): void {
  const row = rows.get(qualityKey(cascade))
  if (place === undefined) return
  const estimates = new QualityEstimates(row?.kind === 'quality' ? row.ratings : {})
  estimates.addRating(place.kind, place.step, place.signal, score)
  rows.set(qualityKey(cascade), { kind: 'quality', ratings: estimates.snapshot() })
}
