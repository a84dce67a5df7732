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

/** Reports in one message to other instances. At about 30 bytes each, ten messages a second to two instances use 5 of the 13 KB per second for control traffic. */
export const MAXIMUM_REPORTS_PER_MESSAGE = 8
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

/** Time that one running request adds to the whole answer of another, for each output token that it may have, of which it uses about half. The data sheets give 0.022 for each step. With more, known loads outweigh the prompts that a server has to read first. */
export const STEP_MILLISECONDS_PER_REQUEST = 0.011
/** Wait for a slot of a full engine, for each request that is ahead. A stream takes one to two seconds, and an engine has a few dozen slots. */
export const SLOT_WAIT_MILLISECONDS = 80
/** Range of the estimated time within which servers count as equally good: about what a few more running requests cost. All instances that know the same reports would choose the same server without it. */
export const EQUAL_COST_MILLISECONDS = 40
/** Time without a report of a busy server from which it counts as held up, at least, and as a multiple of the mean age of reports. An engine that reads a very long prompt answers nobody meanwhile. */
export const MINIMUM_SILENCE_MILLISECONDS = 500
export const SILENCE_MEAN_AGES = 3
/** Longest time by which a silent server is taken to be held up. The longest prompts are read in about as long. */
export const MAXIMUM_SILENCE_MILLISECONDS = 3000

/** Half-life of a request in what a workspace sent recently. A flood shows within a few seconds, and a few requests are no flood. */
export const RECENT_REQUESTS_HALF_LIFE_MILLISECONDS = 2000
/** Half-life of a request in what a workspace usually sends. A flood of some seconds hardly changes it. */
export const USUAL_REQUESTS_HALF_LIFE_MILLISECONDS = 120_000
/** Multiple of its usual requests that a workspace may send before the rest comes last. Demand of a workspace swings by a half within seconds. */
export const FLOOD_FACTOR = 2
/** Recent requests of a workspace at one instance below which there is no flood, because numbers as small vary by chance. */
export const MINIMUM_FLOOD_REQUESTS = 6

/** Share of the time of a lane's servers that long prompts may take. At 0.4 a running stream has about two thirds of its usual speed, so that the longest answers still end before their deadlines. */
export const LANE_OCCUPANCY = 0.4
/** Smallest share of the servers of a zone that belong to the lane once there are long prompts. A burst begins with several of them at once, before their rate is known. */
export const SMALLEST_LANE_SHARE = 0.25
/** Largest share of the servers of a zone that belong to the lane. The rest is kept for prompts that are more urgent, which most servers have to be free for when many come. */
export const LARGEST_LANE_SHARE = 0.35
/** Servers that long prompts have to occupy for a lane: less than one prompt of 150 ms in some seconds is none. */
export const LEAST_LONG_OCCUPANCY = 0.01
/** Sum of long work below which it is forgotten. A long prompt is 150 ms at least when it is recorded. */
export const LEAST_RECORDED_WORK_MILLISECONDS = 1
/** Half-life of a long prompt in the sum from which the lane follows. Demand swings within seconds. */
export const LANE_RATE_HALF_LIFE_MILLISECONDS = 1500
/** Estimated time by which a server outside the lane may be worse for a short prompt while the lane is as occupied as it may be: what a long prompt that is not known yet would cost it on the average. */
export const LANE_PRICE_MILLISECONDS = 150
/** Multiple of the shortest objective of a service that a prompt's objective has to be for the lane. Prompts wait for each other there for about as long as they are read. */
export const LANE_OBJECTIVE_RATIO = 2
/** Occupancy of the largest lane from which fewer long prompts are asked again of a larger model. At 0.6 a running stream has half of its usual speed, so that answers of mean length still end before their deadlines. */
export const ESCALATION_OCCUPANCY = 0.6
/** Change of the escalation factor in one interval of 100 ms at twice that occupancy. The work follows within seconds, so a larger step would make it oscillate. */
export const ESCALATION_STEP = 0.1
/** Highest multiple of that occupancy that counts, which limits the fall of the escalation factor to a fifth in an interval. */
export const MAXIMUM_CROWDING = 3

/** Share of its objective after which a prompt without a first event may first be moved. Earlier, it may be due to the time that the estimate does not know. */
export const FIRST_MOVE_CHECK_OBJECTIVES = 0.3
/** Share of the objective between two checks, and that of the last check. After it another server could hardly answer in time. */
export const MOVE_CHECK_OBJECTIVES = 0.1
export const LAST_MOVE_CHECK_OBJECTIVES = 0.8
/** Multiple of the estimated time to the first event from which a wait is unexpected. */
export const UNEXPECTED_WAIT_FACTOR = 3
/** Longest prefill of a prompt that is moved, as a share of its objective. Longer prompts would hold up two servers. */
export const MAXIMUM_MOVED_PREFILL_OBJECTIVES = 0.1
/** Multiple of the other server's estimated time that has to be left. One in ten first events takes more than twice the estimate. */
export const MOVE_ESTIMATE_FACTOR = 2
