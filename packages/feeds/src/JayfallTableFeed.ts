/**
 * Follows one table of the store.
 *
 * The feed begins with all rows and goes on with changes. A reading that fails is repeated with a
 * growing pause; when the store has forgotten the changes, all rows are read again. Between a
 * failure and the next success the store counts as lost. Meanwhile readings do not wait for changes:
 * what a store in trouble does not answer must be given up early, to be asked again when it is back.
 */

import { isPlatformError, type TableChange, type TableChanges, type WatchableTableStore } from '#jayfall/store'
import { delay, type RandomSource } from '#jayfall/shared'

import { FEED_COALESCE_PAUSE, FEED_RETRY_MAXIMUM, FEED_RETRY_MINIMUM, FEED_WAIT } from './JayfallFeedConstants'

/** A reading that succeeded. */
export interface FeedReading {
  /** A snapshot has all rows of the table. */
  readonly kind: 'snapshot' | 'changes'
  readonly rows: readonly TableChange[]
  readonly revision: number
  /** The store's own steady clock, in milliseconds. */
  readonly storeTime: number
  /** Whether the readings before it failed. */
  readonly isAfterLoss: boolean
  /** The instance that read it from the store; undefined when this one did. */
  readonly reader: string | undefined
  /** Milliseconds from the call to its answer, with the wait for a change. */
  readonly callDuration: number
}

export type FeedEvent =
  | FeedReading
  /** The first failure since the last success; `took` is the time of the call in milliseconds. */
  | { readonly kind: 'lost', readonly cause: unknown, readonly callDuration: number }

export interface FeedOptions {
  readonly store: WatchableTableStore
  readonly table: string
  readonly random: RandomSource
  /** Ends the feed when it returns true. */
  readonly isStopped: () => boolean
  /** Milliseconds of the pause after a reading of the store that brought changes. */
  readonly coalescePause?: () => number
}

export async function * followTable ({ store, table, random, isStopped, coalescePause = () => FEED_COALESCE_PAUSE }: FeedOptions): AsyncGenerator<FeedEvent> {
  let revision: number | undefined
  let failures = 0
  while (!isStopped()) {
    const calledAt = performance.now()
    try {
      const isSnapshot = revision === undefined
      const reading: TableChanges = revision === undefined ? await store.snapshot(table) : await store.changes(table, revision, failures === 0 ? FEED_WAIT : 0)
      revision = reading.revision
      const isAfterLoss = failures > 0
      failures = 0
      yield { kind: isSnapshot ? 'snapshot' : 'changes', rows: reading.changes, revision, storeTime: reading.storeTime, isAfterLoss, reader: reading.reader, callDuration: performance.now() - calledAt }
      if (reading.changes.length > 0 && reading.isRelayed !== true) await delay(Math.min(coalescePause(), store.longestPause))
    } catch (error) {
      if (isPlatformError(error, 'history_lost')) {
        revision = undefined
        continue
      }
      if (failures++ === 0) yield { kind: 'lost', cause: error, callDuration: performance.now() - calledAt }
      await delay(Math.min(FEED_RETRY_MAXIMUM, FEED_RETRY_MINIMUM * 2 ** Math.min(failures - 1, 8)) * (0.5 + random.uniform()))
    }
  }
}
