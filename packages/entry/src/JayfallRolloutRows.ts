/** Rows of the `rollouts` table, and how ratings change them. */

import { type ReadonlyCatalogue, type VersionEntry } from '#jayfall/catalogue'
import { type AnswerRating } from '#jayfall/store'
import { advanceMonitor, advanceRollout, createRollout, NEW_MONITOR, QualityEstimates, type MonitorState, type QualitySnapshot, type RolloutState } from '#jayfall/rollout'

import { parseOfferedId, type RatedAnswer } from './JayfallRatingOffer'

export const ROLLOUTS_TABLE = 'rollouts'
/** How far the ratings have been read; written together with the evidence from them. */
export const CURSOR_KEY = 'cursor'

export type RolloutRow =
  | { readonly kind: 'cursor', readonly after: number }
  /** `isApplied`: the catalogue holds what the outcome asks for. */
  | { readonly kind: 'rollout', readonly state: RolloutState, readonly old: string, readonly isApplied: boolean }
  | { readonly kind: 'monitor', readonly state: MonitorState, readonly isApplied: boolean }
  /** Ratings of one cascade. */
  | { readonly kind: 'quality', readonly ratings: QualitySnapshot }

export type RolloutRows = ReadonlyMap<string, RolloutRow>

export function versionKey (version: string): string {
  return `version/${version}`
}

export function qualityKey (cascade: string): string {
  return `quality/${cascade}`
}

/** Adds the rows that versions need: a roll-out for those that are rolled out, a monitor for those in service. */
export function addMissingRows (rows: RolloutRows, catalogue: ReadonlyCatalogue, now: number): RolloutRows {
  const result = new Map(rows)
  for (const version of catalogue.all('version')) {
    const key = versionKey(version.id)
    const row = rows.get(key)
    if (version.trafficShare === 0) continue
    const isNewStart = row === undefined || (row.kind !== 'rollout' && version.state === 'rolling-out') || (row.kind === 'rollout' && row.isApplied && row.state.outcome === 'stopped')
    if (version.state === 'rolling-out' && isNewStart) {
      const old = findOldVersion(catalogue, version)
      if (old !== undefined) result.set(key, { kind: 'rollout', state: createRollout(now), old: old.id, isApplied: false })
    } else if (version.state === 'in-service' && (row === undefined || (row.kind === 'rollout' && row.state.outcome === 'stopped') || (row.kind === 'monitor' && row.isApplied))) {
      result.set(key, { kind: 'monitor', state: NEW_MONITOR, isApplied: false })
    }
  }
  return result
}

/** The version in service with most of the model's traffic. */
function findOldVersion (catalogue: ReadonlyCatalogue, { id, model }: VersionEntry): VersionEntry | undefined {
  return catalogue.all('version')
    .filter(other => other.model === model && other.id !== id && other.state === 'in-service')
    .sort((left, right) => right.trafficShare - left.trafficShare)[0]
}

/** Adds ratings to all rows that they concern. */
export function addRatings (rows: RolloutRows, ratings: readonly AnswerRating[], now: number): RolloutRows {
  const result = new Map(rows)
  for (const { requestId, version, score } of ratings) {
    const answer = parseOfferedId(requestId)
    if (answer === undefined || !(score >= 0 && score <= 1)) continue
    for (const [key, row] of [...result]) result.set(key, addRating(result, key, row, { answer, version, score }, now))
    if (answer.place !== undefined) addQuality(result, answer.place.cascade, answer, score)
  }
  return result
}

interface ParsedRating {
  readonly answer: RatedAnswer
  readonly version: string
  readonly score: number
}

function addRating (rows: RolloutRows, key: string, row: RolloutRow, { answer: { answeredAt }, version, score }: ParsedRating, now: number): RolloutRow {
  const isOwn = key === versionKey(version)
  if (row.kind === 'monitor' && isOwn) return { ...row, state: advanceMonitor(row.state, [{ score, answeredAt }]) }
  if (row.kind !== 'rollout' || !(isOwn || row.old === version)) return row
  return { ...row, state: advanceRollout(row.state, [{ isNew: isOwn, score, answeredAt }], { now, reference: referenceOf(rows, row.old) }) }
}

/** The reference of a version that is or was monitored. */
export function referenceOf (rows: RolloutRows, version: string): number | undefined {
  const row = rows.get(versionKey(version))
  return row?.kind === 'monitor' ? row.state.reference : undefined
}

function addQuality (rows: Map<string, RolloutRow>, cascade: string, { place }: RatedAnswer, score: number): void {
  const row = rows.get(qualityKey(cascade))
  if (place === undefined) return
  const estimates = new QualityEstimates(row?.kind === 'quality' ? row.ratings : {})
  estimates.addRating(place.kind, place.step, place.signal, score)
  rows.set(qualityKey(cascade), { kind: 'quality', ratings: estimates.snapshot() })
}
