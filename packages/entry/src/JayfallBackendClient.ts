/** HTTP to engines and plain services over kept-alive connections. */

import * as http from 'node:http'
import * as net from 'node:net'

import Wreck from '@hapi/wreck'
import { type LoadReport } from '#jayfall/routing'
import { type Clock } from '#jayfall/shared'

import { BackendError } from './JayfallBackendError'
import { type LeavingPolicy } from './JayfallLeavingPolicy'

/** One call to a backend server. */
export interface BackendCall {
  readonly method: string
  /** IP address and port. */
  readonly address: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly payload?: string | Buffer
  /** Milliseconds until the head of the answer must have arrived. */
  readonly headTimeout: number
  /** A connection of its own makes "not sent" provable when connecting fails. */
  readonly freshConnection?: boolean
}

/** Idle connections kept for each backend server. */
const MAXIMUM_FREE_CONNECTIONS = 64

const READ_BUFFER_BYTES = 64 * 1024

/** Socket errors that prove that no byte of the request was sent. */
const CONNECT_ERRORS: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/**
 * Reads of all connections go through one buffer. Without it, Node.js allocates 64 KiB for each
 * read, which is many times the size of a token's event.
 */
function createReadBuffer (): net.OnReadOpts {
  return {
    buffer: Buffer.allocUnsafe(READ_BUFFER_BYTES),
    callback (this: net.Socket, length, buffer) {
      return this.push(Buffer.from(buffer.subarray(0, length)))
    }
  } as net.OnReadOpts
}

/** Observers of what answers say about their server. */
export interface BackendObserver {
  onLoad (address: string, report: LoadReport): void
  onLeaving (address: string): void
}

/** Sends calls and reports what the answers' headers say. */
export class BackendClient {
  private readonly agent: http.Agent

  /** @param localAddress IP address that connections are made from. */
  constructor (private readonly clock: Clock, private readonly observer: BackendObserver, private readonly leaving: LeavingPolicy, private readonly localAddress?: string) {
    this.agent = new http.Agent({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: MAXIMUM_FREE_CONNECTIONS, localAddress, onread: createReadBuffer() })
  }

  /**
   * Sends a call and returns the answer once its head has arrived.
   * @throws BackendError with the failure that the router is told.
   */
  async send (call: BackendCall): Promise<http.IncomingMessage> {
    const response = await this.request(call)
    this.observe(call.address, response)
    const status = response.statusCode ?? 0
    if (status < 500) return response
    response.resume()
    const isLeaving = this.leaving.isAnnounced(response.headers)
    throw new BackendError(status === 503 ? 'refused' : 'broken', `${call.address} answered with status ${status}`, undefined, isLeaving)
  }

  /** Reads a whole answer. @throws BackendError `broken`. */
  async read (response: http.IncomingMessage, timeout: number): Promise<Buffer> {
    try {
      return await Wreck.read(response, { timeout }) as Buffer
    } catch (error) {
      throw new BackendError('broken', 'the answer broke off', error)
    }
  }

  close (): void {
    this.agent.destroy()
  }

  private async request (call: BackendCall): Promise<http.IncomingMessage> {
    try {
      return await Wreck.request(call.method, `http://${call.address}${call.path}`, {
        headers: { ...call.headers },
        payload: call.payload,
        agent: call.freshConnection === true ? new http.Agent({ keepAlive: false, localAddress: this.localAddress }) : this.agent,
        timeout: call.headTimeout
      })
    } catch (error) {
      throw new BackendError(classifyError(error), `${call.address} did not answer ${call.method} ${call.path}`, error)
    }
  }

  private observe (address: string, response: http.IncomingMessage): void {
    if (this.leaving.isAnnounced(response.headers)) this.observer.onLeaving(address)
    const load = response.headers['x-load']
    if (typeof load !== 'string') return
    const [active, slots, queuedTokens] = load.split('/').map(Number)
    this.observer.onLoad(address, { active, slots, queuedTokens, receivedAt: this.clock.monotonic() })
  }
}

function classifyError (error: unknown): 'unsent' | 'silent' | 'broken' {
  const { code, data, output } = error as { code?: string, data?: { code?: string }, output?: { statusCode?: number } }
  const socketCode = code ?? data?.code
  if (socketCode !== undefined && CONNECT_ERRORS.has(socketCode)) return 'unsent'
  return output?.statusCode === 504 ? 'silent' : 'broken'
}
