/**
 * The operators' configuration: routes, services, workspaces with their keys, and limits for callers.
 *
 * A catalogue is immutable and is replaced as a whole by each new version. Times are in milliseconds.
 */

import { type ColdPolicy } from '#jayfall/capacity'
import { type TablePosition } from '#jayfall/store'

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string
  /** Weight relative to the other targets of the route. */
  readonly weight: number
}

export interface ForwardingRoute {
  readonly name: string
  readonly host: string
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string
  readonly targets: readonly RouteTarget[]
  /** Whether answers are streams of events. */
  readonly isStream: boolean
  /** Whether a request may run more than once, or a stream be resumed at another server. */
  readonly isRepeatable: boolean
  /** Maximum number of servers that one request is sent to. */
  readonly maximumAttempts: number
  /** Maximum time from the arrival of a request to the end of its answer. */
  readonly timeout: number
  /** Time within which an answer, or a first event, is timely. */
  readonly objective: number
  /** Maximum gap between two events of a timely stream. */
  readonly eventGapObjective: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Models that the router may choose from, smallest first; empty when the caller names the model. */
  readonly models: readonly string[]
  /** Whether requests need no key. */
  readonly isPublic: boolean
}

export interface ForwardedService {
  readonly name: string
  readonly healthPath: string
  /** What servers of the service can handle while they are cold; undefined when they are never cold. */
  readonly cold?: ColdPolicy
}

export interface ForwardingWorkspace {
  readonly name: string
  /** Replaces the route's priority when set. */
  readonly priority: number | undefined
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeout: number
  readonly idleTimeout: number
}

export interface ForwardingCatalogue {
  readonly version: number
  readonly routes: readonly ForwardingRoute[]
  readonly services: ReadonlyMap<string, ForwardedService>
  /** Workspaces by API key; undefined when no request needs a key. */
  readonly workspacesByKey: ReadonlyMap<string, ForwardingWorkspace> | undefined
  readonly limits: CallerLimits
}

/** A backend server as it registered itself. Its times are relative to when the entry was read. */
export interface BackendServer {
  readonly id: string
  readonly service: string
  /** IP address and port. */
  readonly address: string
  readonly zone: string
  /** The version of the server's software. */
  readonly version: string
  readonly slots: number
  readonly isDraining: boolean
  /** Unix milliseconds of the server's start, which tell its starts under one identifier apart; undefined when it names none. */
  readonly startedAt?: number
  /** Milliseconds for which the server stays cold, as of its entry; undefined when it does not say. */
  readonly coldTime?: number
}

/** An operator's order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string
  readonly version: string
  /** Milliseconds from the order within which the rollout is to end. */
  readonly period: number
  /** The order's row, and the latest era of the store in which it was read. Its revision distinguishes the orders of one service. */
  readonly position: TablePosition
}
