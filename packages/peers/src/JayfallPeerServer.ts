/** The HTTP listener on which an entry instance accepts calls from other entry instances. */

import Hapi, { type Server } from '@hapi/hapi'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'

import { MAXIMUM_PEER_BODY_BYTES, PEER_KEEP_ALIVE_MILLISECONDS, PEER_PATH } from './JayfallPeerConstants'
import { type PeerRouter } from './JayfallPeerRouter'

/** Starts the listener at `address` (IP address and port). */
export async function startPeerServer (address: string, router: PeerRouter): Promise<Server> {
  const [host, port] = address.split(':')
  const server = Hapi.server({ host, port: Number(port) })
  // No instance reads the Date header, which costs 0.3 kB/s at some calls per second.
  server.listener.on('request', (_request, response) => { response.sendDate = false })
  server.listener.keepAliveTimeout = PEER_KEEP_ALIVE_MILLISECONDS
  const handler = createHTTPHandler({ router, basePath: PEER_PATH, maxBodySize: MAXIMUM_PEER_BODY_BYTES })
  server.route({
    method: 'POST',
    path: `${PEER_PATH}{procedure}`,
    options: { payload: { parse: false, output: 'stream', maxBytes: MAXIMUM_PEER_BODY_BYTES } },
    handler: (request, toolkit) => {
      handler(request.raw.req, request.raw.res)
      return toolkit.abandon
    }
  })
  await server.start()
  return server
}
