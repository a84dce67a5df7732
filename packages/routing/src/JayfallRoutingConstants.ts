/** Constants of the routing decisions. */

/** The data path runs the router's systems at this interval. */
export const TICK_INTERVAL_MILLISECONDS = 10

/** Attempts of one request, the first included. */
export const MAXIMUM_ATTEMPTS = 3

export const NO_SERVER_RETRY_MILLISECONDS = 1000
