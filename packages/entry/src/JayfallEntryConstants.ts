/** Constants of the entry instance: header names, metric names, limits and intervals. */

/** Token of a session, which the caller sends with its next request. */
export const SESSION_HEADER = 'x-jayfall-session'
/** The previous and the new version of a session that was moved. */
export const SESSION_MOVED_HEADER = 'x-jayfall-session-moved'
/** With the value `move`, a session whose version was withdrawn is moved to another version. */
export const ON_WITHDRAWAL_HEADER = 'x-jayfall-on-withdrawal'
/** With the value 1, the engine continues when the caller's connection ends, so that the caller can resume the stream. */
export const RESUMABLE_HEADER = 'x-jayfall-resumable'
/** Token by which a caller can resume a streamed response. */
export const STREAM_HEADER = 'x-jayfall-stream'
export const VERSION_HEADER = 'x-jayfall-version'
export const REQUEST_HEADER = 'x-jayfall-request'
/** With the value 1, the response is the recorded outcome of an earlier call with the same idempotency key. */
export const REPLAYED_HEADER = 'x-jayfall-replayed'
/** Header of the W3C trace context. */
export const TRACE_HEADER = 'traceparent'
export const IDEMPOTENCY_HEADER = 'idempotency-key'

export const SESSION_LIFETIME_MILLISECONDS = 24 * 3600 * 1000

/** A streamed response whose headers or first event have not arrived within this time counts as silent. */
export const FIRST_TOKEN_LIMIT_MILLISECONDS = 5000
/** Shortest time without data after which a streamed response counts as silent. */
export const MINIMUM_SILENCE_MILLISECONDS = 2000
/** A streamed response counts as silent only after this many times the recent gap between tokens. */
export const SILENCE_GAP_FACTOR = 20
/** Interval at which the progress of a streamed response is checked. */
export const SILENCE_CHECK_MILLISECONDS = 500
/** Number of successive resumptions of one stream without progress, after which the attempt fails. */
export const MAXIMUM_RESUMPTIONS = 3

export const MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 200

/** Characters of a prompt that are counted as one token in estimates. */
export const CHARACTERS_PER_TOKEN = 4
/** Limit on output tokens when the caller sets none. */
export const DEFAULT_MAXIMUM_OUTPUT_TOKENS = 512

export const REQUESTS_METRIC = 'jayfall_requests_total'
export const REFUSALS_METRIC = 'jayfall_refusals_total'
export const ATTEMPTS_METRIC = 'jayfall_attempts_total'
export const FIRST_TOKEN_METRIC = 'jayfall_first_token_seconds'
/** Mean gap between the tokens of one response, recorded once for each response. */
export const TOKEN_GAP_METRIC = 'jayfall_token_gap_seconds'
export const IDLE_STREAMS_METRIC = 'jayfall_idle_streams_total'
export const RESPONSE_TIME_METRIC = 'jayfall_answer_seconds'

/** Name of the asset of the single executable that contains the bundled program. */
export const BUNDLE_ASSET = 'jayfall.cjs'
/** The shared listening socket gets a file descriptor of at least this number, or the highest that the process may use. */
export const MINIMUM_LISTENING_DESCRIPTOR = 16_000
/** Interval at which a data thread reports the number of its open requests if it has changed. */
export const OPEN_REQUESTS_REPORT_INTERVAL_MILLISECONDS = 50
/** A data thread that does not report within this time is omitted from the report of the instance. */
export const THREAD_REPORT_TIMEOUT_MILLISECONDS = 1000
/** A data thread that does not stop within this time is terminated. */
export const THREAD_STOP_LIMIT_MILLISECONDS = 2000
/** Prompt tokens in one block of an engine's prefix cache. */
export const PREFIX_CACHE_BLOCK_TOKENS = 16
/** Prefix cache blocks between two successive prefix hashes of a prompt. */
export const PREFIX_HASH_INTERVAL_BLOCKS = 4
/** Largest number of prefix hashes of one prompt. */
export const MAXIMUM_PREFIX_HASHES = 32
/** Length of a prefix hash in the cache events of engines, in hexadecimal characters. */
export const PREFIX_HASH_CHARACTERS = 16
