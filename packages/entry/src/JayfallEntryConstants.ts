/** Constants of the entry instance. */

export const SESSION_HEADER = 'x-jayfall-session'
export const SESSION_MOVED_HEADER = 'x-jayfall-session-moved'
export const ON_WITHDRAWAL_HEADER = 'x-jayfall-on-withdrawal'
/** With the value 1 the engine goes on when the caller's connection ends, so that the caller can resume. */
export const RESUMABLE_HEADER = 'x-jayfall-resumable'
export const STREAM_HEADER = 'x-jayfall-stream'
export const VERSION_HEADER = 'x-jayfall-version'
export const REQUEST_HEADER = 'x-jayfall-request'
export const REPLAYED_HEADER = 'x-jayfall-replayed'
/** W3C trace context. */
export const TRACE_HEADER = 'traceparent'
export const IDEMPOTENCY_HEADER = 'idempotency-key'

export const SESSION_LIFETIME_MILLISECONDS = 24 * 3600 * 1000

/** A streaming answer whose head has not arrived within this time is taken as silent. */
export const FIRST_TOKEN_LIMIT_MILLISECONDS = 5000
/** The shortest time without a byte after which a streaming answer is taken as silent. */
export const MINIMUM_SILENCE_MILLISECONDS = 2000
/** Silence is also judged against this many recent gaps between tokens. */
export const SILENCE_GAP_FACTOR = 20
/** Interval at which a streaming answer's progress is checked. */
export const SILENCE_CHECK_MILLISECONDS = 500
/** Times that one answer is resumed on a new connection without progress in between. */
export const MAXIMUM_RESUMPTIONS = 3

export const MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 200

/** Characters of a prompt that are estimated as one token. */
export const CHARACTERS_PER_TOKEN = 4
export const DEFAULT_MAXIMUM_OUTPUT_TOKENS = 512

export const REQUESTS_METRIC = 'jayfall_requests_total'
export const REFUSALS_METRIC = 'jayfall_refusals_total'
export const ATTEMPTS_METRIC = 'jayfall_attempts_total'
export const FIRST_TOKEN_METRIC = 'jayfall_first_token_seconds'
/** The mean gap between the tokens of one answer, recorded once for each answer. */
export const TOKEN_GAP_METRIC = 'jayfall_token_gap_seconds'
export const IDLE_STREAMS_METRIC = 'jayfall_idle_streams_total'
export const ANSWER_METRIC = 'jayfall_answer_seconds'

/** Name of the executable's asset that holds the bundled program. */
export const BUNDLE_ASSET = 'jayfall.cjs'
/** The shared listening socket gets a descriptor of at least this number, or the highest that the process may use. */
export const RESERVED_DESCRIPTORS = 16_000
/** A data thread reports its open requests at this interval when they have changed. */
export const STATE_INTERVAL_MILLISECONDS = 50
/** A data thread that does not report within this time is left out of the report of the instance. */
export const REPORT_TIMEOUT_MILLISECONDS = 1000
/** A data thread that does not stop within this time is terminated. */
export const THREAD_STOP_LIMIT_MILLISECONDS = 2000
/** Prompt tokens of one block of the engines' prefix caches. */
export const ENGINE_BLOCK_TOKENS = 16
/** Engine blocks between two hashes of a prompt's prefixes, and the number of hashes. */
export const PREFIX_STEP_BLOCKS = 4
export const MAXIMUM_PREFIX_STEPS = 32
/** Length of a prefix hash in the engines' cache events. */
export const PREFIX_HASH_CHARACTERS = 16
