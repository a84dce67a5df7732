/** HTTP calls to the platform, with the platform's errors told apart by whether the call took effect. */

import * as http from 'node:http'

import Wreck from '@hapi/wreck'

import { DEFAULT_PLATFORM_TIMEOUT_MILLISECONDS, MAXIMUM_ANSWER_PAUSE_MILLISECONDS, MAXIMUM_PLATFORM_CONNECTIONS } from './JayfallStoreConstants'
import { PlatformError } from './JayfallStoreError'

/** Where the platform is and how long to wait for it. */
export interface PlatformSettings {
  /** IP address and port. */
  readonly address: string
  /** Milliseconds until the answer to a call begins. */
  readonly timeout?: number
  /** IP address that connections are made from. */
  readonly localAddress?: string
}

export interface PlatformReply {
  readonly status: number
  readonly body: unknown
}

/** Errors of the socket that prove that the request did not reach the platform. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Sends JSON calls over kept-alive connections. */
export class PlatformHttp {
  private readonly timeout: number
  private readonly agent: http.Agent
  private readonly client: typeof Wreck

  constructor (settings: PlatformSettings) {
    this.timeout = settings.timeout ?? DEFAULT_PLATFORM_TIMEOUT_MILLISECONDS
    this.agent = new http.Agent({ keepAlive: true, maxSockets: MAXIMUM_PLATFORM_CONNECTIONS, localAddress: settings.localAddress })
    this.client = Wreck.defaults({ baseUrl: `http://${settings.address}`, agents: { http: this.agent, https: this.agent as never, httpsAllowUnauthorized: this.agent as never } })
  }

  /**
   * Sends one call. @param timeout milliseconds until the answer begins; that of the settings by default. An answer that has begun may take as long as its bytes keep coming. Statuses below 500 other than 429 are returned for the caller to interpret.
   * @throws PlatformError `unavailable`, `rate_limited`, `outcome_unknown` or `malformed`.
   */
  async call (method: string, path: string, payload?: unknown, headers: Readonly<Record<string, string>> = {}, timeout = this.timeout): Promise<PlatformReply> {
    const response = await this.send(method, path, payload, headers, timeout)
    const status = response.statusCode ?? 0
    const text = await this.read(response, Math.min(timeout, MAXIMUM_ANSWER_PAUSE_MILLISECONDS))
    if (status === 429) throw new PlatformError('rate_limited', `the platform refused ${method} ${path} because of its rate limit`)
    if (status === 503) throw new PlatformError('unavailable', `the platform refused ${method} ${path} with status 503`)
    if (status >= 500) throw new PlatformError('outcome_unknown', `the platform failed ${method} ${path} with status ${status}`)
    return { status, body: parseBody(text, method, path) }
  }

  /** Closes idle connections. */
  close (): void {
    this.agent.destroy()
  }

  /** What silenced one connection may have silenced the idle ones as well, and only a time-out each would show it. */
  private dropIdleConnections (): void {
    for (const sockets of Object.values(this.agent.freeSockets)) for (const socket of sockets ?? []) socket.destroy()
  }

  private async send (method: string, path: string, payload: unknown, headers: Readonly<Record<string, string>>, timeout: number): Promise<http.IncomingMessage> {
    try {
      return await this.client.request(method, path, {
        payload: payload === undefined ? undefined : JSON.stringify(payload),
        headers: { 'content-type': 'application/json', ...headers },
        timeout
      })
    } catch (error) {
      this.dropIdleConnections()
      throw new PlatformError(isSurelyUnsent(error) ? 'unavailable' : 'outcome_unknown', `the platform did not answer ${method} ${path}`, error)
    }
  }

  /** @param pause milliseconds without a byte after which the answer counts as broken off. */
  private async read (response: http.IncomingMessage, pause: number): Promise<string> {
    const timer = setTimeout(() => response.destroy(new Error(`nothing came for ${pause} ms`)), pause)
    response.on('data', () => timer.refresh())
    try {
      const body = await this.client.read(response, {})
      return body.toString()
    } catch (error) {
      this.dropIdleConnections()
      throw new PlatformError('outcome_unknown', 'the platform\'s answer broke off', error)
    } finally {
      clearTimeout(timer)
    }
  }
}

function isSurelyUnsent (error: unknown): boolean {
  const code = (error as { code?: string }).code ?? (error as { data?: { code?: string } }).data?.code
  return code !== undefined && UNSENT_ERROR_CODES.has(code)
}

function parseBody (text: string, method: string, path: string): unknown {
  if (text === '') return undefined
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new PlatformError('malformed', `the platform's answer to ${method} ${path} is not JSON`, error)
  }
}
