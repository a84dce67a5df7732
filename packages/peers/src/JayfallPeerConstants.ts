/** Constants of the calls between entry instances. */

import { type ReadLimits } from '#jayfall/shared'

/** Path prefix of the procedures on the listener for other instances. */
export const PEER_PATH = '/trpc/'
/** Maximum size of a request body in bytes. */
export const MAXIMUM_PEER_BODY_BYTES = 8 * 1024 * 1024
/** Limits of one answer. */
export const PEER_ANSWER_LIMITS: ReadLimits = { bytes: MAXIMUM_PEER_BODY_BYTES, pieces: 65_536 }
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
/** Instances that a rumor is passed on to in one round. */
export const RUMOR_FANOUT = 3
/** Times of the rounds after an instance has heard of something, in milliseconds. Twelve messages leave one instance in ninety thousand without the news when one message in twenty is lost. */
export const RUMOR_ROUND_OFFSETS_MILLISECONDS: readonly number[] = [0, 200, 600, 1500]
/** Rumors that an instance passes on at the same time. The oldest ones are given up above it. */
export const MAXIMUM_ACTIVE_RUMORS = 64
/** Mean rate limit of rumor messages. At about 200 bytes each, they stay below the 13 KB per second that an instance may use for control traffic at the target size. */
export const MAXIMUM_RUMOR_MESSAGES_PER_SECOND = 50
/** Rumor messages that may be sent in one burst: several dozen rumors. */
export const MAXIMUM_RUMOR_BURST = 300
/** Availability zones in which reports of all instances are collected, beside the own one. */
export const COLLECTOR_ZONES = 2
/** Instances that are asked for the news after a start, and the times at which they are asked, in milliseconds. */
export const ASKED_PEERS = 3
export const ASK_OFFSETS_MILLISECONDS: readonly number[] = [0, 300, 1000]
