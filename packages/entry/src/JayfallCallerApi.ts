/** The HTTP server that callers reach. */

import { randomUUID } from 'node:crypto'
import * as http from 'node:http'

import Hapi, { type Lifecycle, type Request, type ResponseObject, type ResponseToolkit, type Server } from '@hapi/hapi'
import { isVersionAllowed } from '#jayfall/catalogue'

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

/** Limits of the callers' server; times in milliseconds, sizes in bytes. */
export interface CallerApiLimits {
  readonly bodyLimit: number
  readonly headerTimeout: number
  readonly bodyTimeout: number
  readonly connectionLimit: number
}

/** Whether the instance takes new requests. */
export type Readiness = 'starting' | 'serving' | 'leaving'

/** An address, or the file descriptor of a socket that listens already. */
export type ListenTarget = { readonly host: string, readonly port: number } | { readonly fd: number }

/** The callers' server of one data thread. */
export class CallerApi {
  private readonly listener: http.Server
  private readonly server: Server
  private exchanges = 0

  constructor (context: DataContext, limits: CallerApiLimits, private readonly readiness: () => Readiness) {
    // hapi answers a late body only after its end, so the listener limits the time of the whole request.
    const requestTimeout = limits.headerTimeout + limits.bodyTimeout
    this.listener = http.createServer({ headersTimeout: limits.headerTimeout, requestTimeout, connectionsCheckingInterval: 1000 })
    this.listener.maxConnections = limits.connectionLimit
    for (const event of ['request', 'checkContinue']) {
      this.listener.prependListener(event, (_request: unknown, response: http.ServerResponse) => this.track(response))
    }
    this.server = Hapi.server({
      listener: this.listener,
      autoListen: false,
      routes: { payload: { maxBytes: limits.bodyLimit, timeout: false, allow: 'application/json' } }
    })
    registerRoutes(this.server, context, readiness)
    registerOperatorRoutes(this.server, context)
    registerRequestTracing(this.server, context)
    this.server.ext('onPreResponse', (request, toolkit) => answerError(context, request, toolkit))
    registerConnectionGuard(this.listener, context.metrics, context.log)
  }

  /** Requests whose answers are not whole yet. */
  get openExchanges (): number {
    return this.exchanges
  }

  async listen (target: ListenTarget): Promise<void> {
    await this.server.start()
    await new Promise<void>((resolve, reject) => {
      this.listener.once('error', reject)
      this.listener.listen(target, resolve)
    })
    await passEventLoopTurns(REGISTRATION_TURNS)
  }

  /** Connections of callers that are open now. */
  async countConnections (): Promise<number> {
    return await new Promise(resolve => { this.listener.getConnections((_error, count) => resolve(count)) })
  }

  /** File descriptor of the listening socket. */
  get descriptor (): number {
    // The descriptor has no public accessor.
    return (this.listener as unknown as { readonly _handle: { readonly fd: number } })._handle.fd
  }

  /** Takes no new connections and closes those that are idle; may be called again. */
  drain (): void {
    if (this.listener.listening) this.listener.close()
    this.listener.closeIdleConnections()
  }

  async stop (): Promise<void> {
    this.listener.closeAllConnections()
    await this.server.stop({ timeout: 0 })
  }

  private track (response: http.ServerResponse): void {
    this.exchanges++
    // A leaving instance closes each connection after its answer, so that no later request meets a closed one.
    if (this.readiness() === 'leaving') response.shouldKeepAlive = false
    response.once('close', () => { this.exchanges-- })
    response.once('finish', () => {
      if (this.readiness() === 'leaving') response.socket?.end()
    })
  }
}

/**
 * Turns of the event loop after which it polls a new listening socket. Threads share the socket's descriptor:
 * one that is closed by another thread before this one polls it makes the event loop abort the process.
 */
const REGISTRATION_TURNS = 2

async function passEventLoopTurns (turns: number): Promise<void> {
  for (let turn = 0; turn < turns; turn++) await new Promise(resolve => setImmediate(resolve))
}

function registerRoutes (server: Server, context: DataContext, readiness: () => Readiness): void {
  const whenServing = <Result>(handler: (context: DataContext, request: Request, toolkit: ResponseToolkit) => Result) =>
    (request: Request, toolkit: ResponseToolkit): Result => {
      if (readiness() === 'starting') throw new ApiError('instance_starting', 'the instance has no catalogue yet', { retryAfter: 1000 })
      return handler(context, request, toolkit)
    }
  server.route([
    { method: 'POST', path: '/v1/chat/completions', handler: whenServing(handleChatCompletion) },
    { method: 'GET', path: '/v1/streams/resume', handler: whenServing(handleStreamResumption) },
    { method: 'GET', path: '/v1/models', handler: whenServing(listModels) },
    { method: ['GET', 'POST', 'PUT', 'DELETE'], path: '/v1/services/{service}/{call}', handler: whenServing(handleServiceCall) },
    { method: 'GET', path: '/v1/requests/{key}', handler: whenServing(handleOutcomeQuery) },
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

/** Gives every error answer the one JSON shape. */
function answerError (context: DataContext, request: Request, toolkit: ResponseToolkit): Lifecycle.ReturnValueTypes {
  const response = request.response as ResponseObject | Error
  if (!(response instanceof Error)) return toolkit.continue
  const error = readError(response, request)
  const requestId = randomUUID()
  const log = error.status >= 500 ? context.log.warn : context.log.info
  log('request_refused', { request: requestId, trace: requestState(request).hop?.traceId, path: request.path, code: error.code, ran: error.ran, cause: error.code === 'internal' ? response.stack : undefined })
  context.metrics.count(REFUSALS_METRIC, { code: error.code })
  const answer = toolkit.response(error.toBody(requestId)).code(error.status)
  // The rest of the body has not been read.
  if (error.code === 'body_too_large') answer.header('connection', 'close')
  if (error.retryAfter !== undefined) answer.header('retry-after', String(Math.ceil(error.retryAfter / 1000)))
  return answer
}

function readError (error: Error & { readonly output?: { readonly statusCode: number } }, request: Request): ApiError {
  if (error instanceof ApiError) return error
  const status = error.output?.statusCode ?? 500
  if (status === 413) return new ApiError('body_too_large', 'the body is larger than this instance accepts', {}, error)
  if (status === 415) return new ApiError('content_type_unsupported', 'send the body with content type application/json', {}, error)
  if (status === 404) return new ApiError('route_unknown', `there is no ${request.method.toUpperCase()} ${request.path}`, {}, error)
  if (status >= 400 && status < 500) return new ApiError('body_malformed', 'the body is not valid JSON', {}, error)
  return toApiError(error)
}
