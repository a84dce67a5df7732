/** The trpc instance with which packages define the procedures that other entry instances call. */

import { initTRPC, type AnyRouter } from '@trpc/server'

const trpc = initTRPC.create()

/** Creates a router from procedures or other routers. */
export const createPeerRouter = trpc.router
/** The base of all procedures. It does not validate its input; add `.input(schema)`. */
export const peerProcedure = trpc.procedure

export type PeerRouter = AnyRouter
