/** Constants of the ledger. */

/** Table of the claims and outcomes of non-idempotent calls, keyed by `{workspace}/{key}`. */
export const CALLS_TABLE = 'calls'
/** Table with one row for each call that is `dispatched` or `unknown`, so that recovery need not read all of `calls`. */
export const OPEN_CALLS_TABLE = 'calls-open'
/** Prefix of the names of objects that hold bills. */
export const BILLS_PREFIX = 'bills/'

export const MAXIMUM_ROWS_PER_COMMIT = 100
/** Number of conditional writes that one claim or outcome may take in the foreground. */
export const MAXIMUM_WRITE_ROUNDS = 4
/** Limits on the rows that are kept in memory for a later write, and on the bytes of their outcomes. */
export const MAXIMUM_PENDING_ROWS = 10_000
export const MAXIMUM_PENDING_BYTES = 16 * 1024 * 1024

/** A single store call that fails after this time counts as an outage, because a further call would wait as long. */
export const SLOW_FAILURE_MILLISECONDS = 1000
/** Number of consecutive quicker failures that count as an outage. */
export const OUTAGE_CONSECUTIVE_FAILURES = 3
export const INITIAL_BACKOFF_MILLISECONDS = 250
/** With 890 instances this results in about 220 probes per second of a store that is down. */
export const MAXIMUM_BACKOFF_MILLISECONDS = 8000

/** A row that recovery has seen unchanged for this long may have lost its owner. */
export const RECOVERY_AGE_MILLISECONDS = 30_000
/** A service that does not know a request after this time is not asked again. */
export const RECOVERY_LIMIT_MILLISECONDS = 600_000
/** Number of rows that one recovery pass processes concurrently. */
export const RECOVERY_CONCURRENCY = 16

export const MAXIMUM_BILLS_PER_BATCH = 500
/** Interval at which bills are replicated that were not sent at once, because a message was in flight or no witness was live. */
export const REPLICATION_INTERVAL_MILLISECONDS = 20
/** A witness that has not acknowledged within this time is skipped. */
export const WITNESS_TIMEOUT_MILLISECONDS = 50
/** Number of witnesses that are asked in turn to hold the same bills. */
export const MAXIMUM_WITNESS_ATTEMPTS = 2
/** A witness that failed is ranked last for this long. */
export const WITNESS_PENALTY_MILLISECONDS = 2000
/** A witness writes a batch when its origin has sent neither bills of the batch nor any confirmation for this long. */
export const WITNESS_TAKEOVER_MILLISECONDS = 30_000
/** Copies of a batch that has not grown for this long are compressed. */
export const WITNESS_COMPRESSION_AGE_MILLISECONDS = 10_000
/** Minimum time between backlog writes of one instance, so that all instances together do not overload a store that has just recovered. */
export const BACKLOG_WRITE_INTERVAL_MILLISECONDS = 250
/** Memory accounted for a bill that is not compressed yet, and for each batch in addition to its bills. */
export const UNCOMPRESSED_BILL_BYTES = 400
export const BATCH_OVERHEAD_BYTES = 300
/** The default level of zlib; compressing a batch of 500 bills takes about a millisecond. */
export const BILL_COMPRESSION_LEVEL = 6
