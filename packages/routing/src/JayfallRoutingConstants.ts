/** Constants of the routing decisions. */

/** The data path runs the router's systems at this interval. */
export const TICK_INTERVAL_MILLISECONDS = 10

/** Attempts of one request, the first included. */
export const MAXIMUM_ATTEMPTS = 3

export const NO_SERVER_RETRY_MILLISECONDS = 1000

/** Waiting requests of one router; above it new ones are refused. */
export const MAXIMUM_QUEUED_REQUESTS = 5000
/** Tokens that a workspace may take in one round of the fair queues. */
export const QUEUE_QUANTUM_TOKENS = 64
/** Milliseconds between two checks of all waiting requests against their deadlines. */
export const EXPIRY_INTERVAL_MILLISECONDS = 20
/** Shortest time that a refusal names, so that callers do not return within one tick. */
export const MINIMUM_RETRY_MILLISECONDS = 50

/** Work of one prompt token, in output tokens: prompts are computed in parallel. */
export const PROMPT_TOKEN_WORK = 0.05
/** Work expected of a target without observations. Tokens. */
export const DEFAULT_TYPICAL_WORK = 128
/** Observations kept for each target, class and asked maximum, and the number of these. */
export const ESTIMATE_SAMPLES = 64
export const MAXIMUM_ESTIMATES = 1024
/** Scale on which two prompts' lengths are alike, in natural logarithms. */
export const PROMPT_DISTANCE_SCALE = 0.5
/** How much more an observation of the same workspace counts. */
export const SAME_WORKSPACE_WEIGHT = 4
/** Weight of the target's typical work among the observations. */
export const ESTIMATE_PRIOR_WEIGHT = 0.1
/** Weight of a new observation in a target's typical work. */
export const TYPICAL_WORK_WEIGHT = 0.02
/** A request is long when its work is this many times the geometric mean of its target's. */
export const LONG_WORK_FACTOR = 6
/** Below this part of long work all servers serve both lanes. */
export const MINIMUM_LONG_WORK_SHARE = 0.1
/** Bounds on the part of a pool's servers that long work may use. */
export const LONG_SERVERS_MINIMUM_SHARE = 0.55
export const LONG_SERVERS_MAXIMUM_SHARE = 0.75
/** Servers for long work, as a multiple of those that it would fill. */
export const LONG_SERVERS_HEADROOM = 1.2
/** Half-life of the observed part of long work. */
export const LANE_SHARE_HALF_LIFE_MILLISECONDS = 300_000
/** The split changes when it is off by more than this many servers. */
export const LONG_SERVERS_HYSTERESIS = 0.9
export const SPLIT_INTERVAL_MILLISECONDS = 1000

/** Priorities that engines honour; higher is served first. */
export const SHORT_PRIORITY = 10
export const LONG_PRIORITY = 0

/** The window of a pool before anything was observed. Attempts. */
export const INITIAL_WINDOW = 16
/** The part of a pool's free slots that one router may fill without having used as much before. */
export const FREE_WINDOW_SHARE = 0.125
export const WINDOW_DECREASE_FACTOR = 0.85
/** The window is at most this many times the recent peak of the average of open attempts. */
export const WINDOW_HEADROOM = 2
export const WINDOW_AVERAGE_HALF_LIFE_MILLISECONDS = 4000
export const WINDOW_PEAK_HALF_LIFE_MILLISECONDS = 20_000
/** Waits at the servers above these shrink the windows of the lanes when all attempts have them. */
export const SHORT_WAIT_MILLISECONDS = 150
export const LONG_WAIT_MILLISECONDS = 2000
/** Waits are judged after so many of them and this time. */
export const WINDOW_INTERVAL_WAITS = 4
export const WINDOW_INTERVAL_MILLISECONDS = 100
/** Least growth of a window for each attempt that did not wait, so that windows of thousands can follow. */
export const WINDOW_GROWTH = 0.05
export const MINIMUM_WINDOW = 2
/** Admitted requests with less than this to spare are sent ahead of their turn, beyond the window by this factor. */
export const URGENT_MILLISECONDS = 300
export const URGENT_WINDOW_FACTOR = 1.25

/** Factor on estimated times when a deadline is checked. */
export const DEADLINE_MARGIN = 1.15
/** Half-life of the observed demand of a workspace. */
export const DEMAND_HALF_LIFE_MILLISECONDS = 1000

/** Half-life of the weight of a load report. */
export const REPORT_HALF_LIFE_MILLISECONDS = 3000
/** Half-life of the average of a server's reports. */
export const REPORT_SMOOTHING_MILLISECONDS = 2000
/** Servers of the request's own lane that are compared for one attempt, and short work also compares this many of the others. */
export const CHOICES = 6
export const OTHER_LANE_CHOICES = 4
/** Cost of short work on a server of the long lane, in full servers. */
export const OTHER_LANE_COST = 0.1
/** Above this part of its slots, by estimate, a server of long work is used for short work only when there is no other. */
export const OTHER_LANE_OCCUPANCY = 0.9
export const FULL_OTHER_LANE_COST = 5
/** Slots assumed of a server that has not reported. */
export const DEFAULT_SLOTS = 16
/** Weight of a new observation in a server's speed. */
export const SPEED_WEIGHT = 0.4
/** Half-life with which a server's observed slowness fades. */
export const SPEED_HALF_LIFE_MILLISECONDS = 3000
/** Prefix blocks whose servers are remembered. */
export const MAXIMUM_REMEMBERED_BLOCKS = 100_000
/** Servers remembered for one prefix block. */
export const SERVERS_PER_BLOCK = 3

/** Failures in a row that open a server's breaker. */
export const BREAKER_FAILURES = 3
export const BREAKER_INITIAL_MILLISECONDS = 1000
export const BREAKER_MAXIMUM_MILLISECONDS = 8000
/** A server whose first token is overdue is avoided for this long, doubled each time. */
export const AVOID_INITIAL_MILLISECONDS = 1000
export const AVOID_MAXIMUM_MILLISECONDS = 4000

/** Retries and hedges as parts of recent successes. */
export const RETRY_BUDGET_SHARE = 0.1
export const HEDGE_BUDGET_SHARE = 0.03
/** Part of the retry budget that is left under overload. */
export const OVERLOAD_BUDGET_FACTOR = 0.2

/** First-token delays that a quantile is taken from. */
export const DELAY_SAMPLES = 256
/** A quantile is computed again after this many new delays. */
export const DELAY_REFRESH_SAMPLES = 8
/** Quantile of the first-token delay and factor on it after which a first token is overdue. */
export const OVERDUE_QUANTILE = 0.95
export const OVERDUE_FACTOR = 2
export const MINIMUM_OVERDUE_MILLISECONDS = 60
/** Without observations no first token is overdue before this time. */
export const DEFAULT_OVERDUE_MILLISECONDS = 2000

/** Weight of a new observation in a pool's averages. */
export const POOL_AVERAGE_WEIGHT = 0.02
/** The fair level of a pool is computed again after this time. */
export const FAIR_LEVEL_INTERVAL_MILLISECONDS = 50
/** Attempts with fewer output tokens tell nothing about a server's speed. */
export const MINIMUM_SPEED_SAMPLE_TOKENS = 4
export const MAXIMUM_SPEED_SAMPLE_MILLISECONDS = 3000
/** Bound on a server's slowness relative to its pool, and on its inverse. */
export const MAXIMUM_SLOWNESS = 10
/** How much more an own open attempt counts than a reported one, and an own long one when long work is placed. */
export const OWN_SPREAD_WEIGHT = 30
export const LONG_SPREAD_WEIGHT = 30
/** The part of the prompt that the session's last server likely still holds. */
export const SESSION_HIT = 0.8
/** Hedges and retries that a router can save up. */
export const HEDGE_BUDGET_CAPACITY = 5
/** Hedges kept for first tokens that are overdue by this multiple. */
export const HEDGE_BUDGET_RESERVE = 2
export const VERY_OVERDUE = 2
export const RETRY_BUDGET_CAPACITY = 10
/** Observed delays below which their quantiles are not used. */
export const MINIMUM_OBSERVATIONS = 8
/** Weight of a new report in a pool's average load, which decides the split of the servers. */
export const POOL_LOAD_WEIGHT = 0.005
/** Half-life and cost, in full servers for each second, of the wait that own short work recently had at a server. */
export const WAIT_HALF_LIFE_MILLISECONDS = 2000
export const WAIT_WEIGHT = 0.5
export const WAIT_COST = 2
/** Cost of each step in turn, in full servers: above the differences that late reports show by chance. */
export const ORDER_COST = 0.05
/** How much a reported load counts. */
export const REPORT_GAIN = 0.6
/** A server that holds a prefix is used up to this multiple of the pool's mean load, and unless it is slow. */
export const AFFINITY_LOAD_FACTOR = 1.4
export const AFFINITY_MAXIMUM_SLOWNESS = 2
export const AFFINITY_MAXIMUM_WAIT_MILLISECONDS = 150
/** Cached prompt tokens below which it does not matter where a request goes. */
export const MINIMUM_AFFINITY_TOKENS = 64
/**
 * Bounds on the factor by which expected waits are taken longer at admission; in between it is
 * the workspace's demand as a multiple of its fair share. A long queue gains nothing for a
 * workspace with far too much demand, while one slightly above its share would often run empty.
 */
export const FAIR_WAIT_MARGIN = 3
export const EXCESS_WAIT_MARGIN = 4
