/** Constants of the platform clients. */

import { type ReadLimits } from '#jayfall/shared'

/** Default time limit until the answer to a call begins, in milliseconds. */
export const DEFAULT_PLATFORM_TIMEOUT_MILLISECONDS = 2000
/** Maximum number of simultaneous connections to the platform. */
export const MAXIMUM_PLATFORM_CONNECTIONS = 16
/** Pause within an answer at which the answer counts as broken off, in milliseconds. A single lost packet is retransmitted within a few hundred milliseconds. */
export const MAXIMUM_ANSWER_PAUSE_MILLISECONDS = 1000

/** Limits of one answer: several hundred of the largest rows, in pieces of some hundred bytes. */
export const PLATFORM_ANSWER_LIMITS: ReadLimits = { bytes: 32 * 1024 * 1024, pieces: 65_536 }

/** Number of rows in one page of a listing. */
export const LISTING_PAGE_ROWS = 500

/** The catalogue entries by key. */
export const CATALOGUE_TABLE = 'catalogue'
/** The row with the catalogue revision. */
export const HEAD_TABLE = 'head'
/** The change log of the catalogue, by revision. */
export const CHANGES_TABLE = 'changes'
export const LEASES_TABLE = 'leases'
export const HEAD_KEY = 'catalogue'

/** Maximum number of attempts of a catalogue write that conflict only in the head row. */
export const MAXIMUM_HEAD_ATTEMPTS = 20

/** Default term of a lease, in milliseconds. */
export const DEFAULT_LEASE_TERM_MILLISECONDS = 15_000
/** Number of own writes of a lease that a process remembers, to recognise writes that take effect late. */
export const MAXIMUM_PENDING_LEASE_WRITES = 32
