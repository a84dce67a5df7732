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

/** Limits of the callers' server; times in milliseconds, sizes in bytes. */
export interface CallerApiLimits {
  readonly bodyLimit: number
  readonly headerTimeout: number
  readonly bodyTimeout: number
  readonly connectionLimit: number
}

/** Whether the instance takes new requests. */
export type Readiness = 'starting' | 'serving' | 'leaving'

/** Creates the callers' server without a listening socket; the caller of this function listens. */
export function createCallerApi (context: DataContext, limits: CallerApiLimits, readiness: () => Readiness): { readonly server: Server, readonly listener: http.Server } {
  // hapi answers a late body only after its end, so the listener limits the time of the whole request.
  const requestTimeout = limits.headerTimeout + limits.bodyTimeout
  const listener = http.createServer({ headersTimeout: limits.headerTimeout, requestTimeout, connectionsCheckingInterval: 1000 })
  listener.maxConnections = limits.connectionLimit
  const server = Hapi.server({
    listener,
    autoListen: false,
    routes: { payload: { maxBytes: limits.bodyLimit, timeout: false, allow: 'application/json' } }
  })
  registerRoutes(server, context, readiness)
  registerOperatorRoutes(server, context)
  registerRequestTracing(server, context)
  server.ext('onPreResponse', (request, toolkit) => answerError(context, request, toolkit))
  registerConnectionGuard(listener, context.metrics, context.log)
  return { server, listener }
}

function registerRoutes (server: Server, context: DataContext, readiness: () => Readiness): void {
  const whenServing = <Result>(handler: (context: DataContext, request: Request, toolkit: ResponseToolkit) => Result) =>
    (request: Request, toolkit: ResponseToolkit): Result => {
      if (readiness() === 'starting') throw new ApiError('instance_starting', 'the instance has no catalogue yet', { retryAfter: 1000 })
      return handler(context, request, toolkit)
    }
  server.route([
    { method: 'POST', path: '/v1/chat/completions', handler: whenServing(handleChatCompletion) },
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
