/** Constants of the calls between entry instances. */

/** Path prefix of the procedures on the listener for other instances. */
export const PEER_PATH = '/trpc/'
/** Maximum size of a request body in bytes. */
export const MAXIMUM_PEER_BODY_BYTES = 8 * 1024 * 1024
/** Default time limit of one call, in milliseconds. */
export const DEFAULT_PEER_TIMEOUT_MILLISECONDS = 1000
/** Maximum number of idle connections to one instance. */
export const MAXIMUM_IDLE_PEER_CONNECTIONS = 2
/** Time for which an idle connection stays open, in milliseconds. Two instances of a zone of 56 call each other about twice a minute, so a shorter time opens a connection for almost every call. */
export const PEER_KEEP_ALIVE_MILLISECONDS = 90_000
/** Mean rate limit of sent datagrams per second. At about 60 bytes each, they use half of the 13 KB per second that an instance may use for control traffic at the target size. */
export const MAXIMUM_DATAGRAMS_PER_SECOND = 100
/** Number of datagrams that may be sent in one burst: several messages to a hundred instances. */
export const MAXIMUM_DATAGRAM_BURST = 400
/** Minimum time between two log lines about datagrams that were not sent, in milliseconds. */
export const DATAGRAM_LOG_INTERVAL_MILLISECONDS = 5000
