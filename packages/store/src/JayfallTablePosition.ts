/**
 * Positions in the sequence of a store's transactions.
 *
 * A store that comes back from a copy has lost its newest transactions and gives their revisions out again. So a
 * revision names a transaction only within an era of the store, which ends with each such return.
 */

/** The transaction with a revision, in an era of the store. */
export interface TablePosition {
  /** Number of the era; 0 for a store that names none. */
  readonly era: number
  /** Number of the transaction in the era. */
  readonly revision: number
}

/** The position before all transactions. */
export const FIRST_POSITION: TablePosition = { era: 0, revision: 0 }

/** Below 0 when `left` is before `right`, above 0 when it is after it, and 0 when both are the same. */
export function comparePositions (left: TablePosition, right: TablePosition): number {
  return left.era - right.era || left.revision - right.revision
}

export function isAfter (position: TablePosition, other: TablePosition): boolean {
  return comparePositions(position, other) > 0
}

export function laterPosition (left: TablePosition, right: TablePosition): TablePosition {
  return isAfter(right, left) ? right : left
}

/** The position as text, for logs and as a key. */
export function formatPosition ({ era, revision }: TablePosition): string {
  return `${era}/${revision}`
}
