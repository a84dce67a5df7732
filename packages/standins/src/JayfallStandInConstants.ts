/** Constants of the stand-ins. */

export const DEFAULT_HOST = '127.0.0.1'

/** A finished stream stays resumable for this long. */
export const STREAM_RETENTION_MILLISECONDS = 60_000
export const DEFAULT_OUTPUT_TOKENS = 16
/** Characters of a prompt that count as one token. */
export const CHARACTERS_PER_TOKEN = 4
/** Prompt tokens that are looked up in the prefix cache as one unit. */
export const PREFIX_BLOCK_TOKENS = 16
/** Every n-th cache event is lost, as the engines publish them with gaps. */
export const CACHE_EVENT_LOSS_INTERVAL = 17
export const MAXIMUM_CACHE_EVENTS = 1000
export const DEFAULT_LISTING_LIMIT = 500
/** An entry instance that has not announced itself for this long leaves the platform's list. */
export const INSTANCE_EXPIRY_MILLISECONDS = 30_000
