/** The address that callers connect to. */

import * as http from 'node:http'
import { type AddressInfo } from 'node:net'

import { rendezvousShare } from '#jayfall/shared'

import { type PlanContext } from './JayfallAttemptPlan'
import { CallerAnswer } from './JayfallCallerAnswer'
import { ForwardedCall } from './JayfallForwardedCall'
import { type ForwardingRoute } from './JayfallForwardingCatalogue'
import { STARTING_RETRY_AFTER, STARTING_WAIT, STARTING_WAIT_SHARE, STOPPING_RETRY_AFTER } from './JayfallForwardingConstants'
import { type ForwardingContext } from './JayfallForwardingContext'
import { type ForwardingState } from './JayfallForwardingState'

/** Node.js's own limit on headers; the catalogue's is checked for each request, since it may change. */
const MAXIMUM_HEADER_BYTES = 128 * 1024
/** The balancer keeps this many opening connections for an instance that is busy. */
const LISTEN_BACKLOG = 1024

export class ForwardingServer {
  private readonly server: http.Server
  private closing = false
  private closed = false
  private openCalls = 0

  constructor (private readonly context: ForwardingContext, private readonly state: ForwardingState) {
    this.server = http.createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES, requestTimeout: 0, keepAlive: true }, (request, response) => {
      this.take(request, response).catch(error => {
        this.context.log.error('request_crashed', { request: this.context.protocol.decodeCallerHeaders(request.headers).requestId, message: error instanceof Error ? error.stack : String(error) })
        response.destroy()
      })
    })
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.context.log.info('bad_request', { code: error.code, message: error.message })
      if (socket.writable) socket.end(`HTTP/1.1 ${error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
      else socket.destroy()
    })
  }

  /** Requests that have no final answer yet. */
  get open (): number {
    return this.openCalls
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ host, port, backlog: LISTEN_BACKLOG }, resolve)
    })
  }

  /** From now on, connections end with their next answer. */
  beginClosing (): void {
    this.closing = true
  }

  /** Stops accepting connections and closes those that are idle. */
  close (): void {
    this.closed = true
    this.server.close()
    this.server.closeIdleConnections()
  }

  destroyConnections (): void {
    this.server.closeAllConnections()
  }

  private async take (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const arrivedAt = this.context.clock.monotonic()
    const answer = new CallerAnswer(request, response, this.context.clock, () => this.closing)
    const fields = this.context.protocol.decodeCallerHeaders(request.headers)
    const requestId = fields.requestId
    if (!this.state.isReady) await this.state.waitUntilReady(Math.min(STARTING_WAIT, (fields.patience ?? Infinity) * STARTING_WAIT_SHARE))
    const { routes } = this.state
    if (routes === undefined || !this.state.isReady) return this.refuse(answer, requestId, 503, 'starting', STARTING_RETRY_AFTER)
    // The process ends before such a request could; it comes from a connection that is about to be closed.
    if (this.closed) return this.refuse(answer, requestId, 503, 'stopping', STOPPING_RETRY_AFTER)
    const { limits, version } = routes.catalogue
    this.server.keepAliveTimeout = limits.idleTimeout
    this.server.headersTimeout = limits.headerTimeout
    if (headerBytes(request.rawHeaders) > limits.headerBytes) return this.refuse(answer, requestId, 431, 'headers_too_large')
    if (requestId === undefined) return this.refuse(answer, requestId, 400, 'request_id_missing')
    const path = request.url ?? '/'
    const decision = routes.find(request.headers.host ?? '', path, fields.key)
    if (decision.kind === 'unknown_route') return this.refuse(answer, requestId, 404, 'unknown_route', undefined, version)
    if (decision.kind === 'unknown_key') return this.refuse(answer, requestId, 401, 'unknown_key', undefined, version)
    this.openCalls++
    try {
      const body = await readBody(request, limits.bodyBytes)
      if (body === 'too_large') return this.refuse(answer, requestId, 413, 'body_too_large')
      if (body === 'broken') return
      const { route, workspace } = decision
      const sharedSession = fields.session ?? fields.promptParts.at(-1)?.id
      const session = sharedSession ?? requestId
      const service = chooseTarget(route, session)
      this.context.budget.noteRequest(service, arrivedAt)
      const plan: PlanContext = {
        ...this.context,
        route,
        service,
        session,
        isSession: sharedSession !== undefined,
        fields,
        arrivedAt,
        deadline: arrivedAt + Math.min(fields.patience ?? Infinity, route.timeout),
        lastDelivered: () => answer.lastEventId
      }
      const call = { requestId, method: request.method ?? 'GET', path, rawHeaders: request.rawHeaders, body, workspace }
      await new ForwardedCall(this.context, plan, call, answer, version).run()
    } finally {
      this.openCalls--
    }
  }

  private refuse (answer: CallerAnswer, requestId: string | undefined, status: number, code: string, retryAfter?: number, catalogue?: number): void {
    this.context.metrics.count('jayfall_forwarding_refusals_total', { code })
    this.context.log.info('request_refused', { request: requestId, status, code, catalogue, retry_after_ms: retryAfter })
    answer.sendOwn(status, this.context.protocol.encodeRefusalHeaders(requestId, retryAfter), `${code}\n`)
  }
}

function headerBytes (rawHeaders: readonly string[]): number {
  // Each name and value is followed by two bytes: ": " or the line's end.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}

async function readBody (request: http.IncomingMessage, limit: number): Promise<Buffer | 'too_large' | 'broken'> {
  const chunks: Buffer[] = []
  let length = 0
  try {
    // Ending the loop early must not end the connection, which still has to carry the answer.
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      length += (chunk as Buffer).length
      if (length > limit) return 'too_large'
      chunks.push(chunk as Buffer)
    }
  } catch {
    // The caller left before its request was whole, so there is nobody to answer.
    return 'broken'
  }
  return request.complete ? Buffer.concat(chunks) : 'broken'
}

/** Chooses among the route's services by weight; one session stays with one service. */
export function chooseTarget ({ name, targets }: ForwardingRoute, session: string): string {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  let point = rendezvousShare(session, name) * total
  for (const { service, weight } of targets) {
    point -= weight
    if (point < 0) return service
  }
  return targets[targets.length - 1].service
}
