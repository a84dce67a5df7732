/** Schemas of the table rows by which instances share the state and the evidence of rollouts. */

import * as z from 'zod'

export const ROLLOUTS_TABLE = 'rollouts'
export const EVIDENCE_TABLE = 'rollout-evidence'

const rolloutRow = z.object({
  version: z.string(),
  /** The revision that the row of the order had when this row was written. */
  orderRevision: z.number(),
  /** Milliseconds of the store's clock. */
  startedAt: z.number(),
  outcome: z.enum(['running', 'complete', 'rolled_back'])
}).readonly()

const outcomeCount = z.number().int().min(0)
const countsByRoute = z.record(z.string(), z.tuple([outcomeCount, outcomeCount, outcomeCount, outcomeCount]).readonly()).readonly()

const evidenceRow = z.object({
  instance: z.string(),
  orderRevision: z.number(),
  /** The new version; absent in rows that older versions wrote. */
  version: z.string().optional(),
  /** Milliseconds of the store's clock when the row was written. */
  at: z.number(),
  /** Answered and failed attempts. Older versions count slow ones among the failed ones. */
  counts: countsByRoute,
  /** Timely and slow attempts; absent in rows that older versions wrote. */
  speeds: countsByRoute.prefault({})
}).readonly()

export type RolloutRow = z.infer<typeof rolloutRow>
export type EvidenceRow = z.infer<typeof evidenceRow>

/** Returns undefined when the row is missing or is not a rollout row. */
export function readRolloutRow (value: unknown): RolloutRow | undefined {
  return rolloutRow.safeParse(value).data
}

/** Returns undefined when the row is missing or is not an evidence row. */
export function readEvidenceRow (value: unknown): EvidenceRow | undefined {
  return evidenceRow.safeParse(value).data
}
