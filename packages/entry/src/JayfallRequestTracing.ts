/** Tracing and metrics of each caller's request. */

import { type Request, type Server } from '@hapi/hapi'

import { type DataContext } from './JayfallDataContext'
import { RESPONSE_TIME_METRIC, REQUESTS_METRIC, TRACE_HEADER } from './JayfallEntryConstants'
import { headerValue, requestState } from './JayfallRequestFields'

/** Prefix of the paths of callers' requests; other paths are for health probes and operators. */
const CALLER_PATH_PREFIX = '/v1/'

/** Starts a span for each caller's request, and returns its `traceparent` in the response headers. */
export function registerRequestTracing (server: Server, context: DataContext): void {
  server.ext('onRequest', (request, toolkit) => {
    if (request.path.startsWith(CALLER_PATH_PREFIX)) traceRequest(context, request)
    return toolkit.continue
  })
}

function traceRequest (context: DataContext, request: Request): void {
  const state = requestState(request)
  const startedAt = context.clock.monotonic()
  const hop = context.traces.startRequest('request', headerValue(request, TRACE_HEADER), { method: request.method, path: request.path })
  const response = request.raw.res
  state.hop = hop
  response.setHeader(TRACE_HEADER, hop.traceparent)
  response.once('close', () => {
    const labels = { code: response.writableFinished ? response.statusCode : 'disconnected', class: state.workClass ?? 'none' }
    hop.end({ status: response.statusCode, class: state.workClass })
    context.metrics.count(REQUESTS_METRIC, labels)
    context.metrics.record(RESPONSE_TIME_METRIC, { class: labels.class }, context.clock.monotonic() - startedAt)
  })
}
