/** The rows that the routing systems read and replace. */

import { Table } from '#jayfall/shared'

import { type LoadReport, type RoutedRequest, type RoutedServer, type RoutingDecision } from './JayfallRouter'

/** Short work is kept apart from long work. */
export type Lane = 'short' | 'long'

export type DispatchReason = Extract<RoutingDecision, { kind: 'dispatch' }>['reason']

export interface AttemptRow {
  readonly requestId: string
  readonly number: number
  readonly server: string
  readonly dispatchedAt: number
  readonly firstTokenAt?: number
  readonly reason: DispatchReason
  /** Whether the first token did not come in time. */
  readonly isOverdue: boolean
}

export interface RequestRow {
  readonly request: RoutedRequest
  /** The identifier of the servers that can take it, see `poolId`. */
  readonly pool: string
  readonly lane: Lane
  /** Estimated work in output tokens. */
  readonly work: number
  /** Servers of all attempts so far. */
  readonly tried: readonly string[]
  /** Attempts that have not ended. */
  readonly open: readonly number[]
  readonly hasFirstToken: boolean
}

export interface BreakerState {
  readonly failures: number
  /** Monotonic milliseconds until which the breaker is open; probes are let through afterwards. */
  readonly openUntil: number
  /** Milliseconds of the last opening; 0 when closed. */
  readonly openFor: number
  readonly isProbing: boolean
}

export interface ServerRow {
  readonly server: RoutedServer
  /** Own attempts that have not ended. */
  readonly open: number
  readonly openLong: number
  readonly report?: LoadReport
  /** Average of the reported loads in slots: single reports are mostly past by the time they arrive. */
  readonly reportedLoad: number
  /** Own open attempts when the report was received. */
  readonly openAtReport: number
  /** Observed time for a token, as a multiple of the pool's. */
  readonly slowness: number
  readonly slownessAt: number
  /** Recent waits of own short work at the server, in milliseconds. */
  readonly wait: number
  readonly waitAt: number
  /** Failures of requests. */
  readonly breaker: BreakerState
  /** Overdue first tokens. */
  readonly delay: BreakerState
}

/** All tables of one router. Sessions are in `PrefixMap`, workspaces in `Admission` and the fair queues. */
export interface RoutingTables {
  readonly requests: Table<RequestRow>
  /** By `attemptId`; only attempts that have not ended. */
  readonly attempts: Table<AttemptRow>
  /** Those of `attempts` that have no first token and are not overdue. */
  readonly awaiting: Table<AttemptRow>
  readonly servers: Table<ServerRow>
}

export function createRoutingTables (): RoutingTables {
  return { requests: new Table(), attempts: new Table(), awaiting: new Table(), servers: new Table() }
}

export function attemptId (requestId: string, attempt: number): string {
  return `${requestId}.${attempt}`
}

/** The pool of a request's target. */
export function poolId ({ target }: Pick<RoutedRequest, 'target'>): string {
  return `${target.kind}/${target.id}`
}

/** The pools that a server belongs to. */
export function poolsOf ({ service, versions }: RoutedServer): readonly string[] {
  return [`service/${service}`, ...versions.map(version => `version/${version}`)]
}
