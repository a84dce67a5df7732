/** The trpc procedures `control` that other instances call. */

import { createPeerRouter, peerProcedure } from '#jayfall/peers'

import { exchangeMessageSchema, type ExchangeMessage } from './JayfallExchangeMessage'

/** Handles the request of an exchange and returns the reply. */
export type ExchangeHandler = (request: ExchangeMessage) => ExchangeMessage

export function createControlRouter (handler: ExchangeHandler) {
  return createPeerRouter({
    exchange: peerProcedure.input(exchangeMessageSchema).mutation(({ input }) => handler(input))
  })
}

export type ControlRouter = ReturnType<typeof createControlRouter>

/** Creates a router with the control procedures at the place that they have in the router of an instance. */
export function createControlPeerRouter (handler: ExchangeHandler) {
  return createPeerRouter({ control: createControlRouter(handler) })
}

export type ControlPeerRouter = ReturnType<typeof createControlPeerRouter>
