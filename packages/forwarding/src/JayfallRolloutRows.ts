/** The rows that instances share about rollouts. */

import { z } from 'zod'

export const ROLLOUTS_TABLE = 'rollouts'
export const EVIDENCE_TABLE = 'rollout-evidence'

const rolloutRow = z.object({
  version: z.string(),
  /** The revision of the order that this rollout carries out. */
  orderRevision: z.number(),
  /** The store's clock. */
  startedAt: z.number(),
  outcome: z.enum(['running', 'complete', 'rolled_back'])
}).readonly()

const count = z.number().int().min(0)

const evidenceRow = z.object({
  instance: z.string(),
  orderRevision: z.number(),
  /** The store's clock when it was written. */
  at: z.number(),
  counts: z.record(z.string(), z.tuple([count, count, count, count]).readonly()).readonly()
}).readonly()

export type RolloutRow = z.infer<typeof rolloutRow>
export type EvidenceRow = z.infer<typeof evidenceRow>

/** undefined when the row is missing or is not one of a rollout. */
export function readRolloutRow (value: unknown): RolloutRow | undefined {
  return rolloutRow.safeParse(value).data
}

/** undefined when the row is missing or is not one of evidence. */
export function readEvidenceRow (value: unknown): EvidenceRow | undefined {
  return evidenceRow.safeParse(value).data
}
