/** Constants of the platform clients. */

export const DEFAULT_PLATFORM_TIMEOUT_MILLISECONDS = 2000
export const MAXIMUM_PLATFORM_CONNECTIONS = 16
/** Pause within an answer after which it counts as broken off; packets that are lost once are back within a few hundred milliseconds. */
export const MAXIMUM_ANSWER_PAUSE_MILLISECONDS = 1000

/** Rows fetched with one listing call. */
export const LISTING_PAGE_ROWS = 500

export const CATALOGUE_TABLE = 'catalogue'
export const HEAD_TABLE = 'head'
export const CHANGES_TABLE = 'changes'
export const LEASES_TABLE = 'leases'
export const HEAD_KEY = 'catalogue'

/** Attempts of a catalogue write that lose only the race for the head row. */
export const MAXIMUM_HEAD_ATTEMPTS = 20

export const DEFAULT_LEASE_TERM_MILLISECONDS = 15_000
/** Own writes of a lease that are recognised when they take effect late. */
export const MAXIMUM_PENDING_LEASE_WRITES = 32
