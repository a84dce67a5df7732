/** HTTP client for backend servers (engines and plain services) with pooled connections. */

import * as http from 'node:http'

import Wreck from '@hapi/wreck'
import { type LoadReport } from '#jayfall/routing'
import { createReadBuffer, type Clock } from '#jayfall/shared'

import { AnswerEnds } from './JayfallAnswerEnds'
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
  /** Milliseconds within which the response headers must arrive. */
  readonly headersTimeout: number
  /** Whether the call gets a new connection. A connect error then proves that the request was not sent. */
  readonly hasOwnConnection?: boolean
}

/** Idle connections that the pool keeps for each backend server. */
const MAXIMUM_IDLE_CONNECTIONS_PER_SERVER = 64

/** The HTTP client of Node.js passes on smaller numbers, such as that of 000. */
const LOWEST_STATUS = 100

/** Socket errors that prove that no byte of the request was sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Receives the state that servers report in their response headers. */
export interface BackendObserver {
  onLoad (address: string, report: LoadReport): void
  onLeaving (address: string): void
}

/** Sends calls to backend servers, and reports the server state in the response headers to the observer. */
export class BackendClient {
  private readonly agent: http.Agent
  private readonly answerEnds = new AnswerEnds()

  /** @param localAddress IP address that connections are made from. */
  constructor (private readonly clock: Clock, private readonly observer: BackendObserver, private readonly leavingPolicy: LeavingPolicy, private readonly localAddress?: string) {
    this.agent = new http.Agent({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS_PER_SERVER, localAddress, onread: createReadBuffer() })
  }

  /**
   * Sends a call and returns the response once its headers have arrived.
   * @throws BackendError whose `failure` is the kind of failure that the router handles.
   */
  async send (call: BackendCall): Promise<http.IncomingMessage> {
    const response = await this.request(call)
    const status = response.statusCode ?? 0
    if (status < LOWEST_STATUS) {
      response.destroy()
      throw new BackendError('broken', `${call.address} answered with the invalid status ${status}`)
    }
    this.reportServerState(call.address, response)
    if (status < 500) return response
    response.resume()
    const isLeaving = this.leavingPolicy.isAnnounced(response.headers)
    throw new BackendError(status === 503 ? 'refused' : 'broken', `${call.address} answered with status ${status}`, undefined, isLeaving)
  }

  /** Reads the complete body of a response. @throws BackendError `broken`. */
  async read (response: http.IncomingMessage, timeout: number): Promise<Buffer> {
    try {
      const body = await Wreck.read(response, { timeout }) as Buffer
      await this.answerEnds.confirm(response)
      return body
    } catch (error) {
      throw new BackendError('broken', 'the answer broke off', error)
    }
  }

  close (): void {
    this.agent.destroy()
  }

  private async request (call: BackendCall): Promise<http.IncomingMessage> {
    try {
      const pendingResponse = Wreck.request(call.method, `http://${call.address}${call.path}`, {
        headers: { ...call.headers },
        payload: call.payload,
        agent: call.hasOwnConnection === true ? new http.Agent({ keepAlive: false, localAddress: this.localAddress }) : this.agent,
        timeout: call.headersTimeout
      })
      pendingResponse.req.prependOnceListener('response', response => this.answerEnds.watch(call.method, response))
      return await pendingResponse
    } catch (error) {
      throw new BackendError(classifyFailure(error), `${call.address} did not answer ${call.method} ${call.path}`, error)
    }
  }

  private reportServerState (address: string, response: http.IncomingMessage): void {
    if (this.leavingPolicy.isAnnounced(response.headers)) this.observer.onLeaving(address)
    const load = response.headers['x-load']
    if (typeof load !== 'string') return
    const [active, slots, queuedTokens] = load.split('/').map(Number)
    this.observer.onLoad(address, { active, slots, queuedTokens, receivedAt: this.clock.monotonic() })
  }
}

function classifyFailure (error: unknown): 'unsent' | 'silent' | 'broken' {
  const { code, data, output } = error as { code?: string, data?: { code?: string }, output?: { statusCode?: number } }
  const socketCode = code ?? data?.code
  if (socketCode !== undefined && UNSENT_ERROR_CODES.has(socketCode)) return 'unsent'
  return output?.statusCode === 504 ? 'silent' : 'broken'
}
