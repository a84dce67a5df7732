/** The hop and the metrics of each caller's request. */

import { type Request, type Server } from '@hapi/hapi'

import { type DataContext } from './JayfallDataContext'
import { ANSWER_METRIC, REQUESTS_METRIC, TRACE_HEADER } from './JayfallEntryConstants'
import { headerValue, requestState } from './JayfallRequestFields'

/** Paths below this are callers' requests; others are probes and operators'. */
const CALLERS_PATH = '/v1/'

/** Starts a hop for each caller's request, and returns its `traceparent` to the caller. */
export function registerRequestTracing (server: Server, context: DataContext): void {
  server.ext('onRequest', (request, toolkit) => {
    if (request.path.startsWith(CALLERS_PATH)) trace(context, request)
    return toolkit.continue
  })
}

function trace (context: DataContext, request: Request): void {
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
    context.metrics.record(ANSWER_METRIC, { class: labels.class }, context.clock.monotonic() - startedAt)
  })
}
