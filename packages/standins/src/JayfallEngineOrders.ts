/** Orders to the engine stand-in: loading and roles, and export and import of KV cache. */

import { type Server } from '@hapi/hapi'

import { type PrefixCache, prefixBlocks } from './JayfallPrefixCache'

/** The state that an order asks for. */
interface WantedState {
  readonly versions: readonly string[]
  readonly role: string
}

interface EngineOrder {
  readonly fencing: number
  readonly wanted: WantedState
}

/** Adds the order and KV routes. With `checksFencing` an order with an old fencing number is refused. */
export function registerEngineOrders (server: Server, versions: readonly string[], checksFencing: boolean, cache: PrefixCache): void {
  let state: WantedState = { versions, role: 'serving' }
  let highestFencing = 0
  const accepted: EngineOrder[] = []
  server.route([
    {
      method: 'POST',
      path: '/orders',
      handler: (request, toolkit) => {
        const order = request.payload as EngineOrder
        if (checksFencing && order.fencing < highestFencing) return toolkit.response({ fencing: highestFencing }).code(409)
        highestFencing = Math.max(highestFencing, order.fencing)
        accepted.push(order)
        state = order.wanted
        return { ...state }
      }
    },
    { method: 'GET', path: '/orders', handler: () => ({ orders: accepted }) },
    { method: 'GET', path: '/state', handler: () => ({ ...state, fencing: highestFencing }) },
    { method: 'POST', path: '/kv/export', handler: request => ({ blocks: prefixBlocks((request.payload as { prompt: string }).prompt) }) },
    {
      method: 'POST',
      path: '/kv/import',
      handler: request => {
        cache.store((request.payload as { blocks: readonly string[] }).blocks)
        return {}
      }
    }
  ])
}
