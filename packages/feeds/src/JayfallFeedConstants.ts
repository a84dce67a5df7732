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

/** Minimum link bandwidth of a preferred reader, as a fraction of the highest bandwidth in the zone. Instances with links of about the same bandwidth are equally preferred. */
export const WIDE_LINK_FRACTION = 0.5
/** Maximum pause between two reads of an instance that reads for others, in milliseconds. */
export const READER_PAUSE_MILLISECONDS = 300
/** Time for which a reader sends notices to an instance that does not renew its subscription, and the interval of the renewals, in milliseconds. */
export const SUBSCRIPTION_LIFETIME_MILLISECONDS = 10_000
export const SUBSCRIPTION_INTERVAL_MILLISECONDS = 4000
/** Time in which a reader collects readings of several tables for one notice, in milliseconds. */
export const NOTICE_DELAY_MILLISECONDS = 10
/** Time-out of a call to a reader, in milliseconds. It is the time in which a frozen reader is noticed. */
export const PEER_TIMEOUT_MILLISECONDS = 450
/** Time in which a reader whose own reading is late renews it for a caller, in milliseconds. */
export const REFRESH_WAIT_MILLISECONDS = 250
/** Maximum wait in a call of an instance of the former version, which polls its reader. */
export const PEER_POLL_WAIT_MILLISECONDS = 800
/** Number of readers that one read tries before it reads from the store. */
export const MAXIMUM_READERS_TRIED = 2
/**
 * First and maximum time for which a reader that failed is excluded, in milliseconds. The first is longer than most freezes and
 * network interruptions; the maximum applies to an instance that has ended and whose row still exists.
 */
export const FIRST_EXCLUSION_MILLISECONDS = 5000
export const MAXIMUM_EXCLUSION_MILLISECONDS = 160_000
/** Time for which a reader is not asked that answers but has lost the store, in milliseconds. */
export const STALE_READER_EXCLUSION_MILLISECONDS = 1000
/** Time after which a failure of the store says nothing about the next one, in milliseconds. */
export const OWN_FAILURE_MEMORY_MILLISECONDS = 30_000
/** Time for which an instance reads only from the store after its own read of the store first failed, in milliseconds. */
export const PEER_READ_SUSPENSION_MILLISECONDS = 2000
/** Number of changed rows that a reader keeps for other instances, which need those of the last second or two. */
export const MAXIMUM_HISTORY_ROWS = 2000
/** Maximum size of the changes that a reader sends to one instance over a link of unknown bandwidth, in bytes. A link of 7 Mbit/s delivers this size to 20 instances in about 0.2 s. */
export const MINIMUM_RELAYED_BYTES = 8192
/** The same over any link. It is about the size of the longest configurations when they are compressed. */
export const MAXIMUM_RELAYED_BYTES = 131_072
/** Time within which a reader delivers changes to all instances that read from it, in seconds. */
export const RELAY_SECONDS = 0.2
/** Time for which an instance waits at its reader for the first reading of a new era of the store, in milliseconds. Shorter than the time-out of a call. */
export const ERA_WAIT_MILLISECONDS = 350
/** Number of times that an instance asks readers for a new era before it reads all rows itself. The readers may have to notice first that others do not answer. */
export const MAXIMUM_ERA_QUESTIONS = 5
/** Rate at which all instances together read whole tables, if none of them finds a reader, in pages a millisecond. Half of what the platform allows. */
export const WHOLE_READING_PAGES_PER_MILLISECOND = 1
/** Maximum time over which these readings are spread, in milliseconds. */
export const MAXIMUM_WHOLE_READING_DELAY_MILLISECONDS = 20_000
/** Number of eras of the store before the present one for which a reader remembers up to where it knew them. */
export const MAXIMUM_KEPT_ERAS = 8
/** Minimum size of a value that is compressed, in bytes. */
export const MINIMUM_COMPRESSIBLE_VALUE_BYTES = 1024
/** Maximum size of a value that is compressed, as a multiple of the limit of a reply. Compression reduces values to a tenth at best, so larger ones exceed the limit anyway. */
export const MAXIMUM_COMPRESSION_RATIO = 10
/** Maximum number of tables in one call to the reader. */
export const MAXIMUM_TABLES_PER_CALL = 16

export const INSTANCES_TABLE = 'instances'
/** Delay between the first start of a deployment and the listing of its instances, in milliseconds. The instances start within about a second. */
export const FIRST_LISTING_DELAY_MILLISECONDS = 1500
/** The same after any other start, when the rows of the other instances exist. A random part of it keeps instances that start together apart. */
export const LISTING_DELAY_MILLISECONDS = 200
/** Time between two writes of an instance's own row, and the age above which rows of other instances are removed, in milliseconds. */
export const REGISTRATION_INTERVAL_MILLISECONDS = 600_000
export const REGISTRATION_LIFETIME_MILLISECONDS = 1_500_000
/** Interval at which an instance checks whether its row is in the list and whether others are too old, in milliseconds. */
export const REGISTRATION_CHECK_INTERVAL_MILLISECONDS = 30_000
