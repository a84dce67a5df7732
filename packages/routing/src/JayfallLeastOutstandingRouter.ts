/** A router that sends each request to the server with the fewest outstanding requests. */

import { Table } from '#jayfall/shared'

import { MAXIMUM_ATTEMPTS, NO_SERVER_RETRY_MILLISECONDS } from './JayfallRoutingConstants'
import { Router, type AttemptEvent, type LoadReport, type RoutedRequest, type RoutedServer, type RoutingDecision, type WorkspaceShare } from './JayfallRouter'

interface RequestRow {
  readonly request: RoutedRequest
  readonly attempts: readonly string[]
}

/** Sends at once, without admission, queues or hedges. */
export class LeastOutstandingRouter extends Router {
  private readonly requests = new Table<RequestRow>()
  private readonly outstanding = new Map<string, number>()
  private servers: readonly RoutedServer[] = []

  override submit (request: RoutedRequest): readonly RoutingDecision[] {
    this.requests.set(request.id, { request, attempts: [] })
    return [this.dispatch(request.id, 'first')]
  }

  override observe (event: AttemptEvent): readonly RoutingDecision[] {
    const row = this.requests.get(event.requestId)
    if (row === undefined || event.kind === 'first-token') return []
    const servers = event.kind === 'abandoned' ? row.attempts : row.attempts.slice(event.attempt - 1, event.attempt)
    for (const server of servers) this.outstanding.set(server, (this.outstanding.get(server) ?? 1) - 1)
    if (event.kind !== 'failed') {
      this.requests.delete(event.requestId)
      return []
    }
    if (event.retryable && row.attempts.length < MAXIMUM_ATTEMPTS) return [this.dispatch(event.requestId, 'retry')]
    return [this.refuse(event.requestId, 'attempts_exhausted')]
  }

  override tick (): readonly RoutingDecision[] {
    return []
  }

  override reportLoad (_server: string, _report: LoadReport): void {}

  override reportCache (_server: string, _stored: readonly string[], _evicted: readonly string[]): void {}

  override updateServers (servers: readonly RoutedServer[]): void {
    this.servers = servers
  }

  override updateShares (_shares: readonly WorkspaceShare[]): void {}

  private dispatch (requestId: string, reason: 'first' | 'retry'): RoutingDecision {
    const row = this.requests.get(requestId)
    const candidates = row === undefined ? [] : this.candidates(row)
    if (row === undefined || candidates.length === 0) return this.refuse(requestId, 'no_server')
    const server = candidates.reduce((best, other) => this.load(other) < this.load(best) ? other : best)
    this.outstanding.set(server.id, this.load(server) + 1)
    this.requests.set(requestId, { ...row, attempts: [...row.attempts, server.id] })
    return { kind: 'dispatch', requestId, attempt: row.attempts.length + 1, server: server.id, priority: 0, reason }
  }

  private candidates ({ request, attempts }: RequestRow): readonly RoutedServer[] {
    return this.servers.filter(server => !server.leaving && !attempts.includes(server.id) &&
      (request.target.kind === 'version' ? server.versions.includes(request.target.id) : server.service === request.target.id))
  }

  private load (server: RoutedServer): number {
    return this.outstanding.get(server.id) ?? 0
  }

  private refuse (requestId: string, code: 'no_server' | 'attempts_exhausted'): RoutingDecision {
    this.requests.delete(requestId)
    return { kind: 'refuse', requestId, code, retryAfter: NO_SERVER_RETRY_MILLISECONDS }
  }
}
