/** Constants of the feeds of the store's tables and of the reads that instances of a zone share. */

/**
 * Maximum wait of a long poll for changes of the store, in milliseconds. Together with the time limit for its answer and
 * the next read, an unresponsive connection is replaced within the 3 s in which the platform expects every change to reach an instance.
 */
export const STORE_POLL_WAIT_MILLISECONDS = 1500
/** Pause after a read that returned changes, in milliseconds, so that changes in quick succession are read together. */
export const COALESCING_PAUSE_MILLISECONDS = 250
/**
 * Minimum and maximum pause after a failed read, in milliseconds, before a random variation of up to half in both directions.
 * Together with the time-out of a read without a wait they stay below the same 3 s.
 */
export const MINIMUM_RETRY_PAUSE_MILLISECONDS = 150
export const MAXIMUM_RETRY_PAUSE_MILLISECONDS = 500

/** Number of instances in a zone at which one of them starts to read for all. The frequent reads of that instance cost as much as the reads of about three instances. */
export const MINIMUM_SHARING_INSTANCES = 4
/** Minimum link bandwidth of a preferred reader, as a fraction of the highest bandwidth in the zone. Instances with links of about the same bandwidth are equally preferred. */
export const WIDE_LINK_FRACTION = 0.5
/** Wait of a long poll by the reader of a zone, in milliseconds. It bounds the time until the other instances detect that the reader has lost the store. */
export const READER_POLL_WAIT_MILLISECONDS = 600
/** Pause between two reads by the reader of a zone, in milliseconds. */
export const READER_PAUSE_MILLISECONDS = 300
/** Age of the reader's last read at which other instances no longer use it, in milliseconds: the sum of a wait, a pause and the time of a slow answer. */
export const MAXIMUM_READ_AGE_MILLISECONDS = 1100
/** Maximum wait of a long poll of the reader, and the time-out of the call, in milliseconds. The time-out is the time in which a frozen reader is detected. */
export const PEER_POLL_WAIT_MILLISECONDS = 800
export const PEER_TIMEOUT_MILLISECONDS = 1100
/** Time for which an instance keeps the reader role after the last call of another instance, in milliseconds. */
export const READER_ROLE_MILLISECONDS = 5000
/**
 * First and maximum time for which a reader that failed is excluded, in milliseconds. The first is longer than most freezes and
 * network interruptions; the maximum applies to an instance that has ended and whose row still exists.
 */
export const FIRST_EXCLUSION_MILLISECONDS = 5000
export const MAXIMUM_EXCLUSION_MILLISECONDS = 160_000
/** Time for which an instance reads only from the store after its own read of the store failed, in milliseconds. */
export const PEER_READ_SUSPENSION_MILLISECONDS = 2000
/** Number of changed rows that a reader keeps for other instances, which need those of the last second or two. */
export const MAXIMUM_HISTORY_ROWS = 2000
/** Maximum size of the changes that a reader sends to one instance, in bytes. A link of 7 Mbit/s delivers this size to 20 instances in about 0.2 s. */
export const MAXIMUM_RELAYED_BYTES = 8192
/** Minimum and maximum size of a value that is compressed, in bytes. Compression reduces values to a fifth or a third, so larger ones exceed the limit of a reply anyway. */
export const MINIMUM_COMPRESSIBLE_VALUE_BYTES = 1024
export const MAXIMUM_COMPRESSIBLE_VALUE_BYTES = 65_536
/** Maximum number of tables in one call to the reader. */
export const MAXIMUM_TABLES_PER_CALL = 16

export const INSTANCES_TABLE = 'instances'
/** Delay between the start of an instance and its first listing of the other instances, in milliseconds. The instances of a deployment start within about a second. */
export const FIRST_LISTING_DELAY_MILLISECONDS = 3000
/** Minimum time between two listings of the instances, in milliseconds, before a random variation of up to a quarter in both directions. */
export const LISTING_INTERVAL_MILLISECONDS = 30_000
/** Time between two listings for each listed instance, in milliseconds, where that is longer. A row has about 200 bytes, so listings stay below 1 KB a second. */
export const LISTING_INTERVAL_PER_INSTANCE_MILLISECONDS = 300
/** Time between two writes of an instance's own row, and the age above which rows of other instances are removed, in milliseconds. */
export const REGISTRATION_INTERVAL_MILLISECONDS = 600_000
export const REGISTRATION_LIFETIME_MILLISECONDS = 1_500_000
/** Pause after a failed write or listing, in milliseconds. */
export const REGISTRY_RETRY_PAUSE_MILLISECONDS = 2000
