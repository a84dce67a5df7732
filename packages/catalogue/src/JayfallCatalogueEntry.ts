/**
 * The catalogue's entries and their schema.
 *
 * Operators write entries as JSON. An entry is validated as a whole before it is written,
 * and again when it is read, so that no component receives a malformed one.
 */

import * as z from 'zod'

import { IDENTIFIER_PATTERN, MAXIMUM_IDENTIFIER_LENGTH } from './JayfallCatalogueConstants'
import { CatalogueError } from './JayfallCatalogueError'

const identifierSchema = z.string().regex(IDENTIFIER_PATTERN).max(MAXIMUM_IDENTIFIER_LENGTH)
const countSchema = z.number().int().nonnegative()
const positiveSchema = z.number().positive()

const versionSchema = z.strictObject({
  kind: z.literal('version'),
  id: identifierSchema,
  model: identifierSchema,
  version: z.string().min(1),
  owner: z.string().min(1),
  class: z.enum(['short', 'standard', 'long']),
  limits: z.strictObject({
    maximumPromptTokens: countSchema,
    maximumOutputTokens: countSchema,
    concurrentRequests: countSchema
  }).readonly(),
  /** Prices of a million tokens, in the deployment's currency. */
  price: z.strictObject({
    promptPerMillionTokens: z.number().nonnegative(),
    outputPerMillionTokens: z.number().nonnegative()
  }).readonly(),
  /** The fraction of good answers that is expected before ratings are known, 0 to 1. */
  quality: z.number().min(0).max(1),
  /** The greatest number of prompt and output tokens together. */
  contextLength: countSchema,
  state: z.enum(['rolling-out', 'in-service', 'withdrawn']),
  /** The version's share of its model's new sessions, in percent. */
  trafficShare: z.number().min(0).max(100),
  /** What an instance does with new work on the version once it can no longer confirm its catalogue. */
  whenCutOff: z.enum(['continue', 'stop'])
}).readonly()

const cascadeSchema = z.strictObject({
  kind: z.literal('cascade'),
  id: identifierSchema,
  owner: z.string().min(1),
  /** Version identifiers, cheapest first. */
  steps: z.array(identifierSchema).min(1).readonly(),
  qualityTarget: z.number().min(0).max(1),
  /** Time limit for all steps together, in milliseconds. */
  deadline: positiveSchema
}).readonly()

const workspaceSchema = z.strictObject({
  kind: z.literal('workspace'),
  id: identifierSchema,
  owner: z.string().min(1),
  /** Identifiers of the versions, cascades and services that the workspace may use. */
  allowed: z.array(identifierSchema).readonly(),
  limits: z.strictObject({
    requestsPerSecond: positiveSchema,
    tokensPerSecond: positiveSchema,
    concurrentRequests: positiveSchema
  }).readonly(),
  /** SHA-256 hash of each caller key, in hexadecimal. */
  keys: z.array(z.string().regex(/^[0-9a-f]{64}$/)).readonly()
}).readonly()

const callSchema = z.strictObject({
  name: identifierSchema,
  /** Whether the call may be sent again when its outcome is unknown. */
  repeatable: z.boolean(),
  price: z.number().nonnegative(),
  /** Whether the service can report the outcome of a request by its identifier. */
  outcomeLookup: z.boolean()
}).readonly()

const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  id: identifierSchema,
  owner: z.string().min(1),
  type: z.enum(['engine', 'plain']),
  /** Identifiers of the versions that an engine service runs. */
  versions: z.array(identifierSchema).readonly(),
  calls: z.array(callSchema).readonly()
}).readonly()

const serverSchema = z.strictObject({
  kind: z.literal('server'),
  id: identifierSchema,
  zone: identifierSchema,
  /** IPv4 address and port. */
  address: z.string().regex(/^[0-9.]+:\d+$/),
  service: identifierSchema,
  /** Whether the server refuses orders that carry an old fencing number. */
  checksFencing: z.boolean(),
  leaving: z.boolean()
}).readonly()

const instanceMarkSchema = z.strictObject({
  kind: z.literal('instance-mark'),
  id: identifierSchema,
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

/** Returns the key of an entry, which consists of its kind and its identifier. */
export function entryKey (entry: Pick<CatalogueEntry, 'kind' | 'id'>): string {
  return `${entry.kind}/${entry.id}`
}

/**
 * Validates `input` and returns it as an entry.
 * @throws CatalogueError `entry_invalid`, whose message names each invalid field.
 */
export function parseEntry (input: unknown): CatalogueEntry {
  const result = entrySchema.safeParse(input)
  if (result.success) return result.data
  const problems = result.error.issues.map(issue => `${issue.path.join('.') || 'entry'}: ${issue.message}`)
  throw new CatalogueError('entry_invalid', `the entry is not valid: ${problems.join('; ')}`, undefined, { problems })
}
