/** Constants of the feeds of the store's tables. Durations are milliseconds. */

/**
 * Longest wait of one reading of the store's changes. With the time that its answer may take and the next reading, a
 * connection that went silent is replaced within the 3 s after which the platform expects an instance to know every change.
 */
export const FEED_WAIT = 1500
/** Pause after a reading that brought changes, so that changes in quick succession are read together. */
export const FEED_COALESCE_PAUSE = 250
/** Pauses after a failed reading, half as much more or less. With the time-out of a reading without a wait they stay below the same 3 s. */
export const FEED_RETRY_MINIMUM = 150
export const FEED_RETRY_MAXIMUM = 500

/** Instances of a zone from which on one of them reads for all: its frequent readings cost as much as about three instances of their own. */
export const MINIMUM_SHARING_INSTANCES = 4
/** Part of the widest link in a zone from which on an instance is preferred as a reader: instances of one size stay alike. */
export const WIDE_LINK_SHARE = 0.5
/** Wait of a reading by an instance that others read from; bounds how late they notice that it lost the store. */
export const READER_WAIT = 600
/** Pause between two readings by such an instance. */
export const READER_PAUSE = 300
/** Age of a reader's last reading from which on it is of no use to others: a wait, a pause and a slow answer. */
export const MAXIMUM_READING_AGE = 1100
/** Wait of one call to the reader, and the time after which a call counts as failed: a frozen reader is noticed this late. */
export const PEER_WAIT = 800
export const PEER_TIMEOUT = 1100
/** How long an instance reads for others after the last call of one of them. */
export const READER_SPAN = 5000
/** How long a reader that did not answer is left out: longer than most freezes and cuts; and at most, for one that is gone and whose row is still there. */
export const READER_SUSPECT_SPAN = 5000
export const MAXIMUM_SUSPECT_SPAN = 160_000
/** How long an instance reads only by itself after its own reading of the store failed. */
export const OWN_READING_SPAN = 2000
/** Changed rows that a reader keeps for others; they need those of the last second or two. */
export const MAXIMUM_HISTORY_ROWS = 2000
/** Bytes of changes that a reader sends to one instance: 20 instances get them over a link of 7 Mbit/s within about 0.2 s. */
export const MAXIMUM_RELAYED_BYTES = 8192
/** Bytes of a value from which on it is compressed, and beyond which it is too large even then: values shrink to a fifth or a third. */
export const MINIMUM_PACKED_VALUE_BYTES = 1024
export const MAXIMUM_PACKED_VALUE_BYTES = 65_536
/** Tables that one call may name. */
export const MAXIMUM_TABLES_PER_CALL = 16

export const INSTANCES_TABLE = 'instances'
/** Instances of a deployment start within about a second; they look for each other after this time. */
export const FIRST_LISTING_DELAY = 3000
/** Time between two listings of the instances; a quarter more or less, so that they spread. */
export const LISTING_INTERVAL = 30_000
/** The same for each instance, where that is longer: a row has about 200 bytes, so listings stay below 1 KB a second. */
export const LISTING_TIME_PER_INSTANCE = 300
/** Time between two writes of the own row, and the age from which on rows of others are removed. */
export const REGISTRATION_INTERVAL = 600_000
export const REGISTRATION_LIFETIME = 1_500_000
/** Pause after a write or a listing that failed. */
export const REGISTER_RETRY = 2000
