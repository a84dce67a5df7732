/** Clients for the trpc procedures of other entry instances. */

import * as http from 'node:http'

import Wreck from '@hapi/wreck'
import { readBounded } from '#jayfall/shared'
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'

import { DEFAULT_PEER_TIMEOUT_MILLISECONDS, MAXIMUM_IDLE_PEER_CONNECTIONS, PEER_ANSWER_LIMITS, PEER_PATH } from './JayfallPeerConstants'
import { type PeerRouter } from './JayfallPeerRouter'

export interface PeerClientSettings {
  /** Local IP address of the connections. */
  readonly localAddress?: string
  /** Time limit of one call, in milliseconds. */
  readonly timeout?: number
}

/** Creates one client for each instance. All clients share a pool of keep-alive connections. */
export class PeerClients<Router extends PeerRouter> {
  private readonly agent: http.Agent
  private readonly clients = new Map<string, TRPCClient<Router>>()

  constructor (private readonly settings: PeerClientSettings = {}) {
    this.agent = new http.Agent({ keepAlive: true, maxFreeSockets: MAXIMUM_IDLE_PEER_CONNECTIONS, localAddress: settings.localAddress })
  }

  /** The client for the instance at `address` (IP address and port). */
  clientFor (address: string): TRPCClient<Router> {
    const existing = this.clients.get(address)
    if (existing !== undefined) return existing
    const link = httpLink({ url: `http://${address}${PEER_PATH.slice(0, -1)}`, fetch: (url, options) => this.fetch(String(url), options ?? {}) } as Parameters<typeof httpLink>[0])
    const client = createTRPCClient<Router>({ links: [link as never] })
    this.clients.set(address, client)
    return client
  }

  /** Removes the clients of all other addresses. */
  keepOnly (addresses: ReadonlySet<string>): void {
    for (const address of this.clients.keys()) {
      if (!addresses.has(address)) this.clients.delete(address)
    }
  }

  close (): void {
    this.agent.destroy()
  }

  /** Implements the part of `fetch` that trpc uses, because the global `fetch` cannot set the local address. */
  private async fetch (url: string, options: { readonly method?: string, readonly body?: unknown, readonly headers?: unknown }): Promise<Response> {
    const timeout = this.settings.timeout ?? DEFAULT_PEER_TIMEOUT_MILLISECONDS
    const response = await Wreck.request(options.method ?? 'GET', url, {
      agent: this.agent,
      timeout,
      headers: { ...options.headers as Record<string, string> },
      payload: options.body as string | undefined
    })
    const timer = setTimeout(() => response.destroy(new Error(`the answer did not end within ${timeout} ms`)), timeout)
    const body = await readBounded(response, PEER_ANSWER_LIMITS).finally(() => clearTimeout(timer))
    return new Response(new Uint8Array(body), { status: response.statusCode, headers: { 'content-type': 'application/json' } })
  }
}
