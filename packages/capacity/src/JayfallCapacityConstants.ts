/** Constants of decisions about the capacity of servers. Durations are in milliseconds. */

/** Window of the store's clock in which the requests that cold servers bear are dealt to the instances. Short windows keep the sum of any second near the limit, because at most one window more than fits into a second counts toward it. */
export const COLD_WINDOW_MILLISECONDS = 250
/** Longest time for which a server counts as cold after one report. A longer one is an error of its writer and would keep work away. */
export const MAXIMUM_COLD_MILLISECONDS = 60_000
/** Highest number of requests per second that a cold server is taken to bear. */
export const MAXIMUM_COLD_REQUESTS_PER_SECOND = 100_000
