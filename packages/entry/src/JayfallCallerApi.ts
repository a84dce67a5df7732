/** The HTTP server for callers: its routes, limits and error responses. */

import { randomUUID } from 'node:crypto'
import * as http from 'node:http'

import Hapi, { type Lifecycle, type Request, type ResponseObject, type ResponseToolkit, type Server } from '@hapi/hapi'
import { isVersionAllowed } from '#jayfall/catalogue'
import { findHeadFault } from '#jayfall/shared'

import { ApiError, toApiError } from './JayfallApiError'
import { authenticateCaller } from './JayfallAuthentication'
import { handleChatCompletion } from './JayfallChatCompletions'
import { registerConnectionGuard } from './JayfallConnectionGuard'
import { type DataContext } from './JayfallDataContext'
import { REFUSALS_METRIC } from './JayfallEntryConstants'
import { registerOperatorRoutes } from './JayfallOperatorRoutes'
import { headerValue, requestState } from './JayfallRequestFields'
import { registerRequestTracing } from './JayfallRequestTracing'
import { handleOutcomeQuery, handleServiceCall } from './JayfallServiceCall'
import { handleStreamResumption } from './JayfallStreamResumption'

/** Limits of the HTTP server for callers; times are in milliseconds, sizes in bytes. */
export interface CallerApiLimits {
  readonly bodyLimit: number
  readonly headerTimeout: number
  readonly bodyTimeout: number
  readonly connectionLimit: number
}

/** State of the instance: `starting` until it has a catalogue, `leaving` once it shuts down or is marked in the catalogue. */
export type Readiness = 'starting' | 'serving' | 'leaving'

/** An address, or the file descriptor of a socket that is already listening. */
export type ListenTarget = { readonly host: string, readonly port: number } | { readonly fd: number }

/** The HTTP server for callers in one data thread. */
export class CallerApi {
  private readonly listener: http.Server
  private readonly server: Server
  private openRequestCount = 0

  constructor (context: DataContext, limits: CallerApiLimits, private readonly readiness: () => Readiness) {
    // hapi reports a body timeout only after the body has ended, so the listener limits the time of the whole request.
    const requestTimeout = limits.headerTimeout + limits.bodyTimeout
    this.listener = http.createServer({ headersTimeout: limits.headerTimeout, requestTimeout, connectionsCheckingInterval: 1000 })
    this.listener.maxConnections = limits.connectionLimit
    for (const event of ['request', 'checkContinue']) {
      this.listener.prependListener(event, (_request: unknown, response: http.ServerResponse) => this.trackRequest(response))
    }
    this.server = Hapi.server({
      listener: this.listener,
      autoListen: false,
      routes: { payload: { maxBytes: limits.bodyLimit, timeout: false, allow: 'application/json' } }
    })
    this.server.ext('onRequest', (request, toolkit) => {
      const fault = findHeadFault(request.raw.req.rawHeaders)
      if (fault !== undefined) throw new ApiError('head_malformed', `the request is not valid HTTP/1.1: ${fault}`)
      return toolkit.continue
    })
    registerRoutes(this.server, context, readiness)
    registerOperatorRoutes(this.server, context)
    registerRequestTracing(this.server, context)
    this.server.ext('onPreResponse', (request, toolkit) => renderError(context, request, toolkit))
    registerConnectionGuard(this.listener, context.metrics, context.log)
  }

  /** Number of requests whose responses are not complete. */
  get openRequests (): number {
    return this.openRequestCount
  }

  async listen (target: ListenTarget): Promise<void> {
    await this.server.start()
    await new Promise<void>((resolve, reject) => {
      this.listener.once('error', reject)
      this.listener.listen(target, resolve)
    })
    await waitForEventLoopTurns(EVENT_LOOP_TURNS_AFTER_LISTEN)
  }

  /** Counts the open connections of callers. */
  async countConnections (): Promise<number> {
    return await new Promise(resolve => { this.listener.getConnections((_error, count) => resolve(count)) })
  }

  /** File descriptor of the listening socket. */
  get descriptor (): number {
    // Node.js has no public accessor for the descriptor.
    return (this.listener as unknown as { readonly _handle: { readonly fd: number } })._handle.fd
  }

  /** Stops accepting connections and closes the idle ones; may be called repeatedly. */
  drain (): void {
    if (this.listener.listening) this.listener.close()
    this.listener.closeIdleConnections()
  }

  async stop (): Promise<void> {
    this.listener.closeAllConnections()
    await this.server.stop({ timeout: 0 })
  }

  private trackRequest (response: http.ServerResponse): void {
    this.openRequestCount++
    // A leaving instance closes each connection after its response, so that no further request is sent on a connection that is about to close.
    if (this.readiness() === 'leaving') response.shouldKeepAlive = false
    response.once('close', () => { this.openRequestCount-- })
    response.once('finish', () => {
      if (this.readiness() === 'leaving') response.socket?.end()
    })
  }
}

/**
 * Turns of the event loop after which the loop has registered a new listening socket for polling. Threads share
 * the descriptor of the socket: when another thread closes it before the registration, the event loop aborts the process.
 */
const EVENT_LOOP_TURNS_AFTER_LISTEN = 2

async function waitForEventLoopTurns (turns: number): Promise<void> {
  for (let turn = 0; turn < turns; turn++) await new Promise(resolve => setImmediate(resolve))
}

function registerRoutes (server: Server, context: DataContext, readiness: () => Readiness): void {
  const requireCatalogue = <Result>(handler: (context: DataContext, request: Request, toolkit: ResponseToolkit) => Result) =>
    (request: Request, toolkit: ResponseToolkit): Result => {
      if (readiness() === 'starting') throw new ApiError('instance_starting', 'the instance has no catalogue yet', { retryAfter: 1000 })
      return handler(context, request, toolkit)
    }
  server.route([
    { method: 'POST', path: '/v1/chat/completions', handler: requireCatalogue(handleChatCompletion) },
    { method: 'GET', path: '/v1/streams/resume', handler: requireCatalogue(handleStreamResumption) },
    { method: 'GET', path: '/v1/models', handler: requireCatalogue(listModels) },
    { method: ['GET', 'POST', 'PUT', 'DELETE'], path: '/v1/services/{service}/{call}', handler: requireCatalogue(handleServiceCall) },
    { method: 'GET', path: '/v1/requests/{key}', handler: requireCatalogue(handleOutcomeQuery) },
    { method: 'GET', path: '/healthz', handler: () => ({ state: readiness() }) },
    {
      method: 'GET',
      path: '/readyz',
      handler: (_request, toolkit) => toolkit.response({ state: readiness(), revision: context.catalogue.revision }).code(readiness() === 'serving' ? 200 : 503)
    }
  ])
}

function listModels (context: DataContext, request: Request): object {
  const workspace = authenticateCaller(context.catalogue, headerValue(request, 'authorization'))
  const versions = context.catalogue.all('version').filter(version => version.state !== 'withdrawn' && isVersionAllowed(context.catalogue, workspace, version.id))
  const cascades = context.catalogue.all('cascade').filter(({ id }) => workspace.allowed.includes(id))
  const names = new Map([...cascades, ...versions].map(({ id, owner }) => [id, owner]))
  for (const { model, owner } of versions) names.set(model, owner)
  return { object: 'list', data: [...names].map(([id, owner]) => ({ id, object: 'model', created: 0, owned_by: owner })) }
}

/** Renders every error as the JSON body of `ApiErrorBody`, and logs and counts it. */
function renderError (context: DataContext, request: Request, toolkit: ResponseToolkit): Lifecycle.ReturnValueTypes {
  const response = request.response as ResponseObject | Error
  if (!(response instanceof Error)) return toolkit.continue
  const error = toCallerError(response, request)
  const requestId = randomUUID()
  const log = error.status >= 500 ? context.log.warn : context.log.info
  log('request_refused', { request: requestId, trace: requestState(request).hop?.traceId, path: request.path, code: error.code, ran: error.ran, cause: error.code === 'internal' ? response.stack : undefined })
  context.metrics.count(REFUSALS_METRIC, { code: error.code })
  const errorResponse = toolkit.response(error.toBody(requestId)).code(error.status)
  // The connection cannot be reused: the rest of the body has not been read, or it is not certain where the request ends.
  if (error.code === 'body_too_large' || error.code === 'head_malformed') errorResponse.header('connection', 'close')
  if (error.retryAfter !== undefined) errorResponse.header('retry-after', String(Math.ceil(error.retryAfter / 1000)))
  return errorResponse
}

function toCallerError (error: Error & { readonly output?: { readonly statusCode: number } }, request: Request): ApiError {
  if (error instanceof ApiError) return error
  const status = error.output?.statusCode ?? 500
  if (status === 413) return new ApiError('body_too_large', 'the body is larger than this instance accepts', {}, error)
  if (status === 415) return new ApiError('content_type_unsupported', 'send the body with content type application/json', {}, error)
  if (status === 404) return new ApiError('route_unknown', `there is no ${request.method.toUpperCase()} ${request.path}`, {}, error)
  if (status >= 400 && status < 500) return new ApiError('body_malformed', 'the body is not valid JSON', {}, error)
  return toApiError(error)
}
