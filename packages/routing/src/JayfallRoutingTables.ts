/** The tables of a router, whose rows the routing systems read and replace. */

import { Table } from '#jayfall/shared'

import { type LoadReport, type RoutedRequest, type RoutedServer, type RoutingDecision } from './JayfallRouter'

/** Lanes of a pool by estimated work: short work has queues and servers apart from those of long work. */
export type Lane = 'short' | 'long'

/** Why an attempt is sent. */
export type DispatchReason = Extract<RoutingDecision, { kind: 'dispatch' }>['reason']

/** One attempt of a request on a server. Times are monotonic milliseconds. */
export interface AttemptRow {
  readonly requestId: string
  /** Number of the attempt within its request, from 1. */
  readonly number: number
  readonly server: string
  readonly dispatchedAt: number
  readonly firstTokenAt?: number
  readonly reason: DispatchReason
  /** Whether the first token did not arrive in time. */
  readonly isOverdue: boolean
}

/** A request that has not ended. */
export interface RequestRow {
  readonly request: RoutedRequest
  /** Identifier of the pool of servers that can take the request, see `poolId`. */
  readonly pool: string
  readonly lane: Lane
  /** Estimated work in output tokens. */
  readonly work: number
  /** Servers of all attempts so far. */
  readonly triedServers: readonly string[]
  /** Numbers of the attempts that have not ended. */
  readonly openAttempts: readonly number[]
  readonly hasFirstToken: boolean
}

/** State of a circuit breaker. */
export interface BreakerState {
  /** Number of consecutive failures. */
  readonly failures: number
  /** Monotonic time in milliseconds until which the breaker is open; one probe at a time is let through afterwards. */
  readonly openUntil: number
  /** Duration of the last opening in milliseconds; 0 when the breaker is closed. */
  readonly openDuration: number
  /** Whether a probe is open. */
  readonly isProbing: boolean
}

/** A server and what this router knows about it. Times are monotonic milliseconds. */
export interface ServerRow {
  readonly server: RoutedServer
  /** Number of this router's attempts on the server that have not ended. */
  readonly openAttempts: number
  /** Number of those attempts that are of the long lane. */
  readonly openLongAttempts: number
  readonly report?: LoadReport
  /** Average of the reported loads in slots. A single report is mostly outdated when it arrives. */
  readonly reportedLoad: number
  /** Number of this router's open attempts when the report was received. */
  readonly openAttemptsAtReport: number
  /** Observed time per token, as a multiple of the pool's average. */
  readonly slowness: number
  readonly slownessUpdatedAt: number
  /** Average of the recent waits of this router's short work at the server, in milliseconds. */
  readonly wait: number
  readonly waitUpdatedAt: number
  /** Breaker for failed attempts. */
  readonly failureBreaker: BreakerState
  /** Breaker for overdue first tokens. */
  readonly delayBreaker: BreakerState
}

/** All tables of one router. Prompt prefixes are in `PrefixMap`, workspaces in `Admission` and the fair queues. */
export interface RoutingTables {
  readonly requests: Table<RequestRow>
  /** Attempts that have not ended, by `attemptId`. */
  readonly attempts: Table<AttemptRow>
  /** Those of `attempts` that have no first token and that `OverdueSystem` still watches. */
  readonly awaitingFirstToken: Table<AttemptRow>
  readonly servers: Table<ServerRow>
}

export function createRoutingTables (): RoutingTables {
  return { requests: new Table(), attempts: new Table(), awaitingFirstToken: new Table(), servers: new Table() }
}

export function attemptId (requestId: string, attempt: number): string {
  return `${requestId}.${attempt}`
}

/** Returns the identifier of the pool of a request's target. */
export function poolId ({ target }: Pick<RoutedRequest, 'target'>): string {
  return `${target.kind}/${target.id}`
}

/** Returns the identifiers of the pools that a server belongs to. */
export function poolIdsOf ({ service, versions }: RoutedServer): readonly string[] {
  return [`service/${service}`, ...versions.map(version => `version/${version}`)]
}
