/**
 * The times of the feeds, derived from the limits of the deployment.
 *
 * Instances read the store's changes in levels: one instance of the deployment, the root, reads the store for
 * the readers of all zones, and each of these reads for its zone. Nobody detects that the root is frozen or cut off
 * from the store except by the age of what it last read. So the wait of its polls is short enough that each level
 * can notice a late reading, ask its reader, and read the store itself before a change is overdue.
 */

/** Limits of the deployment, in milliseconds. */
export interface FeedLimits {
  /** Time within which an instance that reaches the store must know a change. */
  readonly change: number
  /** Time after an interruption from which that limit holds again. */
  readonly contact: number
}

/** Times in milliseconds. */
export interface FeedTimings {
  /** Wait of a long poll by an instance that reads only for itself. */
  readonly ownWait: number
  /** Maximum age of the reading of an instance that reads for others, when its next read begins to be answered. */
  readonly readerWait: number
  /** Age of a reading at which the reader of a zone asks the root. */
  readonly zoneReaderPatience: number
  /** Age of a reading at which another instance asks the reader of its zone. */
  readonly followerPatience: number
  /** Age above which a reading is not passed on to other instances. */
  readonly maximumPassedAge: number
}

/** Limits that hold where the settings name none. */
export const DEFAULT_FEED_LIMITS: FeedLimits = { change: 2000, contact: 3000 }

/** Time from the overdue notice of a reader until this instance has read the store itself: a call to the reader, a read and a margin. */
const FALLBACK_MILLISECONDS = 700
/** Time in which a zone's reader recovers before the other instances of the zone notice that their reading is late. */
const LEVEL_MILLISECONDS = 300
/** Time within which the answer to a poll whose wait is over arrives at the instances that depend on it. */
const DELIVERY_MILLISECONDS = 200
/** Time for noticing a connection that went silent and reading again. */
const SILENCE_MILLISECONDS = 1500
const MINIMUM_WAIT_MILLISECONDS = 400

/** Limits for tables whose changes are not urgent. */
export const RELAXED_FEED_LIMITS: FeedLimits = { change: 12_000, contact: 12_000 }

export function deriveFeedTimings ({ change, contact }: FeedLimits): FeedTimings {
  const followerPatience = Math.max(change - FALLBACK_MILLISECONDS, MINIMUM_WAIT_MILLISECONDS + DELIVERY_MILLISECONDS + LEVEL_MILLISECONDS)
  const zoneReaderPatience = followerPatience - LEVEL_MILLISECONDS
  const readerWait = zoneReaderPatience - DELIVERY_MILLISECONDS
  return { ownWait: Math.max(readerWait, contact - SILENCE_MILLISECONDS), readerWait, zoneReaderPatience, followerPatience, maximumPassedAge: zoneReaderPatience }
}
