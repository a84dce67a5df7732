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
