/**
 * One HTTP exchange with a backend server, on a connection of its own.
 *
 * A connection that carries a single request cannot deliver the answer to another one, and a failure to
 * open it proves that nothing was sent. Late or additional answers are discarded with the connection.
 */

import * as http from 'node:http'

import { CONNECT_TIMEOUT_MILLISECONDS } from './JayfallForwardingConstants'

export interface ExchangeRequest {
  readonly method: string
  /** IP address and port. */
  readonly address: string
  /** Path and query as the caller sent them. */
  readonly path: string
  /** Names and values in turn. */
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
}

/** Why an exchange gave no complete answer: nothing was sent, or the connection failed after it had been opened. */
export type ExchangeFailure = 'unsent' | 'broken'

/** Reports that an exchange failed. */
export class ExchangeError extends Error {
  constructor (readonly failure: ExchangeFailure, message: string, cause?: unknown) {
    super(message, { cause })
    this.name = 'ExchangeError'
  }
}

export class BackendExchange {
  private readonly request: http.ClientRequest
  private isConnected = false
  private hasConnectionFailed = false
  private response: http.IncomingMessage | undefined

  private constructor (exchangeRequest: ExchangeRequest, private readonly onResponse: (response: http.IncomingMessage) => void, private readonly onFailure: (error: ExchangeError) => void) {
    const [host, port] = exchangeRequest.address.split(':')
    this.request = http.request({ host, port: Number(port), method: exchangeRequest.method, path: exchangeRequest.path, agent: false, headers: [...exchangeRequest.rawHeaders] })
    // After the process was paused, timers run before the connections that were opened meanwhile are noticed,
    // so the check is deferred until pending I/O events have been processed.
    const connectTimer = setTimeout(() => setImmediate(() => {
      if (!this.isConnected) this.fail(new ExchangeError('unsent', 'the connection was not opened in time'))
    }), CONNECT_TIMEOUT_MILLISECONDS)
    this.request.on('socket', socket => {
      socket.once('connect', () => {
        clearTimeout(connectTimer)
        this.isConnected = true
      })
      // For a body without a length, the HTTP parser treats the end of the connection as the end of the body, even after a reset.
      socket.once('error', () => { this.hasConnectionFailed = true })
    })
    this.request.on('close', () => clearTimeout(connectTimer))
    this.request.on('response', response => {
      this.response = response
      this.onResponse(response)
    })
    this.request.on('error', error => this.fail(new ExchangeError(this.isConnected ? 'broken' : 'unsent', error.message, error)))
    this.request.end(exchangeRequest.body)
  }

  /** Sends a request. Either `onResponse` or `onFailure` is called, exactly once. */
  static open (exchangeRequest: ExchangeRequest, onResponse: (response: http.IncomingMessage) => void, onFailure: (error: ExchangeError) => void): BackendExchange {
    return new BackendExchange(exchangeRequest, onResponse, onFailure)
  }

  /** Whether the connection failed, in which case a body that ended with the connection is not complete. */
  get hasFailed (): boolean {
    return this.hasConnectionFailed
  }

  /** Ends the exchange and closes its connection immediately, in any state. */
  destroy (): void {
    this.request.destroy()
    this.response?.destroy()
  }

  private fail (error: ExchangeError): void {
    this.hasConnectionFailed = true
    if (this.response === undefined) this.onFailure(error)
    this.destroy()
  }
}
