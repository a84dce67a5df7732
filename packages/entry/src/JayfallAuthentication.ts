/** Authentication of callers and operators by API key. Keys are compared by hash in constant time and are never logged. */

import { createHash, timingSafeEqual } from 'node:crypto'

import { type ReadonlyCatalogue, type WorkspaceEntry } from '#jayfall/catalogue'

import { ApiError } from './JayfallApiError'

/**
 * Finds the workspace of the key in an `Authorization` header.
 * Every known hash is compared, so that the response time gives no information about the stored keys.
 * @throws ApiError `key_invalid`.
 */
export function authenticateCaller (catalogue: ReadonlyCatalogue, authorization: string | undefined): WorkspaceEntry {
  const digest = digestBearerKey(authorization)
  let found: WorkspaceEntry | undefined
  for (const workspace of catalogue.all('workspace')) {
    if (matchesAny(digest, workspace.keys)) found = workspace
  }
  if (found === undefined) throw new ApiError('key_invalid', 'the key is missing or not valid; send it as Authorization: Bearer')
  return found
}

/** Checks an operator's key. @throws ApiError `key_invalid` unless the header contains one. */
export function authenticateOperator (hashes: readonly string[], authorization: string | undefined): void {
  if (!matchesAny(digestBearerKey(authorization), hashes)) throw new ApiError('key_invalid', 'an operator\'s key is required')
}

function digestBearerKey (authorization: string | undefined): Buffer {
  const key = /^Bearer (.+)$/.exec(authorization ?? '')?.[1] ?? ''
  return createHash('sha256').update(key).digest()
}

function matchesAny (digest: Buffer, hashes: readonly string[]): boolean {
  let matches = false
  for (const hash of hashes) matches = timingSafeEqual(digest, Buffer.from(hash, 'hex')) || matches
  return matches
}
