/** Constants of the entry instance. */

export const SESSION_HEADER = 'x-jayfall-session'
export const SESSION_MOVED_HEADER = 'x-jayfall-session-moved'
export const ON_WITHDRAWAL_HEADER = 'x-jayfall-on-withdrawal'
export const STREAM_HEADER = 'x-jayfall-stream'
export const VERSION_HEADER = 'x-jayfall-version'
export const REQUEST_HEADER = 'x-jayfall-request'
export const REPLAYED_HEADER = 'x-jayfall-replayed'
export const IDEMPOTENCY_HEADER = 'idempotency-key'

export const SESSION_LIFETIME_MILLISECONDS = 24 * 3600 * 1000

/** An instance gives versions with `whenCutOff: stop` no new work above this confirmation age. */
export const CONFIRMATION_LIMIT_MILLISECONDS = 9000

/** A streaming answer whose head has not arrived within this time is taken as silent. */
export const FIRST_TOKEN_LIMIT_MILLISECONDS = 5000
/** The shortest time without a byte after which a streaming answer is taken as silent. */
export const MINIMUM_SILENCE_MILLISECONDS = 2000
/** Silence is also judged against this many recent gaps between tokens. */
export const SILENCE_GAP_FACTOR = 20
/** Times that one answer is resumed on a new connection. */
export const MAXIMUM_RESUMPTIONS = 3

export const MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 200

/** Characters of a prompt that are estimated as one token. */
export const CHARACTERS_PER_TOKEN = 4
export const DEFAULT_MAXIMUM_OUTPUT_TOKENS = 512

/** Prompt tokens of one block of the engines' prefix caches. */
export const ENGINE_BLOCK_TOKENS = 16
/** Engine blocks between two hashes of a prompt's prefixes, and the number of hashes. */
export const PREFIX_STEP_BLOCKS = 4
export const MAXIMUM_PREFIX_STEPS = 32
/** Length of a prefix hash in the engines' cache events. */
export const PREFIX_HASH_CHARACTERS = 16
