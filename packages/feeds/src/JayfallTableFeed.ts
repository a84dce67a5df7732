/**
 * Follows the changes of one table of the store.
 *
 * The feed starts with all rows, or with the changes after a position, and continues with changes. It repeats a failed read after a growing
 * pause, and reads all rows again when the store no longer has the changes, or has come back from a copy. Between a failure and the
 * next success the store counts as lost. In this state the reads do not wait for changes, so that a
 * read that a failing store does not answer times out early and is repeated soon after the store recovers.
 */

import { isPlatformError, type TableChange, type TableChanges, type TablePosition, type WatchableTableStore } from '#jayfall/store'
import { type RandomSource } from '#jayfall/shared'

import { COALESCING_PAUSE_MILLISECONDS, MAXIMUM_RETRY_PAUSE_MILLISECONDS, MINIMUM_RETRY_PAUSE_MILLISECONDS, STORE_POLL_WAIT_MILLISECONDS } from './JayfallFeedConstants'

/** The result of a successful read. */
export interface FeedReading {
  /** A `snapshot` contains all rows of the table, and `changes` only those that changed. */
  readonly kind: 'snapshot' | 'changes'
  readonly rows: readonly TableChange[]
  readonly position: TablePosition
  /** Whether it is the first reading since the store came back from a copy, so that rows which were read before may be lost. */
  readonly isNewEra: boolean
  /** Time of the store's own monotonic clock, in milliseconds. */
  readonly storeTime: number
  /** Whether the preceding read failed. */
  readonly isAfterLoss: boolean
  /** Identifier of the instance that read the rows from the store; undefined when this instance did. */
  readonly reader: string | undefined
  /** Time from the call to its answer in milliseconds, including the wait for a change. */
  readonly callDuration: number
}

/** A successful read, or the loss of the store. */
export type FeedEvent =
  | FeedReading
  /** The first failure since the last success. `callDuration`: time until the call failed, in milliseconds. */
  | { readonly kind: 'lost', readonly cause: unknown, readonly callDuration: number }

export interface FeedOptions {
  readonly store: WatchableTableStore
  readonly table: string
  readonly random: RandomSource
  /** The feed ends when this function returns true. */
  readonly isStopped: () => boolean
  /** Pause after a read from the store that returned changes, in milliseconds. */
  readonly coalescePause?: () => number
  /** Position after which to begin with the changes; undefined to begin with all rows. */
  readonly after?: TablePosition
}

/** Yields the rows of a table and then its changes until `isStopped` returns true. */
export async function * followTable ({ store, table, random, isStopped, coalescePause = () => COALESCING_PAUSE_MILLISECONDS, after }: FeedOptions): AsyncGenerator<FeedEvent> {
  let position = after
  let era = after?.era
  let failures = 0
  while (!isStopped()) {
    const calledAt = performance.now()
    try {
      const isSnapshot = position === undefined
      const reading: TableChanges = position === undefined ? await store.snapshot(table) : await store.changes(table, position, failures === 0 ? STORE_POLL_WAIT_MILLISECONDS : 0)
      position = reading.position
      const isNewEra = era !== undefined && position.era > era
      era = position.era
      const isAfterLoss = failures > 0
      failures = 0
      yield { kind: isSnapshot ? 'snapshot' : 'changes', rows: reading.changes, position, isNewEra, storeTime: reading.storeTime, isAfterLoss, reader: reading.reader, callDuration: performance.now() - calledAt }
      if (reading.changes.length > 0 && reading.isRelayed !== true) await store.pause(Math.min(coalescePause(), store.maximumReadPause))
    } catch (error) {
      if (position !== undefined && isPlatformError(error, 'history_lost', 'era_changed')) {
        position = undefined
        continue
      }
      if (failures++ === 0) yield { kind: 'lost', cause: error, callDuration: performance.now() - calledAt }
      await store.pause(Math.min(MAXIMUM_RETRY_PAUSE_MILLISECONDS, MINIMUM_RETRY_PAUSE_MILLISECONDS * 2 ** Math.min(failures - 1, 8)) * (0.5 + random.uniform()))
    }
  }
}
