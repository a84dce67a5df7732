/**
 * The routers that jayfall is compared with.
 *
 * They send at once and queue at the servers, and repeat failed attempts on another server.
 * Equal servers are chosen at random, so that instances do not all start with the first.
 */

import { MAXIMUM_ATTEMPTS, NO_SERVER_RETRY_MILLISECONDS, Router, type AttemptEvent, type LoadReport, type RoutedRequest, type RoutedServer, type RoutingDecision, type WorkspaceShare } from '#jayfall/routing'
import { Table, type RandomSource } from '#jayfall/shared'

interface RequestRow {
  readonly request: RoutedRequest
  readonly attempts: readonly string[]
}

/** What all baselines share; they differ in the choice. */
export abstract class BaselineRouter extends Router {
  private readonly requests = new Table<RequestRow>()
  private readonly outstanding = new Map<string, number>()
  private readonly reports = new Map<string, LoadReport>()
  private servers: readonly RoutedServer[] = []

  constructor (protected readonly random: RandomSource) {
    super()
  }

  protected abstract choose (candidates: readonly RoutedServer[]): RoutedServer

  override submit (request: RoutedRequest): readonly RoutingDecision[] {
    this.requests.set(request.id, { request, attempts: [] })
    return [this.dispatch(request.id, 'first')]
  }

  override observe (event: AttemptEvent): readonly RoutingDecision[] {
    const row = this.requests.get(event.requestId)
    if (row === undefined || event.kind === 'first-token') return []
    const servers = event.kind === 'abandoned' ? row.attempts.slice(-1) : row.attempts.slice(event.attempt - 1, event.attempt)
    for (const server of servers) this.outstanding.set(server, this.outstandingOn(server) - 1)
    if (event.kind === 'failed' && event.retryable && row.attempts.length < MAXIMUM_ATTEMPTS) return [this.dispatch(event.requestId, 'retry')]
    this.requests.delete(event.requestId)
    return event.kind === 'failed' ? [{ kind: 'refuse', requestId: event.requestId, code: 'attempts_exhausted', retryAfter: NO_SERVER_RETRY_MILLISECONDS }] : []
  }

  override tick (): readonly RoutingDecision[] {
    return []
  }

  override reportLoad (server: string, report: LoadReport): void {
    this.reports.set(server, report)
  }

  override reportCache (_server: string, _stored: readonly string[], _evicted: readonly string[]): void {}

  override updateServers (servers: readonly RoutedServer[]): void {
    this.servers = servers
  }

  override updateShares (_shares: readonly WorkspaceShare[]): void {}

  protected outstandingOn (server: string): number {
    return this.outstanding.get(server) ?? 0
  }

  /** Running streams and, above a full server's, the waiting tokens. */
  protected reportedOn (server: string): number {
    const report = this.reports.get(server)
    return report === undefined ? 0 : report.active + report.queuedTokens
  }

  protected least (candidates: readonly RoutedServer[], load: (server: string) => number): RoutedServer {
    const lowest = Math.min(...candidates.map(({ id }) => load(id)))
    return this.random.pick(candidates.filter(({ id }) => load(id) === lowest)) ?? candidates[0]
  }

  private dispatch (requestId: string, reason: 'first' | 'retry'): RoutingDecision {
    const row = this.requests.get(requestId)
    const candidates = row === undefined ? [] : this.candidates(row)
    if (row === undefined || candidates.length === 0) {
      this.requests.delete(requestId)
      return { kind: 'refuse', requestId, code: 'no_server', retryAfter: NO_SERVER_RETRY_MILLISECONDS }
    }
    const server = this.choose(candidates)
    this.outstanding.set(server.id, this.outstandingOn(server.id) + 1)
    this.requests.set(requestId, { ...row, attempts: [...row.attempts, server.id] })
    return { kind: 'dispatch', requestId, attempt: row.attempts.length + 1, server: server.id, priority: 0, reason }
  }

  private candidates ({ request, attempts }: RequestRow): readonly RoutedServer[] {
    return this.servers.filter(server => !server.leaving && !attempts.includes(server.id) &&
      (request.target.kind === 'version' ? server.versions.includes(request.target.id) : server.service === request.target.id))
  }
}

export class RandomRouter extends BaselineRouter {
  protected override choose (candidates: readonly RoutedServer[]): RoutedServer {
    return this.random.pick(candidates) ?? candidates[0]
  }
}

export class RoundRobinRouter extends BaselineRouter {
  private next = this.random.integer(0, 1_000_000)

  protected override choose (candidates: readonly RoutedServer[]): RoutedServer {
    return candidates[this.next++ % candidates.length]
  }
}

export class LeastOutstandingRouter extends BaselineRouter {
  protected override choose (candidates: readonly RoutedServer[]): RoutedServer {
    return this.least(candidates, server => this.outstandingOn(server))
  }
}

export class LeastReportedRouter extends BaselineRouter {
  protected override choose (candidates: readonly RoutedServer[]): RoutedServer {
    return this.least(candidates, server => this.reportedOn(server))
  }
}

export class TwoChoicesRouter extends BaselineRouter {
  protected override choose (candidates: readonly RoutedServer[]): RoutedServer {
    return this.least(this.random.sample(candidates, 2), server => this.reportedOn(server))
  }
}
