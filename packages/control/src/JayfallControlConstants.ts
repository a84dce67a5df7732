/** Constants of zone membership, catalogue propagation and limit shares. */

/** Mean interval between two exchanges that an instance starts with a peer of its own zone, in milliseconds. */
export const ZONE_EXCHANGE_INTERVAL_MILLISECONDS = 1000
/** Mean interval between two exchanges that an instance starts with a peer of another zone, in milliseconds. */
export const OTHER_ZONE_EXCHANGE_INTERVAL_MILLISECONDS = 4000
/** Each interval varies by up to this fraction in both directions, so that instances do not synchronise. */
export const INTERVAL_JITTER = 0.2
/** Time limit of one exchange, in milliseconds. */
export const EXCHANGE_TIMEOUT_MILLISECONDS = 1000

/** Number of peers that receive a newly installed change immediately. */
export const TRIGGERED_PEERS = 2
/** Minimum time between two rounds of triggered exchanges, in milliseconds; changes installed in between share the next round. */
export const TRIGGER_COALESCING_MILLISECONDS = 250

/** Interval of the tick from which all timing of the control code runs, in milliseconds. */
export const TICK_INTERVAL_MILLISECONDS = 250
/** Interval at which an instance advances its heartbeat counter, in milliseconds. */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 1000
/** Time without a higher heartbeat counter after which a member is suspect, in milliseconds. */
export const SUSPECT_AFTER_MILLISECONDS = 5000
/** Time without a higher heartbeat counter after which a member is dead, in milliseconds. */
export const DEAD_AFTER_MILLISECONDS = 10_000
/** Time without a higher heartbeat counter after which a member is removed, in milliseconds. */
export const REMOVED_AFTER_MILLISECONDS = 60_000
/** Time for which the heartbeat counter of a removed member is kept, so that a late entry does not revive the member, in milliseconds. */
export const TOMBSTONE_LIFETIME_MILLISECONDS = 120_000
/** A longer gap between two ticks, in milliseconds, counts as a pause of the process. */
export const PAUSE_DETECTION_MILLISECONDS = 5000

/** Length of a member's key in messages, in base64url characters; the 36 bits distinguish the 56 members of a zone. */
export const MEMBER_KEY_LENGTH = 6

/** Number of instances of each zone that read the catalogue from the store. */
export const STORE_READERS_PER_ZONE = 2
/** Interval between two reads of the store by one instance, in milliseconds. */
export const STORE_READ_INTERVAL_MILLISECONDS = 1000
/** Time without a successful exchange after which an instance reads the store itself, in milliseconds. */
export const CUT_OFF_AFTER_MILLISECONDS = 5000
/** Upper bound of the delay after a failed read of the store, in milliseconds. */
export const MAXIMUM_BACKOFF_MILLISECONDS = 8000
/** Base of the exponential backoff after failed reads of the store, in milliseconds. */
export const FIRST_BACKOFF_MILLISECONDS = 500

/** Time for which a starting instance waits for a catalogue from its peers and the store, in milliseconds. */
export const START_TIMEOUT_MILLISECONDS = 2000
/** Number of peers that a starting instance asks for their revisions. */
export const START_PEERS = 3

/** Interval at which a zone's status row is written, in milliseconds. */
export const ZONE_STATUS_MILLISECONDS = 5000
export const ZONE_STATUS_TABLE = 'zone-status'
/** Age above which a status row no longer describes the present state of its zone, in milliseconds. */
export const STATUS_STALE_AFTER_MILLISECONDS = 15_000
/** Age at which the zone of a status row is taken to exist no longer, in milliseconds. */
export const STATUS_FORGOTTEN_AFTER_MILLISECONDS = 600_000
/** Confirmation age above which an instance gives no new work to versions with `whenCutOff: stop`, in milliseconds. */
export const CONFIRMATION_LIMIT_MILLISECONDS = 9000

/** Interval at which a zone's summary is renewed, in milliseconds. With 16 zones, each second less costs an instance about 0.4 kB/s. */
export const SUMMARY_INTERVAL_MILLISECONDS = 6000
/** Number of member addresses in a zone's summary. */
export const SUMMARY_CONTACTS = 3
/** Time without a newer summary after which a zone counts as unreachable, in milliseconds. */
export const ZONE_UNREACHABLE_AFTER_MILLISECONDS = 16_000
/** Time for which the last known division of the limits between zones is kept after a zone became unreachable, in milliseconds. */
export const ZONE_SHARE_RETENTION_MILLISECONDS = 60_000
/** Time without a newer summary after which a zone is removed, in milliseconds. */
export const ZONE_REMOVED_AFTER_MILLISECONDS = 600_000

/** Number of workspaces whose demand a member reports; it reports the largest. */
export const MAXIMUM_REPORTED_DEMANDS = 8
/** Factor by which a demand must exceed a reported one to replace it in the report. */
export const REPORTED_DEMAND_PREFERENCE = 1.5
/** Number of quantization steps for each doubling of a demand. */
export const DEMAND_STEPS_PER_DOUBLING = 8
/** A reported demand changes only when it is off by at least this many quantization steps, so that noise causes no messages. */
export const DEMAND_HYSTERESIS_STEPS = 1
/**
 * Time constants of the exponential averages of the demand of a member and of a zone, in milliseconds.
 * The shares follow slow shifts between members and zones, and a surge of all of them at once changes
 * the shares little. Short time constants would lower every share until the rises count (see the delays below).
 */
export const MEMBER_AVERAGE_TIME_CONSTANT_MILLISECONDS = 120_000
export const ZONE_AVERAGE_TIME_CONSTANT_MILLISECONDS = 300_000
/**
 * Time after which a rise of an instance's demand counts in its own share, in milliseconds. By then the
 * other members of the zone have received it and lowered their shares, as it bounds the propagation in the zone.
 */
export const MEMBER_RISE_DELAY_MILLISECONDS = 8000
/** Time after which a rise of a zone's demand counts in its own share, in milliseconds; longer than the time after which a zone counts as unreachable. */
export const ZONE_RISE_DELAY_MILLISECONDS = 20_000
/** Fraction of a zone's limit that the guaranteed minimum shares of its members add up to. */
export const MEMBER_FLOOR = 0.5
/** Fraction of a zone's limit that is reserved within the guaranteed shares; the rest of the guaranteed shares is the possible overshoot. */
export const MEMBER_RESERVE = 0.25
/** Fraction of a limit that the guaranteed minimum shares of the zones add up to; all of it is reserved. */
export const ZONE_FLOOR = 0.125

/** Interval at which an instance announces itself to the platform, in milliseconds. */
export const ANNOUNCE_MILLISECONDS = 10_000
/** Interval at which an instance checks whether a read of the platform's list of instances is due, in milliseconds. */
export const INSTANCE_LIST_MILLISECONDS = 5000
/** Upper bound of the mean traffic for reads of the platform's list of instances, in bytes per second. */
export const INSTANCE_LIST_BYTES_PER_SECOND = 2048
/** Size of one instance in the platform's list, in bytes. */
export const LISTED_INSTANCE_BYTES = 130
