/** Rendezvous hashing: a choice among members that changes little when members come and go. */

import { createHash } from 'node:crypto'

/** Number of different weights. */
const WEIGHTS = 2 ** 48

/** The weight of `member` for `key`, as an integer below 2^48. */
export function rendezvousWeight (key: string, member: string): number {
  return createHash('sha256').update(key).update('\0').update(member).digest().readUIntBE(0, 6)
}

/** The weight of `member` for `key` as a part of the largest one, in [0, 1). */
export function rendezvousShare (key: string, member: string): number {
  return rendezvousWeight(key, member) / WEIGHTS
}

/** Members in falling order of weight for `key`. */
export function rendezvousRank (key: string, members: Iterable<string>): readonly string[] {
  return [...members]
    .map(member => ({ member, weight: rendezvousWeight(key, member) }))
    .sort((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
    .map(({ member }) => member)
}
