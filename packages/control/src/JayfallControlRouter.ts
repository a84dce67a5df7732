/** The procedures of `control` that other instances call. */

import { createPeerRouter, peerProcedure } from '#jayfall/peers'

import { exchangeMessageSchema, type ExchangeMessage } from './JayfallExchangeMessage'

/** Takes a request and returns the reply. */
export type ExchangeHandler = (request: ExchangeMessage) => ExchangeMessage

export function createControlRouter (handler: ExchangeHandler) {
  return createPeerRouter({
    exchange: peerProcedure.input(exchangeMessageSchema).mutation(({ input }) => handler(input))
  })
}

export type ControlRouter = ReturnType<typeof createControlRouter>

/** Where the control procedures are in the router of an instance. */
export function createControlPeerRouter (handler: ExchangeHandler) {
  return createPeerRouter({ control: createControlRouter(handler) })
}

export type ControlPeerRouter = ReturnType<typeof createControlPeerRouter>
