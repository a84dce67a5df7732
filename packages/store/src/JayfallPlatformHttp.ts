/** HTTP client of the platform. Its errors distinguish whether a failed call may have taken effect. */

import * as http from 'node:http'

import Wreck from '@hapi/wreck'
import { readBounded } from '#jayfall/shared'

import { DEFAULT_PLATFORM_TIMEOUT_MILLISECONDS, MAXIMUM_ANSWER_PAUSE_MILLISECONDS, MAXIMUM_PLATFORM_CONNECTIONS, PLATFORM_ANSWER_LIMITS } from './JayfallStoreConstants'
import { PlatformError } from './JayfallPlatformError'

/** The address of the platform and the properties of the connections. */
export interface PlatformSettings {
  /** IP address and port. */
  readonly address: string
  /** Time limit until the answer to a call begins, in milliseconds. */
  readonly timeout?: number
  /** Local IP address of the connections. */
  readonly localAddress?: string
}

/** The status, the headers and the parsed JSON body of an answer. */
export interface PlatformReply {
  readonly status: number
  /** Values by name in lowercase. */
  readonly headers: http.IncomingHttpHeaders
  readonly body: unknown
}

/** Socket errors that prove that the request did not reach the platform. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Sends calls with JSON bodies over keep-alive connections. */
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
   * Sends one call. Statuses below 500 other than 429 are returned to the caller. An answer that has begun has no time limit
   * as long as bytes keep arriving.
   * @param timeout time limit until the answer begins, in milliseconds; by default that of the settings.
   * @throws PlatformError `unavailable`, `rate_limited`, `outcome_unknown` or `malformed`.
   */
  async call (method: string, path: string, payload?: unknown, headers: Readonly<Record<string, string>> = {}, timeout = this.timeout): Promise<PlatformReply> {
    const response = await this.send(method, path, payload, headers, timeout)
    const status = response.statusCode ?? 0
    const text = await this.read(response, Math.min(timeout, MAXIMUM_ANSWER_PAUSE_MILLISECONDS))
    if (status === 429) throw new PlatformError('rate_limited', `the platform refused ${method} ${path} because of its rate limit`)
    if (status === 503) throw new PlatformError('unavailable', `the platform refused ${method} ${path} with status 503`)
    if (status >= 500) throw new PlatformError('outcome_unknown', `the platform failed ${method} ${path} with status ${status}`)
    return { status, headers: response.headers, body: parseBody(text, method, path) }
  }

  /** Closes idle connections. */
  close (): void {
    this.agent.destroy()
  }

  /** Closes all idle connections. A fault that stops one connection may affect the idle ones too, and each of them would cost a further time-out. */
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
      throw new PlatformError(isKnownUnsent(error) ? 'unavailable' : 'outcome_unknown', `the platform did not answer ${method} ${path}`, error)
    }
  }

  /**
   * Reads the body of an answer.
   * @param pause time without a byte at which the answer counts as broken off, in milliseconds.
   */
  private async read (response: http.IncomingMessage, pause: number): Promise<string> {
    const timer = setTimeout(() => response.destroy(new Error(`nothing came for ${pause} ms`)), pause)
    response.on('data', () => timer.refresh())
    try {
      const body = await readBounded(response, PLATFORM_ANSWER_LIMITS)
      return body.toString()
    } catch (error) {
      this.dropIdleConnections()
      throw new PlatformError('outcome_unknown', 'the platform\'s answer broke off', error)
    } finally {
      clearTimeout(timer)
    }
  }
}

/** Whether the error proves that the request was not sent. */
function isKnownUnsent (error: unknown): boolean {
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
