/** Constants of the catalogue. */

export const IDENTIFIER_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/
export const MAXIMUM_IDENTIFIER_LENGTH = 100

/** Digits of a revision in a change-log key, so that keys sort by revision. */
export const REVISION_DIGITS = 12

/** Above this many missing changes a full snapshot is cheaper than the changes. */
export const MAXIMUM_CHANGES_BEFORE_SNAPSHOT = 500
