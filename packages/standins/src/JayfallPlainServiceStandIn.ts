/** A stand-in of a plain service that counts how often each request identifier ran. */

import Hapi, { type Server } from '@hapi/hapi'
import { delay } from '#jayfall/shared'

import { headerValue, pathParameter } from './JayfallRequestFields'
import { DEFAULT_HOST } from './JayfallStandInConstants'

export interface PlainServiceStandInSettings {
  /** Loopback address; 127.0.0.1 by default. */
  readonly host?: string
  readonly port: number
  /** Milliseconds that one call takes. */
  readonly callTime: number
}

interface RecordedCall {
  readonly call: string
  readonly body: unknown
  readonly outcome: unknown
}

/** Starts a plain service on a loopback port. */
export async function startPlainServiceStandIn (settings: PlainServiceStandInSettings): Promise<Server> {
  const server = Hapi.server({ host: settings.host ?? DEFAULT_HOST, port: settings.port })
  const runs = new Map<string, number>()
  const recorded = new Map<string, RecordedCall>()
  let leaving = false
  let callTime = settings.callTime
  server.route([
    {
      method: '*',
      path: '/calls/{name}',
      handler: async (request, toolkit) => {
        if (leaving) return toolkit.response({ error: 'leaving' }).code(503).header('x-leaving', '1')
        const id = headerValue(request, 'x-request-id') ?? 'none'
        runs.set(id, (runs.get(id) ?? 0) + 1)
        const outcome = { call: pathParameter(request, 'name'), confirmation: `${pathParameter(request, 'name')}-${id}` }
        recorded.set(id, { call: pathParameter(request, 'name'), body: request.payload, outcome })
        await delay(callTime)
        return toolkit.response(outcome).header('x-request-id', id)
      }
    },
    {
      method: 'GET',
      path: '/outcomes/{id}',
      handler: (request, toolkit) => {
        const call = recorded.get(pathParameter(request, 'id'))
        return call === undefined ? toolkit.response({}).code(404) : toolkit.response({ ...call })
      }
    },
    { method: 'GET', path: '/runs', handler: () => Object.fromEntries(runs) },
    { method: 'GET', path: '/load', handler: () => ({ active: 0, slots: 1, queuedTokens: 0 }) },
    {
      method: 'POST',
      path: '/control',
      handler: request => {
        const changes = request.payload as { leaving?: boolean, callTime?: number }
        leaving = changes.leaving ?? leaving
        callTime = changes.callTime ?? callTime
        return { leaving, callTime }
      }
    }
  ])
  await server.start()
  return server
}
