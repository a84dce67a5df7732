/**
 * Decides how an instance gets from one era of the store to the next, without a network.
 *
 * When the store has come back from a copy, every instance has to compare all rows with what it knows. Only the root
 * reads them all. It passes on the rows that differ, and each level of readers hands these to the next one. An instance
 * without a reader that knows the new era reads all rows itself; such readings are spread, because all instances of a
 * zone may be in the same situation.
 */

import { LISTING_PAGE_ROWS } from '#jayfall/store'

import { MAXIMUM_ERA_QUESTIONS, MAXIMUM_WHOLE_READING_DELAY_MILLISECONDS, WHOLE_READING_PAGES_PER_MILLISECOND } from './JayfallFeedConstants'
import { type FeedInstance } from './JayfallReaderSelector'

/** The next step of an instance. */
export type CatchUpStep =
  /** Ask a reader for the rows that differ, and wait while it reads them itself. */
  | { readonly kind: 'ask_reader', readonly reader: FeedInstance }
  | { readonly kind: 'wait', readonly milliseconds: number }
  /** Read all rows from the store. */
  | { readonly kind: 'read_all' }

/** `waiting`: the reader has not reached the new era yet; `failed`: it did not answer; `refused`: it cannot serve this instance's position. */
export type CatchUpOutcome = 'done' | 'waiting' | 'failed' | 'refused'

export interface CatchUpOptions {
  /** The instance to read from at present; undefined for the root. */
  readonly selectReader: () => FeedInstance | undefined
  /** Number of instances that may have to read all rows. */
  readonly instanceCount: () => number
  /** Number of rows of the table, as far as they are known. */
  readonly rowCount: number
  /** A random number from 0 to 1. */
  readonly uniform: () => number
}

/** Yields the steps for one table and receives the outcome of each; ends when the instance has reached the new era. */
export function * planEraCatchUp ({ selectReader, instanceCount, rowCount, uniform }: CatchUpOptions): Generator<CatchUpStep, void, CatchUpOutcome> {
  for (let questions = 0; questions < MAXIMUM_ERA_QUESTIONS; questions++) {
    const reader = selectReader()
    if (reader === undefined) {
      yield { kind: 'read_all' }
      return
    }
    const outcome = yield { kind: 'ask_reader', reader }
    if (outcome === 'done') return
    if (outcome === 'refused') break
  }
  const pages = Math.max(1, Math.ceil(rowCount / LISTING_PAGE_ROWS))
  const spread = instanceCount() * pages / WHOLE_READING_PAGES_PER_MILLISECOND
  yield { kind: 'wait', milliseconds: uniform() * Math.min(MAXIMUM_WHOLE_READING_DELAY_MILLISECONDS, spread) }
  yield { kind: 'read_all' }
}
