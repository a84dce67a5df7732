/** Rendezvous hashing: a selection among members that changes little when members are added or removed. */

import { createHash } from 'node:crypto'

/** Number of distinct weights. */
const WEIGHT_COUNT = 2 ** 48

/** The weight of `member` for `key`, as an integer below 2^48. */
export function rendezvousWeight (key: string, member: string): number {
  return createHash('sha256').update(key).update('\0').update(member).digest().readUIntBE(0, 6)
}

/** The weight of `member` for `key`, scaled to [0, 1). */
export function rendezvousShare (key: string, member: string): number {
  return rendezvousWeight(key, member) / WEIGHT_COUNT
}

/** The members in descending order of their weight for `key`. */
export function rendezvousRank (key: string, members: Iterable<string>): readonly string[] {
  return [...members]
    .map(member => ({ member, weight: rendezvousWeight(key, member) }))
    .sort((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
    .map(({ member }) => member)
}

/** A hash of a name as an unsigned 32-bit integer, for `combineHashes`. */
export function hashName (name: string): number {
  return createHash('sha256').update(name).digest().readUInt32BE(0)
}

/**
 * The weight of a member for a key as an unsigned 32-bit integer, from the hashes of their names. Ranking many
 * members for many keys this way needs one hash of each name instead of one for each pair.
 */
export function combineHashes (keyHash: number, memberHash: number): number {
  // The finalizer of MurmurHash3, which makes every bit of the result depend on every bit of the input.
  let mixed = keyHash ^ memberHash
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
