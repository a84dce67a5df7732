/**
 * Orders the work of a service: computes the priority that an engine gives to a prompt.
 *
 * When an engine has more prompts than slots, it admits those of high priority first, and interrupts running prompts of
 * a lower one, which are then read again.
 *
 * Operators choose the order of a service by its routes. Where no route has a longer objective than a less urgent one,
 * the operators' priority decides first. Otherwise a less urgent route needs its first events sooner than a more urgent
 * one, so short prompts go before long ones, and the priority orders prompts of similar length.
 */

import { LANE_OBJECTIVE_RATIO, LONG_PREFILL_MILLISECONDS, LOWEST_OPERATOR_PRIORITY, OBJECTIVE_TOLERANCE, SHORT_PREFILL_MILLISECONDS } from './JayfallCapacityConstants'

export interface PromptToRank {
  /** Estimated milliseconds of prefill. */
  readonly prefillTime: number
  /** The priority set by operators; 0 is the most urgent. */
  readonly operatorPriority: number
  /** Whether the prompt resumes a stream that has begun, so that the caller notices the delay as a pause. */
  readonly isResumed: boolean
  /** Whether its workspace sends more than its usual share. */
  readonly isExcess: boolean
}

/** What the routes of a service say about its work. */
export interface RouteUrgency {
  /** The services that the route sends requests to. */
  readonly services: readonly string[]
  readonly priority: number
  /** Milliseconds within which a first event is timely. */
  readonly objective: number
}

/** What the routes of a service that is ordered by priority have in common. */
interface ServiceUrgency {
  /** The most urgent priority. */
  readonly highestPriority: number
  /** Milliseconds. */
  readonly shortestObjective: number
}

/** The order of the work of one service. */
export abstract class WorkOrder {
  /** Returns the priority for the engine; 0 is the most urgent. */
  abstract rank (prompt: PromptToRank): number
}

/**
 * A short prompt delays those behind it only a little, but may wait long behind a long one. So the length of a prompt
 * decides before the priority set by operators.
 */
class LengthFirstOrder extends WorkOrder {
  override rank ({ prefillTime, operatorPriority, isResumed }: PromptToRank): number {
    const lengthClass = isResumed || prefillTime < SHORT_PREFILL_MILLISECONDS ? 0 : prefillTime < LONG_PREFILL_MILLISECONDS ? 1 : 2
    return lengthClass * (LOWEST_OPERATOR_PRIORITY + 1) + boundPriority(operatorPriority)
  }
}

/**
 * Prompts of one priority have one rank whatever their length, because an interrupted long prompt is read again as a
 * whole. Resumed streams come before them, and what a workspace sends beyond its usual share after them.
 */
class PriorityFirstOrder extends WorkOrder {
  override rank ({ operatorPriority, isResumed, isExcess }: PromptToRank): number {
    return boundPriority(operatorPriority) * (LOWEST_OPERATOR_PRIORITY + 1) + (isResumed ? 0 : isExcess ? 2 : 1)
  }
}

const LENGTH_FIRST = new LengthFirstOrder()
const PRIORITY_FIRST = new PriorityFirstOrder()

/** The order of each service, by the routes in force. */
export class WorkOrders {
  /** The services ordered by priority. */
  private readonly urgencies = new Map<string, ServiceUrgency>()

  setRoutes (routes: readonly RouteUrgency[]): void {
    this.urgencies.clear()
    for (const service of new Set(routes.flatMap(({ services }) => services))) {
      const ofService = routes.filter(({ services }) => services.includes(service))
      if (!isOrderedByPriority(ofService)) continue
      this.urgencies.set(service, {
        highestPriority: Math.min(...ofService.map(({ priority }) => boundPriority(priority))),
        shortestObjective: Math.min(...ofService.map(({ objective }) => objective))
      })
    }
  }

  of (service: string): WorkOrder {
    return this.isPriorityFirst(service) ? PRIORITY_FIRST : LENGTH_FIRST
  }

  get priorityFirstServices (): Iterable<string> {
    return this.urgencies.keys()
  }

  /** Whether a request comes after others of the service and has a longer objective than these, so that it can wait where it does not hold them up. */
  mayWaitForOthers (service: string, priority: number, objective: number): boolean {
    const urgency = this.urgencies.get(service)
    return urgency !== undefined && boundPriority(priority) > urgency.highestPriority && objective >= urgency.shortestObjective * LANE_OBJECTIVE_RATIO
  }

  /** Whether instances share the load reports of all services: they do where callers of some service compete by priority. */
  get areLoadsShared (): boolean {
    return this.urgencies.size > 0
  }

  /** Whether the operators' priority decides first who is served by the service. */
  isPriorityFirst (service: string): boolean {
    return this.urgencies.has(service)
  }
}

function isOrderedByPriority (routes: readonly RouteUrgency[]): boolean {
  const hasOrder = new Set(routes.map(({ priority }) => priority)).size > 1
  return hasOrder && routes.every(route => routes.every(other => route.priority >= other.priority || route.objective <= other.objective * OBJECTIVE_TOLERANCE))
}

/** Priorities out of range count as the nearest one that engines distinguish. */
export function boundPriority (priority: number): number {
  return Math.min(LOWEST_OPERATOR_PRIORITY, Math.max(0, Math.floor(priority) || 0))
}
