/**
 * The requests that are in progress in one data thread. It connects the router, which makes decisions, with the request
 * handlers, which execute them.
 */

import { type AttemptEvent, type RoutedRequest, type Router, type RoutingDecision } from '#jayfall/routing'

import { type WorkspaceDemand } from './JayfallControlLink'

/** Executes the router's decisions about one request. */
export interface RoutingDecisionHandler {
  dispatch (decision: Extract<RoutingDecision, { kind: 'dispatch' }>): void
  cancel (attempt: number): void
  /** Ends the request because the instance stops. */
  interrupt (): void
  refuse (decision: Extract<RoutingDecision, { kind: 'refuse' }>): void
}

/** Passes requests and attempt events to the router, and the resulting decisions to the handlers. */
export class RequestDispatcher {
  private readonly handlers = new Map<string, RoutingDecisionHandler>()
  /** Requested work since the last call of `takeDemands`, including work that the router refuses. */
  private readonly demands = new Map<string, WorkspaceDemand>()

  constructor (readonly router: Router) {}

  /** Submits a new request; `handler` receives the decisions about it until `close` is called. */
  submit (request: RoutedRequest, handler: RoutingDecisionHandler): void {
    this.handlers.set(request.id, handler)
    this.countDemand(request)
    this.executeDecisions(this.router.submit(request))
  }

  observe (event: AttemptEvent): void {
    this.executeDecisions(this.router.observe(event))
  }

  /** Stops passing decisions about a request whose response is complete. */
  close (requestId: string): void {
    this.handlers.delete(requestId)
  }

  /** Ends all requests because the instance stops. */
  interruptAll (): void {
    for (const handler of [...this.handlers.values()]) handler.interrupt()
  }

  /** Executes the decisions that depend on time. */
  tick (): void {
    this.executeDecisions(this.router.tick())
  }

  /** Returns the requested work since the last call, by workspace. */
  takeDemands (): readonly WorkspaceDemand[] {
    const demands = [...this.demands.values()]
    this.demands.clear()
    return demands
  }

  private countDemand ({ workspace, promptTokens, maximumOutputTokens }: RoutedRequest): void {
    const previous = this.demands.get(workspace) ?? { workspace, requests: 0, tokens: 0 }
    this.demands.set(workspace, { workspace, requests: previous.requests + 1, tokens: previous.tokens + promptTokens + maximumOutputTokens })
  }

  private executeDecisions (decisions: readonly RoutingDecision[]): void {
    for (const decision of decisions) {
      const handler = this.handlers.get(decision.requestId)
      if (decision.kind === 'dispatch') handler?.dispatch(decision)
      else if (decision.kind === 'cancel') handler?.cancel(decision.attempt)
      else handler?.refuse(decision)
    }
  }
}
