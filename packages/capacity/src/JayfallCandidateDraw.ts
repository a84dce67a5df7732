/**
 * Draws the servers that are compared for one request.
 *
 * Many instances know the same load reports. If all of them compared all servers, they would send to the least loaded one
 * until the next reports arrive. The draw follows from the hash of an attempt, so it differs between requests and is the
 * same each time that one attempt is decided.
 */

import { combineHashes } from '#jayfall/shared'

import { DRAWN_SERVERS } from './JayfallCapacityConstants'

/** A server with the hash of its name. */
export interface HashedServer {
  readonly affinityHash: number
}

/** Yields the drawn candidates. @param isKept whether a candidate is compared in any case. */
export function * drawCandidates<Candidate extends HashedServer> (candidates: readonly Candidate[], requestHash: number, isKept: (candidate: Candidate) => boolean): Generator<Candidate> {
  const drawn: { readonly candidate: Candidate, readonly weight: number }[] = []
  for (const candidate of candidates) {
    if (isKept(candidate)) {
      yield candidate
      continue
    }
    const weight = combineHashes(requestHash, candidate.affinityHash)
    if (drawn.length === DRAWN_SERVERS && weight >= drawn[DRAWN_SERVERS - 1].weight) continue
    const index = drawn.findIndex(other => weight < other.weight)
    drawn.splice(index === -1 ? drawn.length : index, 0, { candidate, weight })
    if (drawn.length > DRAWN_SERVERS) drawn.pop()
  }
  for (const { candidate } of drawn) yield candidate
}
