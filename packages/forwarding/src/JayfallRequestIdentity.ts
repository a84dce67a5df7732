/**
 * What makes two requests of callers the same one, sent again.
 *
 * Each attempt of a caller has an identifier of its own, so a request that is repeated is recognized by what a server
 * gets to see of it. Bodies are read whole before a request is sent on, so the fingerprint covers all of the body.
 */

import { createHash } from 'node:crypto'

import { type PromptPart } from './JayfallForwardingProtocol'

export interface RequestIdentity {
  /** The same for all attempts of callers that a server cannot tell apart. */
  readonly fingerprint: string
  readonly promptParts: readonly PromptPart[]
}

export interface IdentifiedRequest {
  readonly method: string
  readonly host: string
  /** Path and query. */
  readonly path: string
  /** The workspace that the caller's key belongs to; undefined when the request needs no key. */
  readonly workspace: string | undefined
  readonly promptParts: readonly PromptPart[]
  readonly body: Buffer
}

/** Marks fingerprints, so that they are told from identifiers of prompt parts. */
const FINGERPRINT_PREFIX = 'request:'
const FINGERPRINT_LENGTH = 24

export function identifyRequest ({ method, host, path, workspace, promptParts, body }: IdentifiedRequest): RequestIdentity {
  const fields = JSON.stringify([method, host.toLowerCase(), path, workspace ?? null, promptParts.map(({ id }) => id)])
  const digest = createHash('sha256').update(fields).update(body).digest('hex')
  return { fingerprint: FINGERPRINT_PREFIX + digest.slice(0, FINGERPRINT_LENGTH), promptParts }
}

export function isFingerprint (text: string): boolean {
  return text.startsWith(FINGERPRINT_PREFIX)
}
