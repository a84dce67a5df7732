/** Constants of the routing decisions. */

/** Interval at which the data path runs the router's systems. */
export const TICK_INTERVAL_MILLISECONDS = 10

/** Greatest number of attempts of one request, including the first. */
export const MAXIMUM_ATTEMPTS = 3

/** Time after which a request that no server could take may be tried again. */
export const NO_SERVER_RETRY_MILLISECONDS = 1000

/** Greatest number of waiting requests of one router; further requests are refused. */
export const MAXIMUM_QUEUED_REQUESTS = 5000
/** Tokens that a workspace may send in one round of the fair queues. */
export const QUEUE_QUANTUM_TOKENS = 64
/** Interval between two checks of all waiting requests against their deadlines. */
export const EXPIRY_INTERVAL_MILLISECONDS = 20
/** Shortest retry time of a refusal, so that callers do not return within one tick. */
export const MINIMUM_RETRY_MILLISECONDS = 50

/** Work of one prompt token in output tokens; it is small because prompts are computed in parallel. */
export const PROMPT_TOKEN_WORK = 0.05
/** Expected work, in tokens, of a target without observations. */
export const DEFAULT_TYPICAL_WORK = 128
/** Number of observations kept for each target, work class and size of the requested maximum output. */
export const ESTIMATE_SAMPLES = 64
/** Greatest number of such combinations. */
export const MAXIMUM_ESTIMATE_KEYS = 1024
/** Scale of the similarity of two prompts' lengths, as a difference of natural logarithms. */
export const PROMPT_DISTANCE_SCALE = 0.5
/** Factor by which an observation of the same workspace counts more. */
export const SAME_WORKSPACE_WEIGHT = 4
/** Weight of the target's typical work, in observations. */
export const ESTIMATE_PRIOR_WEIGHT = 0.1
/** Weight of a new observation in a target's typical work. */
export const TYPICAL_WORK_WEIGHT = 0.02
/** A request is long when its work exceeds the geometric mean of its target's work by this factor. */
export const LONG_WORK_FACTOR = 6
/** Fraction of long work below which all servers serve both lanes. */
export const MINIMUM_LONG_WORK_SHARE = 0.1
/** Bounds on the fraction of a pool's servers that long work may use. */
export const LONG_SERVERS_MINIMUM_SHARE = 0.55
export const LONG_SERVERS_MAXIMUM_SHARE = 0.75
/** Number of servers for long work, as a multiple of the servers that it would fill. */
export const LONG_SERVERS_HEADROOM_FACTOR = 1.2
/** Half-life of the observed work of the lanes. */
export const LANE_WORK_HALF_LIFE_MILLISECONDS = 300_000
/** Number of servers by which the split must differ from its target before it changes. */
export const LONG_SERVERS_HYSTERESIS = 0.9
/** Interval between two adjustments of the split. */
export const SPLIT_INTERVAL_MILLISECONDS = 1000

/** Priorities that engines apply; higher values are served first. */
export const SHORT_PRIORITY = 10
export const LONG_PRIORITY = 0

/** Size of a window before anything was observed. */
export const INITIAL_WINDOW_ATTEMPTS = 16
/** Fraction of a pool's free slots that one router may fill without having used as much before. */
export const FREE_SLOTS_FRACTION = 0.125
/** Factor on the size of a window at each decrease. */
export const WINDOW_DECREASE_FACTOR = 0.85
/** Greatest size of a window, as a multiple of the recent peak of the average number of open attempts. */
export const WINDOW_HEADROOM_FACTOR = 2
/** Half-lives of the average number of open attempts and of its peak. */
export const WINDOW_AVERAGE_HALF_LIFE_MILLISECONDS = 4000
export const WINDOW_PEAK_HALF_LIFE_MILLISECONDS = 20_000
/** Waits at the servers above which the windows of the lanes shrink when all attempts wait that long. */
export const SHORT_LANE_WAIT_LIMIT_MILLISECONDS = 150
export const LONG_LANE_WAIT_LIMIT_MILLISECONDS = 2000
/** Number of waits, and time, after which the waits of an interval are evaluated. */
export const WINDOW_INTERVAL_WAITS = 4
export const WINDOW_INTERVAL_MILLISECONDS = 100
/** Smallest growth of a window, in attempts, for each attempt that did not wait, so that windows of thousands of attempts can adjust. */
export const MINIMUM_WINDOW_GROWTH = 0.05
/** Smallest size of a window. */
export const MINIMUM_WINDOW_ATTEMPTS = 2
/** Slack before the deadline below which admitted requests are sent ahead of their turn. */
export const URGENT_SLACK_MILLISECONDS = 300
/** Factor by which these requests may exceed the window. */
export const URGENT_WINDOW_FACTOR = 1.25

/** Factor on estimated times when a deadline is checked. */
export const DEADLINE_MARGIN = 1.15
/** Half-life of the observed demand of a workspace. */
export const DEMAND_HALF_LIFE_MILLISECONDS = 1000

/** Half-life of the weight of a load report, which falls with its age. */
export const REPORT_HALF_LIFE_MILLISECONDS = 3000
/** Half-life of the average of a server's reported loads. */
export const REPORT_AVERAGE_HALF_LIFE_MILLISECONDS = 2000
/** Number of servers of the request's own lane that are compared for one attempt. */
export const CANDIDATE_SERVERS = 6
/** Number of servers of the long lane that are also compared for short work. */
export const OTHER_LANE_CANDIDATE_SERVERS = 4
/** Cost of short work on a server of the long lane, in full servers. */
export const OTHER_LANE_COST = 0.1
/** Estimated fraction of its slots above which a server of the long lane is used for short work only when there is no other. */
export const OTHER_LANE_OCCUPANCY = 0.9
/** Cost of short work on such a server, in full servers. */
export const FULL_OTHER_LANE_COST = 5
/** Number of slots assumed for a server that has not reported. */
export const DEFAULT_SLOTS = 16
/** Weight of a new observation in a server's speed. */
export const SPEED_WEIGHT = 0.4
/** Half-life with which a server's observed slowness decays. */
export const SPEED_HALF_LIFE_MILLISECONDS = 3000
/** Number of prefix blocks whose servers are remembered. */
export const MAXIMUM_REMEMBERED_BLOCKS = 100_000
/** Number of servers remembered for one prefix block. */
export const SERVERS_PER_BLOCK = 3

/** Number of consecutive failures that open a server's breaker. */
export const BREAKER_FAILURES = 3
/** Duration of the first opening, and greatest duration of an opening. */
export const BREAKER_INITIAL_MILLISECONDS = 1000
export const BREAKER_MAXIMUM_MILLISECONDS = 8000
/** First and greatest time for which a server with an overdue first token is avoided; it doubles each time. */
export const OVERDUE_AVOIDANCE_INITIAL_MILLISECONDS = 1000
export const OVERDUE_AVOIDANCE_MAXIMUM_MILLISECONDS = 4000

/** Numbers of retries and hedges that each success allows. */
export const RETRY_BUDGET_SHARE = 0.1
export const HEDGE_BUDGET_SHARE = 0.03
/** Fraction of the retry budget that remains under overload. */
export const OVERLOAD_BUDGET_FACTOR = 0.2

/** Number of first-token delays that a quantile is computed from. */
export const DELAY_SAMPLES = 256
/** Number of new delays after which a quantile is computed again. */
export const DELAY_REFRESH_SAMPLES = 8
/** Quantile of the first-token delay, and factor on it, after which a first token is overdue. */
export const OVERDUE_QUANTILE = 0.95
export const OVERDUE_FACTOR = 2
/** Shortest time after which a first token is overdue. */
export const MINIMUM_OVERDUE_MILLISECONDS = 60
/** Time after which a first token is overdue when no delays were observed. */
export const DEFAULT_OVERDUE_MILLISECONDS = 2000

/** Weight of a new observation in a pool's averages. */
export const POOL_AVERAGE_WEIGHT = 0.02
/** Time after which the fair level of a lane is computed again. */
export const FAIR_LEVEL_INTERVAL_MILLISECONDS = 50
/** Number of output tokens below which an attempt gives no information about a server's speed. */
export const MINIMUM_SPEED_SAMPLE_TOKENS = 4
/** Duration above which a stream shows conditions that have passed. */
export const MAXIMUM_SPEED_SAMPLE_MILLISECONDS = 3000
/** Bound on a server's slowness relative to its pool, and on its inverse. */
export const MAXIMUM_SLOWNESS = 10
/** Weight of one of the router's own open attempts against a reported one, and of an own long attempt when long work is placed. */
export const OWN_ATTEMPT_WEIGHT = 30
export const OWN_LONG_ATTEMPT_WEIGHT = 30
/** Fraction of the prompt that the session's last server likely still holds. */
export const SESSION_PREFIX_FRACTION = 0.8
/** Greatest number of hedges that a router can accumulate. */
export const HEDGE_BUDGET_CAPACITY = 5
/** Number of hedges reserved for first tokens that are very overdue. */
export const HEDGE_BUDGET_RESERVE = 2
/** Multiple of the overdue time from which a first token is very overdue. */
export const VERY_OVERDUE_FACTOR = 2
/** Greatest number of retries that a router can accumulate. */
export const RETRY_BUDGET_CAPACITY = 10
/** Number of observed delays below which their quantiles are not used. */
export const MINIMUM_DELAY_SAMPLES = 8
/** Weight of a new report in a pool's average occupancy, which decides the split of the servers. */
export const POOL_OCCUPANCY_WEIGHT = 0.005
/** Half-life of the average wait that this router's short work recently had at a server. */
export const WAIT_HALF_LIFE_MILLISECONDS = 2000
/** Weight of a new wait in this average. */
export const WAIT_WEIGHT = 0.5
/** Cost of this wait, in full servers for each second. */
export const WAIT_COST_PER_SECOND = 2
/** Cost of each position in the rotation, in full servers. It is above the differences that late reports show by chance. */
export const CANDIDATE_POSITION_COST = 0.05
/** Factor on the estimated occupancy of a server in its cost. */
export const REPORTED_LOAD_WEIGHT = 0.6
/** Greatest load of a server that is used because it holds a prefix, as a multiple of the pool's mean load. */
export const AFFINITY_LOAD_FACTOR = 1.4
/** Greatest slowness and wait of such a server. */
export const AFFINITY_MAXIMUM_SLOWNESS = 2
export const AFFINITY_MAXIMUM_WAIT_MILLISECONDS = 150
/** Number of cached prompt tokens below which the cache does not affect the choice of a server. */
export const MINIMUM_AFFINITY_TOKENS = 64
/**
 * Bounds on the factor by which expected waits are extended at admission; in between, the factor
 * is the workspace's demand as a multiple of its fair share. A long queue brings no benefit to a
 * workspace whose demand is far above its share, while the queue of a workspace slightly above its
 * share would often run empty.
 */
export const MINIMUM_WAIT_MARGIN = 3
export const MAXIMUM_WAIT_MARGIN = 4
