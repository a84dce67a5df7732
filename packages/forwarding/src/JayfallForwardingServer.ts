/** The HTTP server that callers connect to. */

import * as http from 'node:http'
import * as net from 'node:net'

import { findHeadFault, listenPersistently, rendezvousShare, type OpenListener } from '#jayfall/shared'

import { NO_PROGRESS, type PlanContext } from './JayfallAttemptPlan'
import { readRequestBody } from './JayfallBodyReader'
import { CallerAnswer } from './JayfallCallerAnswer'
import { ForwardedCall } from './JayfallForwardedCall'
import { type ForwardingRoute } from './JayfallForwardingCatalogue'
import { DEFAULT_RETRY_AFTER_MILLISECONDS, MAXIMUM_OPEN_RELAYED_REQUESTS, MAXIMUM_RELAY_BYTES, STARTING_RETRY_AFTER_MILLISECONDS, MAXIMUM_STARTING_WAIT_MILLISECONDS, STARTING_WAIT_PATIENCE_SHARE, STOPPING_RETRY_AFTER_MILLISECONDS } from './JayfallForwardingConstants'
import { type ForwardingContext } from './JayfallForwardingContext'
import { type ForwardingState } from './JayfallForwardingState'
import { decodeRelay, type RelayHead } from './JayfallRelayEnvelope'
import { identifyRequest } from './JayfallRequestIdentity'
import { UnsentAnswers } from './JayfallUnsentAnswers'

/** Limit on headers for the HTTP parser of Node.js. The catalogue's limit may change, so it is checked for each request. */
export const MAXIMUM_HEADER_BYTES = 128 * 1024
/** Number of pending connections that the operating system queues for a busy instance. */
export const LISTEN_BACKLOG = 1024

export class ForwardingServer {
  private readonly server: http.Server
  private isClosing = false
  private isClosed = false
  private openRequests = 0
  private openRelayedRequests = 0
  /** Answers that were handed to their connections and have not been sent completely. */
  private unsentAnswers = 0
  private readonly unsent: UnsentAnswers

  constructor (private readonly context: ForwardingContext, private readonly state: ForwardingState) {
    this.unsent = new UnsentAnswers(context.memory, context.clock, context.log, context.metrics)
    this.server = http.createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES, requestTimeout: 0, keepAlive: true }, (request, response) => {
      this.handle(request, response).catch(error => {
        this.context.log.error('request_crashed', { request: this.context.protocol.decodeCallerHeaders(request.headers).requestId, message: error instanceof Error ? error.stack : String(error) })
        response.destroy()
      })
    })
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.context.log.info('bad_request', { code: error.code, message: error.message })
      if (error.code?.startsWith('HPE_') === true) this.context.metrics.count('jayfall_forwarding_refusals_total', { code: error.code === 'HPE_HEADER_OVERFLOW' ? 'headers_too_large' : 'head_malformed' })
      if (socket.writable) socket.end(`HTTP/1.1 ${error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
      else socket.destroy()
    })
  }

  /** Number of requests whose final answer has not been sent completely yet. */
  get openRequestCount (): number {
    return this.openRequests
  }

  get port (): number {
    return (this.server.address() as net.AddressInfo).port
  }

  /**
   * Listens for callers; waits as long as another process uses the address.
   * @param openListener listens at the address already.
   */
  async listen (host: string, port: number, openListener?: OpenListener): Promise<void> {
    if (openListener !== undefined) await openListener.handOver(this.server, LISTEN_BACKLOG)
    else await listenPersistently(this.server, { host, port, backlog: LISTEN_BACKLOG }, error => this.context.log.warn('address_in_use', { for: 'callers', message: error.message }))
    this.server.on('error', error => this.context.log.error('listener_failed', { for: 'callers', message: error.message }))
  }

  /** From now on, each connection is closed after its next answer. */
  beginClosing (): void {
    this.isClosing = true
  }

  /** Stops accepting connections and closes those that are idle. */
  close (): void {
    this.isClosed = true
    // The method of the HTTP server closes idle connections too, and counts those as idle whose answer was ended but not sent.
    net.Server.prototype.close.call(this.server)
    this.closeIdleConnections()
  }

  /** Closes idle connections, unless that would cut an answer; called until the instance has stopped. */
  closeIdleConnections (): void {
    if (this.unsentAnswers === 0) this.server.closeIdleConnections()
  }

  destroyConnections (): void {
    this.unsent.resetAll()
    this.server.closeAllConnections()
  }

  private async handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const arrivedAt = this.context.clock.monotonic()
    this.countUntilClosed(request, response)
    const answer = new CallerAnswer(request, response, this.context.clock, this.context.pacer, this.unsent, () => this.isClosing)
    const fields = this.context.protocol.decodeCallerHeaders(request.headers)
    const requestId = fields.requestId
    if (findHeadFault(request.rawHeaders) !== undefined) {
      // It is not certain where the request ends.
      response.shouldKeepAlive = false
      return this.refuse(answer, requestId, 400, 'head_malformed')
    }
    if (!this.state.isReady) await this.state.waitUntilReady(Math.min(MAXIMUM_STARTING_WAIT_MILLISECONDS, (fields.patience ?? Infinity) * STARTING_WAIT_PATIENCE_SHARE))
    const { routes } = this.state
    if (routes === undefined || !this.state.isReady) return this.refuse(answer, requestId, 503, 'starting', STARTING_RETRY_AFTER_MILLISECONDS)
    // The request arrived on a connection that is about to be closed, and could not end before the process does.
    if (this.isClosed) return this.refuse(answer, requestId, 503, 'stopping', STOPPING_RETRY_AFTER_MILLISECONDS)
    const { limits, version } = routes.catalogue
    this.server.keepAliveTimeout = limits.idleTimeout
    this.server.headersTimeout = limits.headerTimeout
    if (countHeaderBytes(request.rawHeaders) > limits.headerBytes) return this.refuse(answer, requestId, 431, 'headers_too_large')
    if (requestId === undefined) return this.refuse(answer, requestId, 400, 'request_id_missing')
    const path = request.url ?? '/'
    const { method = 'GET', headers: { host = '' } } = request
    const decision = routes.find(host, path, fields.key)
    if (decision.kind === 'unknown_route') return this.refuse(answer, requestId, 404, 'unknown_route', undefined, version)
    if (decision.kind === 'unknown_key') return this.refuse(answer, requestId, 401, 'unknown_key', undefined, version)
    const held = answer.releaseWhenSent(this.context.memory.open())
    const body = await readRequestBody(request, { bytes: limits.bodyBytes, held }, this.context.pacer)
    if (body === 'too_large') return this.refuse(answer, requestId, 413, 'body_too_large')
    if (body === 'no_memory') return this.refuse(answer, requestId, 503, 'no_memory', DEFAULT_RETRY_AFTER_MILLISECONDS)
    if (body === 'broken') return
    if (this.isClosed) return this.refuse(answer, requestId, 503, 'stopping', STOPPING_RETRY_AFTER_MILLISECONDS)
    const { route, workspace } = decision
    const sharedSession = fields.session ?? fields.promptParts.at(-1)?.id
    const session = sharedSession ?? requestId
    const service = chooseService(route, session)
    this.context.retryBudget.recordRequest(service, arrivedAt)
    const plan: PlanContext = {
      ...this.context,
      route,
      service,
      session,
      isSharedSession: sharedSession !== undefined,
      fields,
      identity: identifyRequest({ method, host, path, workspace: workspace?.name, promptParts: fields.promptParts, body }),
      arrivedAt,
      relayedFrom: undefined,
      start: NO_PROGRESS,
      deadline: arrivedAt + Math.min(fields.patience ?? Infinity, route.timeout),
      priority: workspace?.priority ?? route.priority,
      isExcess: this.isExcess(service, workspace?.name, requestId, arrivedAt),
      lastDeliveredEventId: () => answer.lastEventId
    }
    const callerRequest = { requestId, method, path, rawHeaders: request.rawHeaders, body, workspace }
    await new ForwardedCall(this.context, plan, callerRequest, answer, version).run()
  }

  /**
   * Takes a request of another instance that cannot reach the servers itself.
   * @param isInstance whether the call comes from an instance of the deployment.
   */
  async handleRelay (request: http.IncomingMessage, response: http.ServerResponse, isInstance: boolean): Promise<void> {
    const { clock, log } = this.context
    const receivedAt = clock.monotonic()
    const answer = new CallerAnswer(request, response, clock, this.context.pacer, this.unsent, () => this.isClosing, true)
    if (!isInstance) {
      log.warn('relay_not_allowed', { address: request.socket.remoteAddress })
      return answer.sendRouterAnswer(403, {}, 'not an instance of this deployment\n')
    }
    const held = answer.releaseWhenSent(this.context.memory.open())
    const bytes = await readRequestBody(request, { bytes: MAXIMUM_RELAY_BYTES, held }, this.context.pacer)
    if (bytes === 'broken') return
    if (bytes === 'no_memory') return this.refuseRelay(answer, request, 'no_memory')
    const relayed = bytes === 'too_large' ? undefined : decodeRelay(bytes)
    if (relayed === undefined) return answer.sendRouterAnswer(400, {}, 'no relayed request\n')
    const { head, body } = relayed
    if (this.isClosed || !this.state.isReady || this.openRelayedRequests >= MAXIMUM_OPEN_RELAYED_REQUESTS) return this.refuseRelay(answer, request, this.isClosed ? 'stopping' : 'no_room', head.requestId)
    this.countUntilClosed(request, response)
    this.openRelayedRequests++
    const { requestId, method, path, rawHeaders, workspace, catalogueVersion } = head
    const callerRequest = { requestId, method, path, rawHeaders, body, workspace: workspace === undefined ? undefined : { name: workspace.name, priority: workspace.priority } }
    try {
      await new ForwardedCall(this.context, this.planRelayed(head, answer, receivedAt), callerRequest, answer, catalogueVersion).run()
    } finally {
      this.openRelayedRequests--
    }
  }

  /** Refuses a request of another instance, which may hand it to a third one. */
  private refuseRelay (answer: CallerAnswer, { socket }: http.IncomingMessage, reason: string, requestId?: string): void {
    this.context.log.info('relay_refused', { request: requestId, address: socket.remoteAddress, reason, open: this.openRelayedRequests })
    answer.sendRouterAnswer(503, {}, 'not taken\n', { kind: 'refused', code: 'unreached', retryAfter: DEFAULT_RETRY_AFTER_MILLISECONDS, isUnable: true })
  }

  private planRelayed (head: RelayHead, answer: CallerAnswer, receivedAt: number): PlanContext {
    const { requestId, route, service, session, isSharedSession, sessionVersion, fingerprint, fields, from, age, left, sentAttempts, mayHaveRun, triedServers, resumeAfter } = head
    const arrivedAt = receivedAt - age
    if (sessionVersion !== undefined) this.context.versionPolicy.recordRun(service, session, sessionVersion, receivedAt)
    return {
      ...this.context,
      route,
      service,
      session,
      isSharedSession,
      fields: { lastEventId: undefined, session: undefined, model: undefined, ...fields, requestId, patience: age + left, key: undefined },
      identity: { fingerprint, promptParts: fields.promptParts },
      arrivedAt,
      deadline: receivedAt + left,
      priority: head.workspace?.priority ?? route.priority,
      // The instance that the caller reached knows what its workspace usually sends.
      isExcess: false,
      relayedFrom: from,
      // The instance that the caller reached has taken a retry out of its budget where this is one.
      start: { sentAttempts, mayHaveRun, triedServers, isRetry: false },
      lastDeliveredEventId: () => answer.lastEventId ?? resumeAfter
    }
  }

  private isExcess (service: string, workspace: string | undefined, requestId: string, now: number): boolean {
    const { workOrders, workspaceShares, metrics } = this.context
    if (workspace === undefined || !workOrders.isPriorityFirst(service)) return false
    const isExcess = workspaceShares.record(service, workspace, rendezvousShare(requestId, workspace), now)
    if (isExcess) metrics.count('jayfall_capacity_excess_requests_total', { service, workspace })
    return isExcess
  }

  /** Counts the request as open until its answer was sent or its connection has ended. An answer that is only handed to the connection would end with the process. */
  private countUntilClosed ({ socket }: http.IncomingMessage, response: http.ServerResponse): void {
    this.openRequests++
    let [isEnded, isClosed] = [false, false]
    const onEnded = (): void => {
      isEnded = true
      this.unsentAnswers++
    }
    const onClosed = (): void => {
      // A connection that closes also closes its response, while it calls its own listeners.
      if (isClosed) return
      isClosed = true
      response.off('close', onClosed)
      response.off('prefinish', onEnded)
      socket.off('close', onClosed)
      this.openRequests--
      if (isEnded) this.unsentAnswers--
    }
    response.once('prefinish', onEnded)
    response.once('close', onClosed)
    // The response to a pipelined request has no connection of its own that could close it.
    socket.once('close', onClosed)
  }

  private refuse (answer: CallerAnswer, requestId: string | undefined, status: number, code: string, retryAfter?: number, catalogue?: number): void {
    this.context.metrics.count('jayfall_forwarding_refusals_total', { code })
    this.context.log.info('request_refused', { request: requestId, status, code, catalogue, retry_after_ms: retryAfter })
    answer.sendRouterAnswer(status, this.context.protocol.encodeRefusalHeaders(requestId, retryAfter), `${code}\n`)
  }
}

function countHeaderBytes (rawHeaders: readonly string[]): number {
  // Each name and value is followed by two bytes, which are ": " or the end of the line.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}

/** Chooses one of the route's services by weight. All requests of a session get the same service. */
export function chooseService ({ name, targets }: ForwardingRoute, session: string): string {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  let remainingWeight = rendezvousShare(session, name) * total
  for (const { service, weight } of targets) {
    remainingWeight -= weight
    if (remainingWeight < 0) return service
  }
  return targets[targets.length - 1].service
}
