/** Constants of decisions about the capacity of servers. Durations are in milliseconds. */

/** Window of the store's clock for which the requests that cold servers can handle are distributed to the instances. Short windows keep the sum of any second near the limit, because at most one window more than fits into a second counts toward it. */
export const COLD_WINDOW_MILLISECONDS = 250
/** Names whose hashes are kept; instances and servers of a large deployment together are fewer. */
export const MAXIMUM_TRACKED_HASHES = 16_384
/** Longest time for which a server counts as cold after one report. A longer one is an error of its writer and would keep work away. */
export const MAXIMUM_COLD_MILLISECONDS = 60_000
/** Highest number of requests per second that a cold server is assumed to handle. */
export const MAXIMUM_COLD_REQUESTS_PER_SECOND = 100_000

/** Prefill time below which engines treat a prompt as short. A batch step takes 3 to 20 ms. */
export const SHORT_PREFILL_MILLISECONDS = 25
/** Prefill time from which engines treat a prompt as long. First events are due within a second. */
export const LONG_PREFILL_MILLISECONDS = 150
/** The least urgent operator priority that engines distinguish. */
export const LOWEST_OPERATOR_PRIORITY = 2
/** Factor up to which the objective of a more urgent route may exceed that of a less urgent one, as objectives include the time on the way. */
export const OBJECTIVE_TOLERANCE = 1.1

/** Reports in one message to other instances. At about 30 bytes each, ten messages a second to two instances use 6 of the 13 KB per second for control traffic. */
export const MAXIMUM_REPORTS_PER_MESSAGE = 10
/** Age above which a load report is not passed on. By then an engine has begun several other prompts. */
export const MAXIMUM_REPORT_AGE_MILLISECONDS = 1000
/** Difference in time up to which two reports of one load are taken for one report. A message takes about a millisecond, or some tens at a busy instance. */
export const SAME_REPORT_MILLISECONDS = 50

/** Price of a server of another zone for a request that may leave: the longer network path, there and back, and the error of the estimate. */
export const LEAVING_PRICE_MILLISECONDS = 10
/** Half-life of the occupancy of a zone in its moving average: it smooths the noise of single reports, and more would delay the decision. */
export const OCCUPANCY_HALF_LIFE_MILLISECONDS = 500
/** Occupied share of the own slots below which no request needs to leave. */
export const SPARE_OCCUPANCY = 0.5
/** Excess of the own occupancy over the mean of all zones, as a part of it, up to which no request leaves. */
export const OCCUPANCY_DEAD_BAND = 0.05
/** Share of the requests that leaves per unit of that excess beyond the dead band. Load follows a decision after the duration of an answer, so a higher factor makes traffic oscillate between zones. */
export const LEAVING_SHARE_PER_EXCESS = 2.5
/** Largest change of the share that may leave in one interval of 100 ms: it takes a second to change from one end to the other. */
export const MAXIMUM_SHARE_STEP = 0.1

/** Servers that are drawn for a request, beside those that probably have its prompt in their cache. More would all be compared by the same reports, so that many instances would choose the same server between two of them. */
export const DRAWN_SERVERS = 3
