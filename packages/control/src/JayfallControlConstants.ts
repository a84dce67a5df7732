/** Constants of membership, propagation and limit shares. */

/** Mean interval of exchanges with a peer of the own zone. */
export const ZONE_EXCHANGE_MILLISECONDS = 1000
/** Mean interval of exchanges with a peer of another zone. */
export const OTHER_ZONE_EXCHANGE_MILLISECONDS = 4000
/** Intervals are spread by this part to either side, so that instances do not act in step. */
export const INTERVAL_JITTER = 0.2
export const EXCHANGE_TIMEOUT_MILLISECONDS = 1000

/** Peers that are told at once of a newly installed change. */
export const TRIGGERED_PEERS = 2
/** Changes installed within this time share their triggered exchanges. */
export const TRIGGER_COALESCING_MILLISECONDS = 250

/** Interval of the control tick. */
export const TICK_MILLISECONDS = 250
export const HEARTBEAT_MILLISECONDS = 1000
export const SUSPECT_AFTER_MILLISECONDS = 5000
export const DEAD_AFTER_MILLISECONDS = 10_000
export const REMOVED_AFTER_MILLISECONDS = 60_000
/** A removed member's counter is remembered for this long, so that a late entry does not bring it back. */
export const TOMBSTONE_MILLISECONDS = 120_000
/** A longer gap between two ticks is taken as a pause of the process. */
export const PAUSE_MILLISECONDS = 5000

/** Characters of a member's key in messages; 36 bits keep 56 keys of a zone apart. */
export const MEMBER_KEY_LENGTH = 6

export const STORE_READERS_PER_ZONE = 2
export const STORE_READ_MILLISECONDS = 1000
/** An instance that has exchanged with no peer for this long reads the store itself. */
export const CUT_OFF_AFTER_MILLISECONDS = 5000
export const MAXIMUM_BACKOFF_MILLISECONDS = 8000
export const FIRST_BACKOFF_MILLISECONDS = 500

/** A starting instance chooses among the sources that answer within this time. */
export const START_WAIT_MILLISECONDS = 2000
export const START_PEERS = 3

export const ZONE_STATUS_MILLISECONDS = 5000
export const ZONE_STATUS_TABLE = 'zone-status'
/** An older row tells nothing about the zone's present state. */
export const STATUS_STALE_AFTER_MILLISECONDS = 15_000
/** Rows that are this old are of zones that no longer exist. */
export const STATUS_FORGOTTEN_AFTER_MILLISECONDS = 600_000
/** Above this confirmation age an instance gives versions with `whenCutOff: stop` no new work. */
export const CONFIRMATION_LIMIT_MILLISECONDS = 9000

/** A zone's summary is renewed at this interval. With 16 zones, each second less costs a node about 0.4 kB/s. */
export const SUMMARY_MILLISECONDS = 6000
/** Peers of a zone that its summary names. */
export const SUMMARY_CONTACTS = 3
/** Without a newer summary for this long a zone counts as out of contact. */
export const ZONE_LOST_AFTER_MILLISECONDS = 16_000
/** The last known split between zones is kept for this long once a zone is out of contact. */
export const SPLIT_KEPT_MILLISECONDS = 60_000
export const ZONE_FORGOTTEN_AFTER_MILLISECONDS = 600_000

/** Largest demands that a member reports. */
export const REPORTED_DEMANDS = 8
/** A reported demand gives way to another that is larger by this factor. */
export const REPORTED_PREFERENCE = 1.5
/** Demands are rounded to this many steps for each doubling. */
export const DEMAND_STEPS_PER_DOUBLING = 8
/** A reported demand is replaced when it is off by this many steps, so that noise causes no messages. */
export const DEMAND_HYSTERESIS_STEPS = 1
/**
 * Time constants of the averages of demand of a member and of a zone. The split follows slow
 * shifts between members and zones; a surge of all of them at once changes it little, while
 * fast averages would lower everyone's share until the rises count (see the delays below).
 */
export const MEMBER_AVERAGE_MILLISECONDS = 120_000
export const ZONE_AVERAGE_MILLISECONDS = 300_000
/**
 * A risen demand counts in the own share only after this time, when the members of the
 * zone have learnt of it and have lowered theirs. It bounds the propagation in the zone.
 */
export const MEMBER_RISE_DELAY_MILLISECONDS = 8000
/** The same between zones; longer than the time after which a zone counts as out of contact. */
export const ZONE_RISE_DELAY_MILLISECONDS = 20_000
/** The part of a zone's limit that its members' floors add up to. */
export const MEMBER_FLOOR = 0.5
/** The part of the floors that is kept free of other members' use; the rest is the possible overshoot. */
export const MEMBER_RESERVE = 0.25
/** The part of a limit that the zones' floors add up to; all of it is kept free. */
export const ZONE_FLOOR = 0.125

export const ANNOUNCE_MILLISECONDS = 10_000
export const INSTANCE_LIST_MILLISECONDS = 5000
/** The platform's list is read so seldom that it costs at most this many bytes a second. */
export const INSTANCE_LIST_BYTES_PER_SECOND = 2048
/** Bytes of one instance in the platform's list. */
export const LISTED_INSTANCE_BYTES = 130
