/** Constants of the forwarding face. Durations are milliseconds unless a name says otherwise. */

/** A connection within a region opens within a few milliseconds; a lost first packet is sent again only after a second. */
export const CONNECT_TIMEOUT = 120
/** Shortest time without an answer after which a repeatable plain request is sent elsewhere: several times a usual answer of the plain services. */
export const MINIMUM_ANSWER_SILENCE = 400
/** The part of the objective that a repeatable plain request waits for its answer before it is sent elsewhere. */
export const ANSWER_SILENCE_OBJECTIVES = 2
/** Shortest time without a first event after which a stream is sent elsewhere: longer than a full engine's queue moves. */
export const MINIMUM_FIRST_EVENT_SILENCE = 2500
/** The same in objectives of the route. */
export const FIRST_EVENT_SILENCE_OBJECTIVES = 2
/** Shortest pause between events after which a stream goes on elsewhere; callers give up after two seconds at the earliest. */
export const MINIMUM_EVENT_SILENCE = 1500
/** The same in pauses that a timely stream may have. */
export const EVENT_SILENCE_GAPS = 2
/** Bytes of an answer, and of one event, from which on it counts as one without end: as much as requests may have by default, and several hundred usual events. */
export const MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024
export const MAXIMUM_EVENT_BYTES = 256 * 1024
/** With less time left another attempt cannot end before the caller leaves. */
export const MINIMUM_ATTEMPT_TIME = 30

/** Failures in a row that keep new work away from a server. */
export const FAILURES_UNTIL_AVOIDED = 2
/** How long a failing server is avoided at first; doubled with each failed trial. */
export const AVOID_INITIAL = 500
export const AVOID_MAXIMUM = 4000
/** Servers of another availability zone that could not be reached within this time count for its being cut off. */
export const CUT_ZONE_WINDOW = 1500
/** Servers out of reach, and none reached since, from which on their whole zone counts as cut off. */
export const CUT_ZONE_SERVERS = 2
/** Silence after which an attempt in a zone that counts as cut off goes on elsewhere: longer than events are apart, and short enough for a pause that nobody notices. */
export const CUT_ZONE_CONFIRMATION = 250
/** How long a zone that counts as cut off is avoided before one of its servers is tried again. */
export const CUT_ZONE_AVOIDANCE = 800
/** Weight of one outcome in a server's failure rate: about the last ten outcomes count. */
export const FAILURE_RATE_WEIGHT = 0.1
/** A server whose recent failure rate is above this is used only when no other is left. */
export const MAXIMUM_FAILURE_RATE = 0.25
/** Half-life with which a server's failure rate fades while it gets no work. */
export const FAILURE_RATE_HALF_LIFE = 3000
/** Half-life of the weight of a load report: a report is mostly past after one answer of usual length. */
export const LOAD_REPORT_HALF_LIFE = 1500

/** Half-life of the weight of reported waiting requests: a queue of prompts moves within some hundred milliseconds. */
export const WAITING_REPORT_HALF_LIFE = 600
/** Weight of one first event in a server's delay, and the half-life with which that fades. */
export const DELAY_WEIGHT = 0.5
export const DELAY_HALF_LIFE = 700
/** Weight of one first event in the delay of its service, and the half-life with which that fades. */
export const SERVICE_DELAY_WEIGHT = 0.15
export const SERVICE_DELAY_HALF_LIFE = 2000

/** Milliseconds for reading one prompt token before any was observed; the sheets of the engines in use give 112 to 125 tokens in a millisecond. */
export const INITIAL_READING_MILLISECONDS = 1 / 115
/** Time until the first event of a prompt that need not be read; the sheets give 62 ms and the step it falls into. */
export const FIRST_EVENT_MILLISECONDS = 70
/** Prompts with fewer unread tokens tell little about the speed of reading. */
export const MINIMUM_READING_SAMPLE_TOKENS = 1500
/** Recent prompts of a model from which its speed of reading is estimated. */
export const READING_SAMPLES = 24
/** Prompts of a model below which the fastest of them is taken. */
export const MINIMUM_READING_SAMPLES = 4
/** Time without a prompt of a model after which its estimate fades, and the half-life from then on: an instance sends prompts of each model in use every second or two. */
export const READING_GRACE = 4000
export const READING_HALF_LIFE = 2000
/** Reading speeds are this quantile of the observed times; the sheets' speeds lie there, as slower prompts also waited and some were held in part. */
export const READING_QUANTILE = 0.4
/** Reading times below the first and from the second on make a prompt short or long for engines: a step of a batch takes 3 to 20 ms, and first events are due within a second. */
export const SHORT_READING = 25
export const LONG_READING = 150
/** The least urgent rank of operators that engines are told apart by. */
export const LOWEST_RANK = 2
/** Reading times below this are not told to other instances: they delay nobody much, and most prompts are short. */
export const TOLD_READING_MINIMUM = 60
/** Instances that one hint goes to; at the target size those of one zone and some more. */
export const MAXIMUM_HINT_TARGETS = 100
/** Longest time for which servers are taken as busy with the prompts of other instances: about that of the longest prompt of the sheets on the largest model. */
export const MAXIMUM_OTHERS_READING = 3000
/** How much more than its own time the reading of a prompt counts: those behind it wait as well. */
export const READING_EXTERNALITY = 2
/** Weight of one prompt in the usual time of reading a prompt. */
export const USUAL_READING_WEIGHT = 0.05
/** Part of a shared prompt part that the second server of the agreed order is assumed to hold. */
export const SECOND_HOLDER_SHARE = 0.5
/** Milliseconds that one more running request adds to each step of an engine's batch; the sheets give 0.08. */
export const STEP_MILLISECONDS_PER_REQUEST = 0.08
/** Usual time of a plain request; only compares servers of one service with each other. */
export const PLAIN_WORK_MILLISECONDS = 60
/** Cost of leaving the availability zone: bytes between zones are priced, and its latency is one to two milliseconds. */
export const OTHER_ZONE_MILLISECONDS = 25
/** Prompt parts whose last server is remembered, the least recently used go first. */
export const MAXIMUM_REMEMBERED_PARTS = 20_000
/** How long an engine is assumed to keep a prompt part that was last used there. */
export const PART_LIFETIME = 60_000

/** An answer with less confidence is asked of a larger model that can answer in time; trials with 30, 45 and 60 served heavy days best with 45. */
export const CONFIDENCE_THRESHOLD = 45
/** Estimated time to the larger model's first event, in the time left until the objective, up to which the full confidence is asked for. */
export const CASCADE_EASY_SHARE = 0.5
/** The same above which every answer is taken. */
export const CASCADE_LATE_SHARE = 1.2
/** Span over which repeats are counted against requests. */
export const RETRY_WINDOW = 10_000
/** The part of the allowed ratio of repeats that one instance uses: the rest covers uneven shares between instances. */
export const RETRY_RATIO_SHARE = 0.8
/** Repeats that an instance may make beyond the ratio in one window. */
export const RETRY_FREE_COUNT = 3

/** Time to come back that a refusal names when nothing better is known. */
export const DEFAULT_RETRY_AFTER = 300
/** Time to come back while the catalogue is not known yet. */
export const STARTING_RETRY_AFTER = 1000
/** How long a request waits for the first catalogue: reading it takes some tens of milliseconds after a start. */
export const STARTING_WAIT = 1500
/** The part of the caller's time that it may wait so. */
export const STARTING_WAIT_SHARE = 0.33
/** Time to come back that an instance names which is about to end: others take the request at once. */
export const STOPPING_RETRY_AFTER = 20

/** How long a session keeps its version after its last request, beyond the deployment's figure. */
export const SESSION_MARGIN = 2000
/** Part of the allowed exposure that a rollout's trial uses; the rest is left for its ramp and for requests under way. */
export const TRIAL_EXPOSURE_SHARE = 0.6
/** Part of the rollout's period after which sessions may move to the new version; before a half of it they must not. */
export const SESSION_START_SHARE = 0.51
/** Part of the rollout's period at which the trial ends; a version that is bad from its start shows within 1.5 s of answers to sessions. */
export const RAMP_START_SHARE = 0.61
/** Part of the rollout's period by which both versions share the work, so that the servers of both carry the load. */
export const RAMP_END_SHARE = 0.69
/** The part of sessions on the new version between the two ramps. */
export const RAMP_MIDDLE = 0.5
/** Parts of the rollout's period between which the rest moves to the new version. */
export const FINAL_RAMP_START_SHARE = 0.76
export const FINAL_RAMP_END_SHARE = 0.8
/** Part of the rollout's period from which the old servers are checked for remaining work. */
export const COMPLETION_START_SHARE = 0.83
/** Before the rollout's deadline, the time at which it is completed even if old servers still have work. */
export const COMPLETION_RESERVE = 1200
/** Interval of the rollout duty. */
export const ROLLOUT_INTERVAL = 500
/** Chance that an instance makes a due step at one interval, so that few of them race for it. */
export const STEP_PROBABILITY = 0.3
/** Pause after changed evidence, so that the reports of many instances are read together. */
export const EVIDENCE_COALESCE_PAUSE = 1500
/** The same while sessions move: at half of the load a bad version uses up the allowed exposure within two to three seconds. */
export const RAMP_EVIDENCE_COALESCE_PAUSE = 400
/** How long a load probe may take. */
export const PROBE_TIMEOUT = 400
/** Interval at which beliefs that depend on time are renewed. */
export const STATE_INTERVAL = 100
/** Interval at which an instance publishes what it saw of a rollout without failures. */
export const EVIDENCE_INTERVAL = 5000
/** Failures of the new version, over all instances, below which no verdict is passed. */
export const VERDICT_FAILURES = 4
/** Failures of the new version beyond those expected of the old one, below which no verdict is passed. */
export const VERDICT_EXCESS_FAILURES = 3
/** Failure rate of the new version above which it is bad. */
export const VERDICT_FAILURE_RATE = 0.1
/** Failure rate of the new version, in those of the old one, above which it is bad. */
export const VERDICT_RELATIVE_RATE = 2.5
/** Outcomes of the old version on one route that its rate over all routes counts for, so that few outcomes decide little. */
export const POOLED_RATE_OUTCOMES = 4
/** Failure rate of the new version above which it is bad, however often the old one fails. */
export const VERDICT_RATE_CEILING = 0.9
/** A first event, or a plain answer, later than this many usual ones counts as a failure of the version. */
export const SLOW_ANSWER_FACTOR = 4
/** The same in estimates for the prompt's length: long prompts that no server of a new version holds yet take up to twice as long as estimated. */
export const SLOW_ESTIMATE_FACTOR = 2.5
/** Events that come this many times as slowly as usual count as a failure of the version; load alone slows them to about half the speed. */
export const SLOW_PAUSE_FACTOR = 3
/** Streams with fewer events tell nothing about their pauses. */
export const PAUSE_SAMPLE_EVENTS = 4
/** Events after which a stream that is not slow counts as in time: twice those that tell its pace. */
export const TIMELY_EVENTS = 2 * PAUSE_SAMPLE_EVENTS
/** Span over which outcomes are counted; a verdict looks at the current one and the one before. */
export const EVIDENCE_SPAN = 4000
/** Age of another instance's report from which on it no longer counts. */
export const EVIDENCE_LIFETIME = 8000
/** Answers faster than this are never counted as slow. */
export const SLOW_ANSWER_MINIMUM = 300
/** Weight of one answer in the usual time of the old version. */
export const USUAL_TIME_WEIGHT = 0.1

/** Entries that lapsed during an outage of the store are back within about this time after it. */
export const LAPSED_ENTRY_GRACE = 2000

/** After SIGTERM the listening address stays open this long: the balancer notices after two questions a second apart. */
export const STOP_MINIMUM = 2600
/** Time before the platform's SIGKILL at which the process ends by itself. */
export const STOP_RESERVE = 400
