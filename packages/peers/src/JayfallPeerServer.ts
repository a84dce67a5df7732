/**
 * The HTTP listener on which an entry instance accepts calls from other entry instances.
 *
 * The trpc library serves the listener of Node.js itself: a web framework around it would take a third of the
 * processor time of a start, and an instance that starts again under load keeps callers waiting for so long.
 */

import * as http from 'node:http'
import { type AddressInfo } from 'node:net'

import { createHTTPHandler } from '@trpc/server/adapters/standalone'

import { MAXIMUM_PEER_BODY_BYTES, PEER_KEEP_ALIVE_MILLISECONDS, PEER_PATH } from './JayfallPeerConstants'
import { type PeerRouter } from './JayfallPeerRouter'

/** Calls of other instances that are not procedures. */
export interface PeerCallHandler {
  readonly path: string
  readonly handle: (request: http.IncomingMessage, response: http.ServerResponse) => void
}

export class PeerServer {
  private constructor (private readonly listener: http.Server) {}

  /** Starts the listener at `address` (IP address and port). */
  static start (address: string, router: PeerRouter, calls?: PeerCallHandler): Promise<PeerServer> {
    const [host, port] = address.split(':')
    const handle = createHTTPHandler({ router, basePath: PEER_PATH, maxBodySize: MAXIMUM_PEER_BODY_BYTES })
    const listener = http.createServer({ keepAliveTimeout: PEER_KEEP_ALIVE_MILLISECONDS }, (request, response) => {
      // No instance reads the Date header, which costs 0.3 kB/s at some calls per second.
      response.sendDate = false
      if (request.method === 'POST' && request.url?.startsWith(PEER_PATH) === true) handle(request, response)
      else if (calls !== undefined && request.method === 'POST' && request.url === calls.path) calls.handle(request, response)
      else response.writeHead(404).end()
    })
    return new Promise((resolve, reject) => {
      listener.once('error', reject)
      listener.listen(Number(port), host, () => resolve(new PeerServer(listener)))
    })
  }

  get port (): number {
    return (this.listener.address() as AddressInfo).port
  }

  /** Closes the listener and all its connections. */
  async stop (): Promise<void> {
    const closed = new Promise<void>(resolve => { this.listener.close(() => resolve()) })
    this.listener.closeAllConnections()
    await closed
  }
}
