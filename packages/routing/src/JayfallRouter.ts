/**
 * The interface between the data path and the routing decisions.
 *
 * The data path reports events; the router answers with decisions, which the data path
 * carries out. A router never touches a socket or a timer, so the same code runs in the
 * daemon and in benches.
 */

import { type WorkClass } from './JayfallWork'

/** A request that waits for, or has, attempts on backend servers. */
export interface RoutedRequest {
  readonly id: string
  readonly workspace: string
  /** What the request needs: a model version, or a plain service. */
  readonly target: { readonly kind: 'version' | 'service', readonly id: string }
  readonly workClass: WorkClass
  /** 0 for plain calls. */
  readonly promptTokens: number
  /** The most output tokens that the caller asked for. */
  readonly maximumOutputTokens: number
  /** Monotonic milliseconds. */
  readonly arrivedAt: number
  /** Monotonic milliseconds at which the answer loses its use. */
  readonly deadline: number
  /** Whether it may be sent twice (a hedge, or a retry with unknown outcome). */
  readonly repeatable: boolean
  /** The server that served the session's last request. */
  readonly sessionServer?: string
  /** Hashes of the block-aligned prompt prefixes, shortest first. */
  readonly prefixBlocks: readonly string[]
}

/** A backend server that requests can be sent to. */
export interface RoutedServer {
  readonly id: string
  readonly zone: string
  readonly service: string
  /** Versions that it runs; empty for plain services. */
  readonly versions: readonly string[]
  readonly leaving: boolean
}

/** A server's own report, late by the lag of its source. */
export interface LoadReport {
  readonly active: number
  readonly slots: number
  readonly queuedTokens: number
  /** Monotonic milliseconds at which it was received. */
  readonly receivedAt: number
}

/** The part of a workspace's limits that this router may admit. */
export interface WorkspaceShare {
  readonly workspace: string
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  readonly concurrentRequests: number
}

export type RefusalCode = 'limit_exceeded' | 'queue_full' | 'deadline_unreachable' | 'deadline_passed' | 'no_server' | 'attempts_exhausted'

/** What the data path is to do. */
export type RoutingDecision =
  | {
    readonly kind: 'dispatch'
    readonly requestId: string
    /** 1 for the first; part of the attempt's identifier. */
    readonly attempt: number
    readonly server: string
    /** Higher is served first by engines. */
    readonly priority: number
    readonly reason: 'first' | 'retry' | 'hedge'
  }
  | { readonly kind: 'cancel', readonly requestId: string, readonly attempt: number }
  | {
    readonly kind: 'refuse'
    readonly requestId: string
    readonly code: RefusalCode
    /** Milliseconds after which another try has a prospect. */
    readonly retryAfter: number
  }

/** How an attempt failed. */
export type AttemptFailure =
  /** Surely not received by the server. */
  | 'unsent'
  /** The server refused it (overload, leaving). */
  | 'refused'
  /** The server answered with an error, or the connection broke. */
  | 'broken'
  /** No progress within the limit. */
  | 'silent'

/** What happened to an attempt. */
export type AttemptEvent =
  | { readonly kind: 'first-token', readonly requestId: string, readonly attempt: number }
  | { readonly kind: 'finished', readonly requestId: string, readonly attempt: number, readonly outputTokens: number }
  | { readonly kind: 'failed', readonly requestId: string, readonly attempt: number, readonly failure: AttemptFailure, readonly retryable: boolean }
  /** The caller went away; all attempts of the request end. */
  | { readonly kind: 'abandoned', readonly requestId: string }

/** Decides where and when requests run. */
export abstract class Router {
  /** Takes a new request. */
  abstract submit (request: RoutedRequest): readonly RoutingDecision[]
  /** Takes an event of an attempt. */
  abstract observe (event: AttemptEvent): readonly RoutingDecision[]
  /** Runs the systems once; called every `TICK_INTERVAL_MILLISECONDS`. */
  abstract tick (): readonly RoutingDecision[]
  /** Takes a server's load report. */
  abstract reportLoad (server: string, report: LoadReport): void
  /** Takes the engines' cache events of a server: prefix blocks stored and evicted. */
  abstract reportCache (server: string, stored: readonly string[], evicted: readonly string[]): void
  /** Replaces the set of servers. */
  abstract updateServers (servers: readonly RoutedServer[]): void
  /** Replaces the shares of the workspaces' limits. */
  abstract updateShares (shares: readonly WorkspaceShare[]): void
}
