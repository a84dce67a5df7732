/**
 * The requests that are in progress in this data thread, between the router's decisions
 * and the handlers that carry them out.
 */

import { type AttemptEvent, type RoutedRequest, type Router, type RoutingDecision } from '#jayfall/routing'

import { type WorkspaceDemand } from './JayfallControlLink'

/** Carries out the decisions about one request. */
export interface DecisionHandler {
  dispatch (decision: Extract<RoutingDecision, { kind: 'dispatch' }>): void
  cancel (attempt: number): void
  /** The instance stops before the request has ended. */
  interrupt (): void
  refuse (decision: Extract<RoutingDecision, { kind: 'refuse' }>): void
}

/** Passes requests and events to the router and its decisions to the handlers. */
export class RequestBook {
  private readonly handlers = new Map<string, DecisionHandler>()
  /** Work asked for since the last call of `takeDemands`, whether the router admits or refuses it. */
  private readonly demands = new Map<string, WorkspaceDemand>()

  constructor (readonly router: Router) {}

  open (request: RoutedRequest, handler: DecisionHandler): void {
    this.handlers.set(request.id, handler)
    this.countDemand(request)
    this.carryOut(this.router.submit(request))
  }

  observe (event: AttemptEvent): void {
    this.carryOut(this.router.observe(event))
  }

  /** Forgets a request that has its final answer. */
  close (requestId: string): void {
    this.handlers.delete(requestId)
  }

  /** Ends all requests because the instance stops. */
  interruptAll (): void {
    for (const handler of [...this.handlers.values()]) handler.interrupt()
  }

  tick (): void {
    this.carryOut(this.router.tick())
  }

  /** Returns the demands counted since the last call. */
  takeDemands (): readonly WorkspaceDemand[] {
    const demands = [...this.demands.values()]
    this.demands.clear()
    return demands
  }

  private countDemand ({ workspace, promptTokens, maximumOutputTokens }: RoutedRequest): void {
    const before = this.demands.get(workspace) ?? { workspace, requests: 0, tokens: 0 }
    this.demands.set(workspace, { workspace, requests: before.requests + 1, tokens: before.tokens + promptTokens + maximumOutputTokens })
  }

  private carryOut (decisions: readonly RoutingDecision[]): void {
    for (const decision of decisions) {
      const handler = this.handlers.get(decision.requestId)
      if (decision.kind === 'dispatch') handler?.dispatch(decision)
      else if (decision.kind === 'cancel') handler?.cancel(decision.attempt)
      else handler?.refuse(decision)
    }
  }
}
