/** Constants of the catalogue. */

export const IDENTIFIER_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/
/** Greatest length of an identifier, in characters. */
export const MAXIMUM_IDENTIFIER_LENGTH = 100

/** Number of digits of a revision in a change-log key, so that keys sort by revision. */
export const REVISION_DIGITS = 12

/** Number of missing changes above which a full snapshot is cheaper than the changes. */
export const MAXIMUM_CHANGES_BEFORE_SNAPSHOT = 500
