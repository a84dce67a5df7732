/** The schema of the messages that instances exchange; requests and replies have the same form. */

import { parseEntry, type CatalogueChange, type CatalogueSnapshot } from '#jayfall/catalogue'
import * as z from 'zod'

const count = z.number().int().nonnegative()

/** Each received entry is validated, so that a malformed one is neither installed nor passed on. */
const catalogueEntry = z.unknown().transform(parseEntry)

const change: z.ZodType<CatalogueChange> = z.object({
  revision: count,
  key: z.string(),
  entry: z.union([z.null(), catalogueEntry]),
  writer: z.string(),
  writeId: z.string()
})

const snapshot: z.ZodType<CatalogueSnapshot> = z.object({
  revision: count,
  entries: z.array(z.object({ revision: count, entry: catalogueEntry }))
})

const memberEntry = z.object({
  key: z.string(),
  facts: z.object({ id: z.string(), address: z.string(), incarnation: count }).optional(),
  details: z.object({ version: count, leaving: z.boolean(), demands: z.string() })
})

const zoneSummary = z.object({
  zone: z.string(),
  clock: count,
  members: count,
  contacts: z.array(z.string()).readonly(),
  demands: z.string(),
  leavingServers: z.array(z.string()).readonly()
})

export const exchangeMessageSchema = z.object({
  /** `zone` and `other-zone`: periodic exchanges; `triggered`: passes on newly installed changes; `join`: sent by a starting instance. */
  kind: z.enum(['zone', 'other-zone', 'triggered', 'join']),
  /** The sender's zone. */
  zone: z.string(),
  /** The sender's installed catalogue revision. */
  revision: count,
  confirmed: z.object({ revision: count, age: z.number().nonnegative() }).optional(),
  /** Heartbeats of the sender's zone, encoded by `packHeartbeats`. They also show which entries the sender has. */
  beats: z.string().optional(),
  entries: z.array(memberEntry).readonly().optional(),
  /** Logical clocks of the summaries that the sender has, encoded by `ZoneSummaries.digest`. */
  clocks: z.string().optional(),
  summaries: z.array(zoneSummary).readonly().optional(),
  changes: z.array(change).readonly().optional(),
  /** Whether the sender needs a snapshot, because its peers no longer have the single changes that it lacks. */
  wantsSnapshot: z.boolean().optional(),
  snapshot: snapshot.optional()
})

export type ExchangeMessage = Readonly<z.infer<typeof exchangeMessageSchema>>
export type ExchangeKind = ExchangeMessage['kind']
