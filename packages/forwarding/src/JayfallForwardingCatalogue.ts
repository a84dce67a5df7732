/**
 * What operators allow: routes, services, workspaces with their keys, and limits on callers.
 *
 * A catalogue is immutable; each new version replaces the whole. Times are milliseconds.
 */

/** Where a part of a route's requests goes. */
export interface RouteTarget {
  readonly service: string
  /** Relative to the other targets of the route. */
  readonly weight: number
}

export interface ForwardingRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly targets: readonly RouteTarget[]
  /** Whether answers are series of events. */
  readonly isStream: boolean
  /** Whether a request may run more than once, or a stream go on at another server. */
  readonly isRepeatable: boolean
  /** Servers that one request may be sent to. */
  readonly maximumAttempts: number
  /** The longest time that a request is kept without its final answer. */
  readonly timeout: number
  /** Answers, or first events, within this time count as timely. */
  readonly objective: number
  /** The longest pause between two events of a timely stream. */
  readonly eventGapObjective: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Models that the router may choose from, smallest first; empty when the caller names one. */
  readonly models: readonly string[]
  /** Whether requests need no key. */
  readonly isPublic: boolean
}

export interface ForwardedService {
  readonly name: string
  readonly healthPath: string
}

export interface ForwardingWorkspace {
  readonly name: string
  /** Replaces the route's priority when set. */
  readonly priority: number | undefined
}

/** What callers may send, and how long they may take. */
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
  /** By key; undefined when requests need no keys at all. */
  readonly workspacesByKey: ReadonlyMap<string, ForwardingWorkspace> | undefined
  readonly limits: CallerLimits
}

/** A backend server as it registered itself. */
export interface BackendServer {
  readonly id: string
  readonly service: string
  /** IP address and port. */
  readonly address: string
  readonly zone: string
  /** The version of its software. */
  readonly version: string
  readonly slots: number
  readonly isDraining: boolean
}

/** An operator's order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string
  readonly version: string
  /** Milliseconds from the order within which it is to end. */
  readonly period: number
  /** The revision of the order's row, which tells two orders of one service apart. */
  readonly revision: number
}
