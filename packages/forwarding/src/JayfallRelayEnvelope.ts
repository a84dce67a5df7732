/**
 * What instances send each other with a request that one of them cannot take to the servers itself.
 *
 * The instance that the caller reached has decided on the route, the workspace, the service and the session by its
 * catalogue; the other one chooses servers only. The head is JSON behind its length, and the caller's body follows it.
 * An answer is the server's, with one header more that tells how the other instance ended the request.
 */

import { type IncomingHttpHeaders } from 'node:http'

import * as z from 'zod'

/** Path of the call on the listener for other instances. */
export const RELAY_PATH = '/relay'
export const RELAY_METHOD = 'POST'
const OUTCOME_HEADER = 'jayfall-relay'
const LENGTH_BYTES = 4

const relayHead = z.object({
  /** The instance that the caller reached. */
  from: z.string(),
  catalogueVersion: z.number(),
  requestId: z.string(),
  method: z.string(),
  path: z.string(),
  /** Names and values in turn, as the caller sent them. */
  rawHeaders: z.array(z.string()).readonly(),
  workspace: z.object({ name: z.string(), priority: z.number().optional() }).readonly().optional(),
  route: z.object({
    name: z.string(),
    host: z.string(),
    prefix: z.string(),
    targets: z.array(z.object({ service: z.string(), weight: z.number() }).readonly()).readonly(),
    isStream: z.boolean(),
    isRepeatable: z.boolean(),
    maximumAttempts: z.number(),
    timeout: z.number(),
    objective: z.number(),
    eventGapObjective: z.number(),
    priority: z.number(),
    models: z.array(z.string()).readonly(),
    isPublic: z.boolean()
  }).readonly(),
  /** Fields of the caller's headers, without the key: it was checked already. */
  fields: z.object({
    lastEventId: z.string().optional(),
    session: z.string().optional(),
    model: z.string().optional(),
    promptTokens: z.number(),
    maximumOutputTokens: z.number(),
    promptParts: z.array(z.object({ id: z.string(), tokens: z.number() }).readonly()).readonly()
  }).readonly(),
  service: z.string(),
  session: z.string(),
  isSharedSession: z.boolean(),
  /** The version that the session ran on last, if the instance knows it. */
  sessionVersion: z.string().optional(),
  fingerprint: z.string(),
  /** Milliseconds since the request arrived, and that are left for it. */
  age: z.number(),
  left: z.number(),
  /** Attempts at servers that were made, and the servers that must not be tried again. */
  sentAttempts: z.number(),
  triedServers: z.array(z.string()).readonly(),
  mayHaveRun: z.boolean(),
  /** The last event that the caller has; undefined before the first one. */
  resumeAfter: z.string().optional()
}).readonly()

export type RelayHead = z.infer<typeof relayHead>

const relayOutcome = z.discriminatedUnion('kind', [
  /** The answer is a server's. */
  z.object({ kind: z.literal('answered'), version: z.string().optional() }).readonly(),
  /** The request has not run. `isUnable`: the instance could not take it to any server. */
  z.object({ kind: z.literal('refused'), code: z.string(), retryAfter: z.number(), isUnable: z.boolean() }).readonly(),
  z.object({ kind: z.literal('failed'), code: z.string() }).readonly()
])

/** How the other instance ended the request. */
export type RelayOutcome = z.infer<typeof relayOutcome>

export function encodeRelay (head: RelayHead, body: Buffer): Buffer {
  const text = Buffer.from(JSON.stringify(head))
  const length = Buffer.alloc(LENGTH_BYTES)
  length.writeUInt32BE(text.length)
  return Buffer.concat([length, text, body])
}

/** @returns undefined when the bytes are no relayed request. */
export function decodeRelay (bytes: Buffer): { readonly head: RelayHead, readonly body: Buffer } | undefined {
  if (bytes.length < LENGTH_BYTES) return undefined
  const end = LENGTH_BYTES + bytes.readUInt32BE()
  if (end > bytes.length) return undefined
  const head = parseJson(bytes.toString('utf8', LENGTH_BYTES, end), relayHead)
  return head === undefined ? undefined : { head, body: bytes.subarray(end) }
}

export function encodeOutcome (outcome: RelayOutcome): readonly [string, string] {
  return [OUTCOME_HEADER, JSON.stringify(outcome)]
}

/** @returns undefined when the answer does not come from the other instance's forwarding. */
export function decodeOutcome (headers: IncomingHttpHeaders): RelayOutcome | undefined {
  return parseJson(String(headers[OUTCOME_HEADER] ?? ''), relayOutcome)
}

/** The headers of an answer without the one that only instances read. */
export function withoutOutcome (rawHeaders: readonly string[]): readonly string[] {
  return rawHeaders.filter((_, index) => rawHeaders[index - index % 2].toLowerCase() !== OUTCOME_HEADER)
}

function parseJson<Value> (text: string, schema: z.ZodType<Value>): Value | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
