/** Constants of the calls between entry instances. */

export const PEER_PATH = '/trpc/'
export const MAXIMUM_PEER_BODY_BYTES = 8 * 1024 * 1024
export const DEFAULT_PEER_TIMEOUT_MILLISECONDS = 1000
/** Idle connections to one instance that are kept. */
export const MAXIMUM_FREE_PEER_CONNECTIONS = 2
/** Random peers of a zone of 56 meet about twice a minute; a shorter time would open a connection for almost each call. */
export const PEER_KEEP_ALIVE_MILLISECONDS = 90_000
/** About 60 bytes each, so half of the 13 KB a second that an instance may use for control at the target size. */
export const MAXIMUM_DATAGRAMS_PER_SECOND = 100
/** Datagrams that may be sent at once after a quiet time: several messages to a hundred instances. */
export const MAXIMUM_DATAGRAM_BURST = 400
/** Time between two log lines about datagrams that were not sent. */
export const DATAGRAM_LOG_INTERVAL_MILLISECONDS = 5000
