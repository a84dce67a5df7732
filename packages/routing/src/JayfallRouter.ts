/**
 * The interface between the data path and the routing decisions.
 *
 * The data path reports events; the router returns decisions, which the data path
 * carries out. A router uses no socket and no timer, so the same code runs in the
 * daemon and in benches.
 */

import { type WorkClass } from './JayfallWorkClass'

/** A request that waits for, or has, attempts on backend servers. */
export interface RoutedRequest {
  readonly id: string
  readonly workspace: string
  /** What the request needs: a model version, or a plain service. */
  readonly target: { readonly kind: 'version' | 'service', readonly id: string }
  readonly workClass: WorkClass
  /** Number of prompt tokens; 0 for plain calls. */
  readonly promptTokens: number
  /** Greatest number of output tokens that the caller asked for. */
  readonly maximumOutputTokens: number
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number
  /** Monotonic time in milliseconds after which the answer is of no use. */
  readonly deadline: number
  /** Whether the request may be sent twice, as by a hedge or by a retry after an unknown outcome. */
  readonly repeatable: boolean
  /** The server that served the session's previous request. */
  readonly sessionServer?: string
  /** Hashes of the block-aligned prefixes of the prompt, shortest first. */
  readonly prefixBlocks: readonly string[]
}

/** A backend server that requests can be sent to. */
export interface RoutedServer {
  readonly id: string
  readonly zone: string
  readonly service: string
  /** Versions that the server runs; empty for plain services. */
  readonly versions: readonly string[]
  readonly leaving: boolean
}

/** A server's report of its own load, delayed by the lag of its source. */
export interface LoadReport {
  /** Number of running streams. */
  readonly active: number
  /** Number of streams that can run at the same time. */
  readonly slots: number
  /** Prompt and output tokens of the waiting streams. */
  readonly queuedTokens: number
  /** Monotonic time at which the report was received, in milliseconds. */
  readonly receivedAt: number
}

/** The part of a workspace's limits that this router may admit. */
export interface WorkspaceShare {
  readonly workspace: string
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  readonly concurrentRequests: number
}

/** Why a request is refused. */
export type RefusalCode = 'limit_exceeded' | 'queue_full' | 'deadline_unreachable' | 'deadline_passed' | 'no_server' | 'attempts_exhausted'

/** What the data path must do. */
export type RoutingDecision =
  | {
    readonly kind: 'dispatch'
    readonly requestId: string
    /** Number of the attempt within its request, from 1; part of the attempt's identifier. */
    readonly attempt: number
    readonly server: string
    /** Priority at the engine; higher values are served first. */
    readonly priority: number
    readonly reason: 'first' | 'retry' | 'hedge'
  }
  | { readonly kind: 'cancel', readonly requestId: string, readonly attempt: number }
  | {
    readonly kind: 'refuse'
    readonly requestId: string
    readonly code: RefusalCode
    /** Milliseconds after which another try may succeed. */
    readonly retryAfter: number
  }

/** How an attempt failed. */
export type AttemptFailure =
  /** The server certainly did not receive it. */
  | 'unsent'
  /** The server refused it because of overload or because it is leaving. */
  | 'refused'
  /** The server answered with an error, or the connection broke. */
  | 'broken'
  /** The server made no progress within the time limit. */
  | 'silent'

/** What happened to an attempt. */
export type AttemptEvent =
  | { readonly kind: 'first-token', readonly requestId: string, readonly attempt: number }
  | { readonly kind: 'finished', readonly requestId: string, readonly attempt: number, readonly outputTokens: number }
  | { readonly kind: 'failed', readonly requestId: string, readonly attempt: number, readonly failure: AttemptFailure, readonly retryable: boolean }
  /** The caller disconnected; all attempts of the request end. */
  | { readonly kind: 'abandoned', readonly requestId: string }

/** Decides where and when requests run. */
export abstract class Router {
  /** Accepts or refuses a new request. */
  abstract submit (request: RoutedRequest): readonly RoutingDecision[]
  /** Records an event of an attempt. */
  abstract observe (event: AttemptEvent): readonly RoutingDecision[]
  /** Runs the systems once; called every `TICK_INTERVAL_MILLISECONDS`. */
  abstract tick (): readonly RoutingDecision[]
  /** Records a server's load report. */
  abstract reportLoad (server: string, report: LoadReport): void
  /** Records the cache events of a server's engine: the prefix blocks that were stored and evicted. */
  abstract reportCache (server: string, stored: readonly string[], evicted: readonly string[]): void
  /** Replaces the set of servers. */
  abstract updateServers (servers: readonly RoutedServer[]): void
  /** Replaces this router's shares of the workspaces' limits. */
  abstract updateShares (shares: readonly WorkspaceShare[]): void
}
