/** HTTP routes for operators and metrics scrapers. Each route reports on all data threads of the instance. */

import { type Request, type ResponseObject, type ResponseToolkit, type Server } from '@hapi/hapi'
import { formatPrometheus, sumMetrics } from '#jayfall/telemetry'

import { authenticateOperator } from './JayfallAuthentication'
import { type DataContext } from './JayfallDataContext'
import { headerValue, pathParameter } from './JayfallRequestFields'

/** Adds `GET /metrics`, `GET /status` and `GET /traces/{id}`; the last two require an operator's key. */
export function registerOperatorRoutes (server: Server, context: DataContext): void {
  const requireOperator = (handler: (request: Request) => Promise<object>) => (request: Request): Promise<object> => {
    authenticateOperator(context.operatorHashes(), headerValue(request, 'authorization'))
    return handler(request)
  }
  server.route([
    { method: 'GET', path: '/metrics', handler: (_request, toolkit) => respondWithMetrics(context, toolkit) },
    { method: 'GET', path: '/status', handler: requireOperator(() => readStatus(context)) },
    {
      method: 'GET',
      path: '/traces/{id}',
      handler: requireOperator(async request => {
        const reports = await context.control.call('collect', { traceId: pathParameter(request, 'id') })
        return { spans: reports.flatMap(({ spans }) => spans).sort((left, right) => left.startedAt - right.startedAt) }
      })
    }
  ])
}

async function respondWithMetrics (context: DataContext, toolkit: ResponseToolkit): Promise<ResponseObject> {
  const reports = await context.control.call('collect', {})
  const gauges = reports.flatMap(({ openRequests, connections }, thread) => [
    [`jayfall_open_requests{thread="${thread}"}`, openRequests], [`jayfall_open_connections{thread="${thread}"}`, connections]
  ])
  const text = formatPrometheus([...reports.map(({ metrics }) => metrics), { counters: Object.fromEntries(gauges) as Record<string, number>, durations: {} }])
  return toolkit.response(text).type('text/plain; version=0.0.4')
}

async function readStatus (context: DataContext): Promise<object> {
  const reports = await context.control.call('collect', {})
  const { counters, durations } = sumMetrics(reports.map(({ metrics }) => metrics))
  return {
    instance: context.instanceId,
    threads: reports.map(({ metrics, spans, ...thread }) => thread),
    counters: Object.fromEntries(counters),
    /** Summaries of durations in milliseconds, by metric series. */
    durations: Object.fromEntries(durations)
  }
}
