/** Constants of the configuration check. */

/** The least urgent priority. 0 is the most urgent. */
export const LOWEST_PRIORITY = 9

/** Cold time above which a unit was probably confused. Engines load a model within minutes. */
export const LONGEST_USUAL_COLD_MILLISECONDS = 3_600_000

/** What a request's host can be: without port, spaces or wildcard. The colons of an IPv6 address are taken for a port. */
export const HOST_PATTERN = /^[^\s:/*]+$/
/** What a request's path can begin with. It is compared without its query. */
export const PREFIX_PATTERN = /^\/[^\s?#]*$/
/** What an API key can consist of, so that a caller can send it in a header. */
export const KEY_PATTERN = /^[\x21-\x7e]+$/
