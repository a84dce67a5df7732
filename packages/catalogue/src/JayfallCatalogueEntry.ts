/**
 * The catalogue's entries and their schema.
 *
 * Operators write entries as JSON. An entry is checked whole before it is written,
 * and again when it is read, so that no component meets a malformed one.
 */

import { z } from 'zod'

import { IDENTIFIER_PATTERN, MAXIMUM_IDENTIFIER_LENGTH } from './JayfallCatalogueConstants'
import { CatalogueError } from './JayfallCatalogueError'

const identifier = z.string().regex(IDENTIFIER_PATTERN).max(MAXIMUM_IDENTIFIER_LENGTH)
const count = z.number().int().nonnegative()
const positive = z.number().positive()

const versionSchema = z.strictObject({
  kind: z.literal('version'),
  id: identifier,
  model: identifier,
  version: z.string().min(1),
  owner: z.string().min(1),
  class: z.enum(['short', 'standard', 'long']),
  limits: z.strictObject({
    maximumPromptTokens: count,
    maximumOutputTokens: count,
    concurrentRequests: count
  }).readonly(),
  /** Prices in the deployment's currency for a million tokens. */
  price: z.strictObject({
    promptPerMillionTokens: z.number().nonnegative(),
    outputPerMillionTokens: z.number().nonnegative()
  }).readonly(),
  /** The share of good answers expected before ratings are known, 0 to 1. */
  quality: z.number().min(0).max(1),
  /** Tokens of prompt and output together. */
  contextLength: count,
  state: z.enum(['rolling-out', 'in-service', 'withdrawn']),
  /** The share of its model's new sessions, in hundredths. */
  trafficShare: z.number().min(0).max(100),
  /** What an instance does with new work once it can no longer confirm its catalogue. */
  whenCutOff: z.enum(['continue', 'stop'])
}).readonly()

const cascadeSchema = z.strictObject({
  kind: z.literal('cascade'),
  id: identifier,
  owner: z.string().min(1),
  /** Version identifiers, cheapest first. */
  steps: z.array(identifier).min(1).readonly(),
  qualityTarget: z.number().min(0).max(1),
  /** Milliseconds for all steps together. */
  deadline: positive
}).readonly()

const workspaceSchema = z.strictObject({
  kind: z.literal('workspace'),
  id: identifier,
  owner: z.string().min(1),
  /** Identifiers of the versions, cascades and services that the workspace may use. */
  allowed: z.array(identifier).readonly(),
  limits: z.strictObject({
    requestsPerSecond: positive,
    tokensPerSecond: positive,
    concurrentRequests: positive
  }).readonly(),
  /** SHA-256 of each caller key, in hexadecimal. */
  keys: z.array(z.string().regex(/^[0-9a-f]{64}$/)).readonly()
}).readonly()

const callSchema = z.strictObject({
  name: identifier,
  /** Whether the call may be sent again when its outcome is unknown. */
  repeatable: z.boolean(),
  price: z.number().nonnegative(),
  /** Whether the service answers which outcome a request identifier had. */
  outcomeLookup: z.boolean()
}).readonly()

const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  id: identifier,
  owner: z.string().min(1),
  type: z.enum(['engine', 'plain']),
  /** Version identifiers that an engine service runs. */
  versions: z.array(identifier).readonly(),
  calls: z.array(callSchema).readonly()
}).readonly()

const serverSchema = z.strictObject({
  kind: z.literal('server'),
  id: identifier,
  zone: identifier,
  /** IP address and port. */
  address: z.string().regex(/^[0-9.]+:\d+$/),
  service: identifier,
  /** Whether the server refuses orders that carry an old fencing number. */
  checksFencing: z.boolean(),
  leaving: z.boolean()
}).readonly()

const instanceMarkSchema = z.strictObject({
  kind: z.literal('instance-mark'),
  id: identifier,
  leaving: z.boolean()
}).readonly()

const entrySchema = z.discriminatedUnion('kind', [
  versionSchema, cascadeSchema, workspaceSchema, serviceSchema, serverSchema, instanceMarkSchema
])

export type VersionEntry = z.infer<typeof versionSchema>
export type CascadeEntry = z.infer<typeof cascadeSchema>
export type WorkspaceEntry = z.infer<typeof workspaceSchema>
export type ServiceEntry = z.infer<typeof serviceSchema>
export type ServiceCall = z.infer<typeof callSchema>
export type ServerEntry = z.infer<typeof serverSchema>
export type InstanceMarkEntry = z.infer<typeof instanceMarkSchema>
export type CatalogueEntry = z.infer<typeof entrySchema>
export type EntryKind = CatalogueEntry['kind']

/** The key of an entry: its kind and identifier. */
export function entryKey (entry: Pick<CatalogueEntry, 'kind' | 'id'>): string {
  return `${entry.kind}/${entry.id}`
}

/**
 * Checks `input` and returns the entry.
 * @throws CatalogueError `entry_invalid`, whose message names each wrong field.
 */
export function parseEntry (input: unknown): CatalogueEntry {
  const result = entrySchema.safeParse(input)
  if (result.success) return result.data
  const problems = result.error.issues.map(issue => `${issue.path.join('.') || 'entry'}: ${issue.message}`)
  throw new CatalogueError('entry_invalid', `the entry is not valid: ${problems.join('; ')}`, undefined, { problems })
}
