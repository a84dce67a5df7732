/** A stand-in of the platform: tables, objects, weights, ratings and the list of instances, over HTTP. */

import Hapi, { type Server } from '@hapi/hapi'
import { createRandomSource } from '#jayfall/shared'

import { NO_FAULTS, registerPlatformFaults, type PlatformFaults } from './JayfallPlatformFaults'
import { PlatformTables, type StandInWrite } from './JayfallPlatformTables'
import { headerValue, pathParameter, queryParameter } from './JayfallRequestFields'
import { DEFAULT_HOST, DEFAULT_LISTING_LIMIT, INSTANCE_EXPIRY_MILLISECONDS } from './JayfallStandInConstants'

export interface PlatformStandInSettings {
  /** Loopback address; 127.0.0.1 by default. */
  readonly host?: string
  readonly port: number
  readonly seed?: number
}

interface AnnouncedInstance {
  readonly id: string
  readonly state: string
  readonly announcedAt: number
  /** When the list of instances begins to show this state. */
  readonly visibleAt: number
}

interface StoredRating {
  readonly requestId: string
  readonly version: string
  readonly score: number
}

/** Counts of the calls that the stores answered, for benches and proofs. */
export interface PlatformCounts {
  readonly reads: number
  readonly writes: number
}

/** Starts the platform on a loopback port; the returned server is stopped by its `stop`. */
export async function startPlatformStandIn (settings: PlatformStandInSettings): Promise<Server> {
  const server = Hapi.server({ host: settings.host ?? DEFAULT_HOST, port: settings.port, routes: { payload: { maxBytes: 16 * 1024 * 1024 } } })
  let faults = NO_FAULTS
  registerPlatformFaults(server, () => faults, createRandomSource(settings.seed))
  const counts = registerStores(server)
  registerInstanceList(server, () => faults)
  registerWeights(server, () => faults)
  registerRatings(server)
  server.route([
    { method: 'POST', path: '/control', handler: request => (faults = { ...faults, ...request.payload as Partial<PlatformFaults> }) },
    { method: 'GET', path: '/counts', handler: () => counts() }
  ])
  await server.start()
  return server
}

function registerStores (server: Server): () => PlatformCounts {
  const tables = new PlatformTables()
  const objects = new Map<string, string>()
  let reads = 0
  let writes = 0
  server.route([
    {
      method: 'POST',
      path: '/tables/transact',
      handler: (request, toolkit) => {
        writes++
        const result = tables.transact((request.payload as { writes: readonly StandInWrite[] }).writes)
        return toolkit.response(result).code('conflict' in result ? 409 : 200)
      }
    },
    {
      method: 'GET',
      path: '/tables/{table}/{key}',
      handler: (request, toolkit) => {
        reads++
        const row = tables.read(pathParameter(request, 'table'), pathParameter(request, 'key'))
        return row === undefined ? toolkit.response({}).code(404) : toolkit.response({ ...row })
      }
    },
    {
      method: 'GET',
      path: '/tables/{table}',
      handler: request => {
        reads++
        const limit = Number(queryParameter(request, 'limit', String(DEFAULT_LISTING_LIMIT)))
        return { rows: tables.list(pathParameter(request, 'table'), queryParameter(request, 'prefix'), queryParameter(request, 'after'), limit) }
      }
    },
    {
      method: 'PUT',
      path: '/objects/{name}',
      handler: (request, toolkit) => {
        writes++
        if (headerValue(request, 'if-none-match') === '*' && objects.has(pathParameter(request, 'name'))) return toolkit.response({}).code(412)
        objects.set(pathParameter(request, 'name'), JSON.stringify(request.payload))
        return {}
      }
    },
    {
      method: 'GET',
      path: '/objects/{name}',
      handler: (request, toolkit) => {
        reads++
        const value = objects.get(pathParameter(request, 'name'))
        return value === undefined ? toolkit.response({}).code(404) : toolkit.response(value).type('application/json')
      }
    },
    {
      method: 'GET',
      path: '/objects',
      handler: request => {
        reads++
        const prefix = queryParameter(request, 'prefix')
        const after = queryParameter(request, 'after')
        const names = [...objects.keys()].filter(name => name.startsWith(prefix) && name > after).sort()
        return { names: names.slice(0, DEFAULT_LISTING_LIMIT) }
      }
    }
  ])
  return () => ({ reads, writes })
}

function registerInstanceList (server: Server, faults: () => PlatformFaults): void {
  /** Earlier and newest announcement of each instance; the list shows the newest visible one. */
  const announced = new Map<string, readonly AnnouncedInstance[]>()
  server.route([
    {
      method: 'PUT',
      path: '/instances/{id}',
      handler: request => {
        const now = Date.now()
        const instance = { ...request.payload as { id: string, state: string }, announcedAt: now }
        const earlier = announced.get(pathParameter(request, 'id')) ?? []
        const last = earlier[earlier.length - 1]
        const visibleAt = last?.state === instance.state ? last.visibleAt : now + faults().listLag
        announced.set(pathParameter(request, 'id'), [...earlier.filter(one => one.state !== instance.state).slice(-1), { ...instance, visibleAt }])
        return {}
      }
    },
    {
      method: 'GET',
      path: '/instances',
      handler: () => {
        const now = Date.now()
        const listed = [...announced.values()].flatMap(states => states.filter(one => one.visibleAt <= now).slice(-1))
        return { instances: listed.filter(one => now - one.announcedAt < INSTANCE_EXPIRY_MILLISECONDS) }
      }
    }
  ])
}

function registerWeights (server: Server, faults: () => PlatformFaults): void {
  const weights = new Map<string, number>()
  let second = 0
  let accepted = 0
  server.route([
    {
      method: 'PUT',
      path: '/weights/{server}',
      handler: (request, toolkit) => {
        const now = Math.floor(Date.now() / 1000)
        if (now !== second) [second, accepted] = [now, 0]
        if (accepted >= faults().weightWritesPerSecond) return toolkit.response({}).code(429)
        accepted++
        weights.set(pathParameter(request, 'server'), (request.payload as { weight: number }).weight)
        return {}
      }
    },
    { method: 'GET', path: '/weights', handler: () => Object.fromEntries(weights) }
  ])
}

function registerRatings (server: Server): void {
  const ratings: StoredRating[] = []
  const requested: unknown[] = []
  server.route([
    { method: 'POST', path: '/ratings/requests', handler: request => ({ requested: requested.push(request.payload) }) },
    { method: 'GET', path: '/ratings/requests', handler: () => ({ requests: requested }) },
    { method: 'POST', path: '/ratings', handler: request => ({ next: ratings.push(request.payload as StoredRating) }) },
    {
      method: 'GET',
      path: '/ratings',
      handler: request => ({ ratings: ratings.slice(Number(queryParameter(request, 'after', '0'))), next: ratings.length })
    }
  ])
}
