/** Constants of the ledger. */

/** Claims and outcomes of non-idempotent calls, by `{workspace}/{key}`. */
export const CALLS_TABLE = 'calls'
/** One row for each call that is `dispatched` or `unknown`, so that recovery need not read all of `calls`. */
export const OPEN_CALLS_TABLE = 'calls-open'
export const BILLS_PREFIX = 'bills/'

export const MAXIMUM_ROWS_PER_COMMIT = 100
/** Conditional writes that one claim or outcome tries before it is left to the background. */
export const MAXIMUM_WRITE_ROUNDS = 4
/** Rows that wait for the store in the background, and the bytes of their outcomes. */
export const MAXIMUM_PENDING_ROWS = 10_000
export const MAXIMUM_PENDING_BYTES = 16 * 1024 * 1024

/** A store call that fails after this time counts as an outage at once, as a further call would wait as long. */
export const SLOW_STORE_MILLISECONDS = 1000
/** Quick failures in a row that count as an outage. */
export const OUTAGE_FAILURES = 3
export const INITIAL_BACKOFF_MILLISECONDS = 250
/** With 890 instances this is about 220 probes a second of a store that is down. */
export const MAXIMUM_BACKOFF_MILLISECONDS = 8000

/** A row that recovery has seen unchanged for this long may have lost its owner. */
export const RECOVERY_AGE_MILLISECONDS = 30_000
/** A service that does not know a request after this time is not asked again. */
export const RECOVERY_LIMIT_MILLISECONDS = 600_000
/** Rows that one recovery works on at a time. */
export const RECOVERY_CONCURRENCY = 16

export const MAXIMUM_BILLS_PER_BATCH = 500
/** Bills that wait behind a message to a witness, or have none, are sent at this interval. */
export const REPLICATION_INTERVAL_MILLISECONDS = 20
/** A witness that has not acknowledged within this time is passed over. */
export const WITNESS_TIMEOUT_MILLISECONDS = 50
export const WITNESSES_TRIED = 2
/** A witness that failed is asked last for this long. */
export const WITNESS_PENALTY_MILLISECONDS = 2000
/** A witness writes a batch that its origin has not confirmed for this long. */
export const WITNESS_PATIENCE_MILLISECONDS = 30_000
/** Copies of a batch that has not grown for this long are compressed. */
export const WITNESS_SEAL_AGE_MILLISECONDS = 10_000
/** Least time between writes of a backlog, so that a store that is back is not flooded by all instances. */
export const BACKLOG_WRITE_INTERVAL_MILLISECONDS = 250
/** Memory counted for a bill that is not compressed yet, and for each batch besides its bills. */
export const OPEN_BILL_BYTES = 400
export const BATCH_OVERHEAD_BYTES = 300
/** The default of zlib; a batch of 500 bills takes about a millisecond. */
export const BILL_COMPRESSION_LEVEL = 6
