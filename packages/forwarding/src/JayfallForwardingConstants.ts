/** Constants of request forwarding. Durations are in milliseconds. */

/** Time allowed for opening a connection to a backend server. A connection within a region opens within a few milliseconds, but TCP resends a lost first packet only after a second. */
export const CONNECT_TIMEOUT_MILLISECONDS = 120
/** Minimum time without an answer after which a repeatable plain request is sent to another server. It is several times the usual answer time of the plain services. */
export const MINIMUM_ANSWER_TIMEOUT_MILLISECONDS = 400
/** Time without an answer after which a repeatable plain request is sent to another server, as a multiple of the route's objective. */
export const ANSWER_TIMEOUT_OBJECTIVES = 2
/** Minimum time without a first event after which a stream is moved to another server. The queue of a full engine moves faster than that. */
export const MINIMUM_FIRST_EVENT_TIMEOUT_MILLISECONDS = 2500
/** Time without a first event after which a stream is moved to another server, as a multiple of the route's objective. */
export const FIRST_EVENT_TIMEOUT_OBJECTIVES = 2
/** Minimum gap between events after which a stream is moved to another server. Callers wait at least two seconds before they give up. */
export const MINIMUM_EVENT_GAP_TIMEOUT_MILLISECONDS = 1500
/** Gap between events after which a stream is moved to another server, as a multiple of the route's objective for event gaps. */
export const EVENT_GAP_TIMEOUT_OBJECTIVES = 2
/** Size of the heads and trailers of one answer above which they are treated as endless. It is the default limit of Node.js. */
export const MAXIMUM_ANSWER_HEAD_BYTES = 16 * 1024
/** Size above which a line between the chunks of an answer is treated as endless. */
export const MAXIMUM_CHUNK_LINE_BYTES = 1024
/** Size above which an answer is treated as endless. It equals the default limit on request bodies. */
export const MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024
/** Size above which one event is treated as endless. It equals several hundred usual events. */
export const MAXIMUM_EVENT_BYTES = 256 * 1024
/** Size above which a stream is treated as endless. It equals a hundred thousand usual events. */
export const MAXIMUM_STREAM_BYTES = 16 * 1024 * 1024
/** Digits of the number of an event; more are not exact as numbers. */
export const MAXIMUM_EVENT_NUMBER_DIGITS = 15
/** Minimum remaining time for another attempt. With less, the caller leaves before the attempt can end. */
export const MINIMUM_ATTEMPT_MILLISECONDS = 30

/** Different servers of a service that cannot be reached, with none reached since, at which the path of this instance is the likely cause; fewer when the service has fewer. */
export const MAXIMUM_UNOPENED_SERVERS = 4
/** Time for which a server that could not be reached counts. Rarely used services get a request a second. */
export const REACH_WINDOW_MILLISECONDS = 5000
/** Share of a service's servers out of reach from which requests that the others have no room for are handed to another instance. */
export const OUT_OF_REACH_SHARE_OF_RELAYS = 0.5
/** Interval at which a server of a service that is out of reach is probed. */
export const REACH_PROBE_INTERVAL_MILLISECONDS = 300
/** Time over which requests return to the servers after a cut. */
export const REACH_RETURN_MILLISECONDS = 1500
/** Servers of other services that are tried to tell a cut of this instance from the end of a server. */
export const PATH_CHECK_SERVERS = 3
/** Instances that one request is offered to. Half of them may be cut off as well. */
export const MAXIMUM_RELAYS_PER_REQUEST = 6
/** Time for which an instance is left out that could not take a request of a service. It doubles each time, because an instance behind a partition costs a request the time of a connection that does not open. */
export const FIRST_UNABLE_MILLISECONDS = 1000
export const MAXIMUM_UNABLE_MILLISECONDS = 4000
/** Instances in a row that could not take a request of a service, after which none is asked for a while. */
export const MAXIMUM_UNABLE_INSTANCES = 8
export const RELAY_PAUSE_MILLISECONDS = 500
/** Instances of the own zone and of other zones that an instance may hand requests to. */
export const MAXIMUM_NEAR_TARGETS = 32
export const MAXIMUM_FAR_TARGETS = 64
/** Open relays by which an instance of another zone counts more. */
export const OTHER_ZONE_RELAYS = 2
/** Open relays that an offer in vain is worth: it delays the request by a round trip between zones. */
export const UNABLE_INSTANCE_RELAYS = 4
/** Multiple of the timeouts at servers after which a relay is given up. */
export const RELAY_TIMEOUT_FACTOR = 2
/** Requests of other instances that an instance takes at the same time; each uses two descriptors of the few thousand that a process has. */
export const MAXIMUM_OPEN_RELAYED_REQUESTS = 500
/** Maximum size of a relayed request. It equals the limit of other calls between instances. */
export const MAXIMUM_RELAY_BYTES = 8 * 1024 * 1024

/** Consecutive failures after which a server gets no new work for a while. */
export const FAILURES_BEFORE_AVOIDANCE = 2
/** First period for which a failing server is avoided. The period doubles each time the server fails again afterwards. */
export const INITIAL_AVOIDANCE_MILLISECONDS = 500
/** Longest period for which a failing server is avoided. */
export const MAXIMUM_AVOIDANCE_MILLISECONDS = 4000
/** Connections in a row that could not be opened, after which nothing is sent to a server while it is avoided, even when there is no other. */
export const UNOPENED_CONNECTIONS_OUT_OF_REACH = 2
/** Period within which unreachable servers of one availability zone are counted to detect that the whole zone is unreachable. */
export const ZONE_OUTAGE_WINDOW_MILLISECONDS = 1500
/** Unreachable servers, with none of the zone reached since, at which the whole zone is treated as unreachable. */
export const ZONE_OUTAGE_SERVERS = 2
/** Time without data after which an attempt in an unreachable zone is moved to another server. It is longer than the usual gap between events, and short enough that callers do not notice the pause. */
export const ZONE_OUTAGE_CONFIRMATION_MILLISECONDS = 250
/** Time for which an unreachable zone is avoided before one of its servers is tried again. */
export const ZONE_OUTAGE_AVOIDANCE_MILLISECONDS = 800
/** Weight of one outcome in the moving average of a server's failure rate, which thus covers about the last ten outcomes. */
export const FAILURE_RATE_WEIGHT = 0.1
/** Recent failure rate above which a server is used only when no other is left. */
export const MAXIMUM_FAILURE_RATE = 0.25
/** Half-life of the failure rate of a server that gets no work. */
export const FAILURE_RATE_HALF_LIFE_MILLISECONDS = 3000
/** Half-life of the weight of a load report. A report is largely outdated after one answer of usual length. */
export const LOAD_REPORT_HALF_LIFE_MILLISECONDS = 1500

/** Half-life of the weight of the reported number of waiting requests. A queue of prompts changes within some hundred milliseconds. */
export const WAITING_REPORT_HALF_LIFE_MILLISECONDS = 600
/** Weight of one observation in the moving average of the delay of first events at one server. */
export const SERVER_DELAY_WEIGHT = 0.5
/** Half-life of that moving average. */
export const SERVER_DELAY_HALF_LIFE_MILLISECONDS = 700
/** Weight of one observation in the moving average of the delay of first events over all servers of a service. */
export const SERVICE_DELAY_WEIGHT = 0.15
/** Half-life of that moving average. */
export const SERVICE_DELAY_HALF_LIFE_MILLISECONDS = 2000

/** Prefill time of one prompt token before any was observed. The data sheets of the engines in use give 112 to 125 tokens per millisecond. */
export const INITIAL_PREFILL_MILLISECONDS_PER_TOKEN = 1 / 115
/** Time to the first event of a prompt that needs no prefill. The data sheets give 62 ms, to which the batch step that the prompt joins is added. */
export const FIRST_EVENT_OVERHEAD_MILLISECONDS = 70
/** Minimum number of uncached tokens for a prompt to count as an observation of prefill speed. Shorter prompts say little about it. */
export const MINIMUM_PREFILL_SAMPLE_TOKENS = 1500
/** Number of recent prompts of a model from which its prefill speed is estimated. */
export const MAXIMUM_PREFILL_SAMPLES = 24
/** Number of observed prompts of a model below which the fastest of them is the estimate. */
export const MINIMUM_PREFILL_SAMPLES = 4
/** Time without a prompt of a model after which its estimate begins to decay. An instance sends prompts of each model in use every second or two. */
export const PREFILL_ESTIMATE_GRACE_MILLISECONDS = 4000
/** Half-life of the estimate from then on. */
export const PREFILL_ESTIMATE_HALF_LIFE_MILLISECONDS = 2000
/** Quantile of the observed prefill times per token that is used as the estimate. The speeds of the data sheets lie there: slower prompts also waited in a queue, and faster ones were partly cached. */
export const PREFILL_SAMPLE_QUANTILE = 0.4
/** Minimum prefill time that is announced to other instances. Shorter prompts hardly delay others, and most prompts are short. */
export const MINIMUM_PUBLISHED_PREFILL_MILLISECONDS = 60
/** The same in services whose instances share load reports: shorter prompts show in the reports soon enough, and hints would exceed their rate. */
export const MINIMUM_PUBLISHED_PREFILL_IN_ZONE_MILLISECONDS = 120
/** Maximum number of instances that receive one hint. At the target size of a deployment these are the instances of one zone and some more. */
export const MAXIMUM_HINT_TARGETS = 100
/** Maximum time for which a server is assumed to be busy with prompts of other instances. It is about the prefill time of the longest prompt of the data sheets on the largest model. */
export const MAXIMUM_PEER_PREFILL_MILLISECONDS = 3000
/** Factor by which the prefill time of a prompt counts in the cost of a server, because prompts queued behind it wait as well. */
export const PREFILL_COST_FACTOR = 2
/** Weight of one prompt in the moving average of prefill times. */
export const MEAN_PREFILL_WEIGHT = 0.05
/** Fraction of the shared prompt parts that the second affinity server is assumed to have cached. */
export const SECOND_AFFINITY_SERVER_SHARE = 0.5
/** Time that each additional running request adds to every batch step of an engine. The data sheets give 0.08. */
export const BATCH_STEP_MILLISECONDS_PER_REQUEST = 0.08
/** Usual answer time of a plain request. It only serves to compare servers of one service. */
export const PLAIN_WORK_MILLISECONDS = 60
/** Cost of choosing a server in another availability zone, in services that are not ordered by priority. Traffic between zones is charged for, and adds one to two milliseconds of latency. */
export const OTHER_ZONE_COST_MILLISECONDS = 25
/** Maximum number of prompt parts whose servers are remembered. The least recently used parts are dropped first. */
export const MAXIMUM_TRACKED_PROMPT_PARTS = 20_000
/** Time for which an engine is assumed to keep a prompt part in its cache after the last use. */
export const PROMPT_PART_LIFETIME_MILLISECONDS = 60_000

/** Confidence, from 0 to 100, below which an answer is replaced by that of a larger model, if that model can answer in time. */
export const CONFIDENCE_THRESHOLD = 45
/** Ratio of the larger model's estimated time to first event to the time left until the objective, up to which the full confidence threshold applies. */
export const FULL_THRESHOLD_TIME_RATIO = 0.5
/** The same ratio, above which every answer is accepted. */
export const ZERO_THRESHOLD_TIME_RATIO = 1.2
/** Sliding window in which retries are compared with requests. */
export const RETRY_WINDOW_MILLISECONDS = 10_000
/** Fraction of the allowed retry ratio that one instance uses. The rest allows for an uneven distribution of requests over the instances. */
export const RETRY_RATIO_SHARE = 0.8
/** Retries that an instance may make in one window in addition to the ratio. */
export const RETRY_BUDGET_BASE_COUNT = 3

/** Retry time named in a refusal when no better estimate is known. */
export const DEFAULT_RETRY_AFTER_MILLISECONDS = 300
/** Least retry time named in a refusal because all servers are in evacuated zones. Evacuations last for many seconds, and callers have few tries. */
export const EVACUATED_RETRY_AFTER_MILLISECONDS = 3000
/** Retry time named in a refusal while the catalogue is not known yet. */
export const STARTING_RETRY_AFTER_MILLISECONDS = 1000
/** Maximum time that a request waits for the first catalogue. Reading the catalogue takes some tens of milliseconds after a start. */
export const MAXIMUM_STARTING_WAIT_MILLISECONDS = 1500
/** Maximum fraction of the caller's patience that is spent on that wait. */
export const STARTING_WAIT_PATIENCE_SHARE = 0.33
/** Retry time named in a refusal by an instance that is about to end. Other instances accept the request at once. */
export const STOPPING_RETRY_AFTER_MILLISECONDS = 20

/** Time for which a session keeps its version after its last request, in addition to the deployment's session gap. */
export const SESSION_MARGIN_MILLISECONDS = 2000
/** Fraction of the allowed exposure that a rollout uses in its canary phase. The rest is left for the following ramp and for requests in progress. */
export const CANARY_EXPOSURE_SHARE = 0.6
/** Fraction of the rollout's period after which sessions may move to the new version. They must not move in the first half. */
export const SESSION_MOVE_START_SHARE = 0.51
/** Fraction of the rollout's period at which the canary phase ends and the first ramp begins. A version that is bad from the start is detected within 1.5 s of answers to sessions. */
export const FIRST_RAMP_START_SHARE = 0.61
/** Fraction of the rollout's period at which the first ramp ends. From then on the servers of both versions share the load. */
export const FIRST_RAMP_END_SHARE = 0.69
/** Fraction of sessions on the new version between the two ramps. */
export const PLATEAU_VERSION_SHARE = 0.5
/** Fraction of the rollout's period at which the remaining sessions begin to move to the new version. */
export const FINAL_RAMP_START_SHARE = 0.76
/** Fraction of the rollout's period at which all sessions use the new version. */
export const FINAL_RAMP_END_SHARE = 0.8
/** Fraction of the rollout's period after which the old servers are checked for remaining work. */
export const COMPLETION_CHECK_START_SHARE = 0.83
/** Time before the rollout's deadline at which it is completed even if old servers still have work. */
export const COMPLETION_RESERVE_MILLISECONDS = 1200
/** Interval at which an instance checks for due rollout steps. */
export const ROLLOUT_INTERVAL_MILLISECONDS = 500
/** Expected number of instances that attempt a due step in its first interval. With three, at least one attempts it in 95 of 100 intervals. */
export const EXPECTED_STEP_ATTEMPTS = 3
/** Delay after a change of the evidence table, so that the reports of many instances are read together. */
export const EVIDENCE_COALESCE_MILLISECONDS = 1500
/** The same delay while sessions move. At half of the load, a bad version uses up the allowed exposure within two to three seconds. */
export const RAMP_EVIDENCE_COALESCE_MILLISECONDS = 400
/** Time allowed for a query of a server's load. */
export const PROBE_TIMEOUT_MILLISECONDS = 400
/** Interval at which state that depends on time is updated. */
export const STATE_INTERVAL_MILLISECONDS = 100
/** Interval at which an instance publishes its outcome counts of a rollout when it has seen no new failures. */
export const EVIDENCE_INTERVAL_MILLISECONDS = 5000
/** Minimum number of failures of the new version, over all instances, for it to count as bad. */
export const MINIMUM_BAD_VERSION_FAILURES = 4
/** Minimum number of failures of the new version, beyond those expected from the old version, for it to count as bad. */
export const MINIMUM_EXCESS_FAILURES = 3
/** Minimum number of slow answers of the new version, over all instances, for it to count as bad, and minimum number beyond those expected from the old version. */
export const MINIMUM_SLOW_ANSWERS = 6
export const MINIMUM_EXCESS_SLOW_ANSWERS = 4
/** Rate of slow answers that the new version must exceed to count as bad. Under load, one in ten answers of a good version is as late; of a slow version, a third or more are. */
export const SLOW_VERSION_RATE = 0.25
/** Failure rate that the new version must exceed to count as bad. */
export const BAD_VERSION_FAILURE_RATE = 0.1
/** Ratio to the old version's failure rate that the new version must exceed to count as bad. */
export const BAD_VERSION_FAILURE_RATIO = 2.5
/** Weight of the old version's failure rate over all routes in its rate on one route, as a number of outcomes. It limits the effect of routes with few outcomes. */
export const POOLED_RATE_PRIOR_OUTCOMES = 4
/** Failure rate above which the new version counts as bad whatever the failure rate of the old version is. */
export const BAD_VERSION_FAILURE_RATE_CEILING = 0.9
/** Multiple of the baseline time above which a first event, or a plain answer, counts as a failure of the version. */
export const SLOW_ANSWER_FACTOR = 4
/** The same as a multiple of the estimate for the prompt's length. Long prompts that no server of a new version has cached yet take up to twice the estimate. */
export const SLOW_ESTIMATE_FACTOR = 2.5
/** Multiple of the baseline gap between events above which a stream counts as a failure of the version. Load alone roughly doubles the gap. */
export const SLOW_EVENT_GAP_FACTOR = 3
/** Minimum number of events of a stream from which its mean event gap is computed. */
export const EVENT_GAP_SAMPLE_EVENTS = 4
/** Length of one counting window of outcomes. A decision uses the current window and the one before it. */
export const EVIDENCE_WINDOW_MILLISECONDS = 4000
/** Age at which another instance's report is no longer counted. */
export const EVIDENCE_LIFETIME_MILLISECONDS = 8000
/** Time below which an answer is never counted as slow. */
export const MINIMUM_SLOW_ANSWER_MILLISECONDS = 300
/** Weight of one answer in the moving average of the old version's baseline times. */
export const BASELINE_TIME_WEIGHT = 0.1

/** Time for which an instance remembers servers that left, in milliseconds; longer than a copy from which the store comes back is old. */
export const DEPARTED_SERVER_MEMORY_MILLISECONDS = 120_000
/** Time after an outage of the store within which servers whose entries lapsed meanwhile register again. */
export const LAPSED_ENTRY_GRACE_MILLISECONDS = 2000

/** Minimum time after SIGTERM for which the listening address stays open. The balancer notices the stop after two health checks, a second apart. */
export const MINIMUM_STOP_MILLISECONDS = 2600
/** Time before the platform's SIGKILL at which the process ends by itself. */
export const STOP_RESERVE_MILLISECONDS = 400

/** Probability up to which several crashes in a row at a sound request count as a coincidence that does not happen. */
export const COINCIDENCE_PROBABILITY = 0.002
/** Assumed fraction of attempts that meet a crash of their server before any was seen, and its weight in attempts. */
export const CRASH_RATE_PRIOR = 0.03
export const CRASH_RATE_PRIOR_ATTEMPTS = 20
/** Half-life of the weight of an attempt in the rate of crashes. */
export const CRASH_RATE_HALF_LIFE_MILLISECONDS = 10_000
/** Answers from which an instance knows enough parts of sound prompts to compare prompts of different kinds. */
export const MINIMUM_KNOWN_ANSWERS = 10
/** Bounds of the number of crashes after which the parts of a prompt are suspected. */
export const MINIMUM_REQUIRED_CRASHES = 2
export const MAXIMUM_REQUIRED_CRASHES = 10
/** Crashes after which a request is suspected whatever else was at the servers. It must not crash more than three before every instance knows it. */
export const CERTAIN_CRASHES_OF_REQUEST = 3
/** Time within which the reports of one crash reach a collector, unless they are lost. */
export const CRASH_REPORTS_SETTLING_MILLISECONDS = 150
/** Crashes after which a suspected request is not tried again, so that no more than three tries follow the third crash over all instances. */
export const MAXIMUM_CRASHES_OF_TRIED_REQUEST = 5
/** Crashes of servers whose requests are compared, and requests that are kept for each; an engine has about as many places. */
export const MAXIMUM_CRASH_INCIDENTS = 128
export const MAXIMUM_REQUESTS_PER_INCIDENT = 64
/** Requests whose answers have begun that an instance remembers; at the target size those of the last ten seconds. */
export const MAXIMUM_TRACKED_REQUESTS = 1000
/** Age at which the report of a crash is no longer counted. */
export const CRASH_REPORT_LIFETIME_MILLISECONDS = 600_000
/** Reports that are kept. Each new one is compared with all of them. */
export const MAXIMUM_CRASH_REPORTS = 96
/** Time within which the requests at a server that crashes notice it. A server needs seconds to come back and crash again. */
export const SAME_CRASH_MILLISECONDS = 1000
/** Time for which a part counts as proven after an answer to a prompt with it began. */
export const PART_PROOF_LIFETIME_MILLISECONDS = 60_000
/** Time that is left to proven parts, which many prompts share, to be cleared by the next answer. */
export const SHARED_PARTS_SETTLING_MILLISECONDS = 3000
/** Crashes from which a suspicion applies although all its parts are proven. */
export const MINIMUM_CRASHES_OF_PROVEN_PARTS = 3
/** Time from the second crash until a prompt is let through as a trial. It doubles with each further crash. */
export const FIRST_TRIAL_MILLISECONDS = 8000
export const MAXIMUM_TRIAL_DOUBLINGS = 9
/** Time after which a trial without a result may be repeated. */
export const TRIAL_TIMEOUT_MILLISECONDS = 30_000
/** Time by which a trial starts later at an instance for each one that is ranked before it, and the last rank that makes trials. */
export const TRIAL_RANK_DELAY_MILLISECONDS = 2000
export const MAXIMUM_TRIAL_RANK = 7
/** Time after a due trial at which a suspicion is dropped, because no prompt came that it applies to. */
export const FORGOTTEN_SUSPICION_MILLISECONDS = 1_800_000
export const MAXIMUM_SUSPICIONS = 64
/** Interval at which an instance that refuses prompts tells others of the suspicion again. */
export const REMINDER_INTERVAL_MILLISECONDS = 5000
/** Difference below which two times of a trial are the same news. */
export const SAME_NEWS_MILLISECONDS = 1000

/** Window of the store's clock in which the requests that a server's limit allows are distributed to the instances. */
export const LIMIT_WINDOW_MILLISECONDS = 1000
/** Requests per second that a server gets at least, so that the end of its limit is noticed. */
export const MINIMUM_SERVER_LIMIT = 0.1
/** Age at which a limit that was not named again is dropped; its server has probably ended. */
export const SERVER_LIMIT_LIFETIME_MILLISECONDS = 600_000
/** Longest time after which a caller is told to return because of limits, as other servers may take its request by then. */
export const MAXIMUM_LIMIT_RETRY_AFTER_MILLISECONDS = 5000

/** Share of the thread's time that the received bytes of one peer may use, whatever others use. */
export const READ_PEER_SHARE = 0.02
/** Share of the thread's time that the own shares of all active peers come to at most. */
export const READ_OWN_SHARES = 0.2
/** Time of the thread that a peer may use at once: several megabytes in large pieces. */
export const READ_PEER_BURST_MILLISECONDS = 20
/** Share of the thread's time that peers may use beyond their own. The rest is left for callers, timers and the store. */
export const READ_POOL_SHARE = 0.2
export const READ_POOL_BURST_MILLISECONDS = 100
/** Interval at which waiting readers are resumed. */
export const READ_PACE_INTERVAL_MILLISECONDS = 5
/** What a resumed reader is expected to use: the time for one full read. */
export const EXPECTED_READ_MILLISECONDS = 0.5
/** Least charge for one call with received bytes, and for each byte, which the operating system and the runtime spend outside the measured time. */
export const READ_PRICE_PER_CALL_MILLISECONDS = 0.003
export const READ_PRICE_PER_BYTE_MILLISECONDS = 3e-7
/** Highest measured charge for one call. A process that is paused meanwhile measures the pause too. */
export const MAXIMUM_READ_CHARGE_MILLISECONDS = 10
/** Interval at which peers that have used nothing lately are forgotten. */
export const READ_ACCOUNT_SWEEP_MILLISECONDS = 1000

/** Share of a process's memory limit that bodies of requests and answers may use together. The rest is for the heap, the runtime and the buffers of connections. */
export const HELD_BYTES_SHARE_OF_MEMORY = 0.2
/** What bodies may use together where the limit of the process is not known. */
export const DEFAULT_HELD_BYTES = 64 * 1024 * 1024
/** Share of that which one server may hold. */
export const HELD_BYTES_SHARE_OF_PEER = 0.25
/** Share of that which bodies above `SMALL_BODY_BYTES` may use. */
export const HELD_BYTES_SHARE_OF_LARGE_BODIES = 0.75
export const SMALL_BODY_BYTES = 64 * 1024
/** Time in which a connection takes no part of its answer, after which its caller is slow. A caller that reads takes some even when a lost segment is sent again. */
export const SLOW_CALLER_MILLISECONDS = 1000
/** Size of the pieces in which an answer is handed to its connection, whose progress shows whether the caller reads. */
export const ANSWER_PIECE_BYTES = 64 * 1024
/** Bytes of a refused body that are read before its connection is closed. */
export const MAXIMUM_DISCARDED_BYTES = 8 * 1024 * 1024

/** Longest wait for a cold server, as a multiple of the objective. The rest is for the answer, and a refusal should not come late. */
export const COLD_WAIT_OBJECTIVES = 0.5
/** Time by which a request that waits for a cold server starts after one of the next higher priority. It is a few times the jitter of timers. */
export const WAKE_OFFSET_MILLISECONDS = 4
/** Time over which refused callers of one priority return, so that they do not meet again. */
export const RETURN_SPREAD_MILLISECONDS = 1000
