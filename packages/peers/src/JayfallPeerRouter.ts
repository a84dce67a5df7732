/** The trpc instance with which packages define their procedures for other entry instances. */

import { initTRPC, type AnyRouter } from '@trpc/server'

const trpc = initTRPC.create()

/** Creates a router of procedures. */
export const createPeerRouter = trpc.router
/** A procedure without input checks; add `.input(schema)`. */
export const peerProcedure = trpc.procedure

export type PeerRouter = AnyRouter
