/**
 * One HTTP exchange with a backend server, on a connection of its own.
 *
 * A connection that carries one request cannot bring the answer of another one, and a failure to
 * open it proves that nothing was sent. Late and additional answers end with the connection.
 */

import * as http from 'node:http'

import { CONNECT_TIMEOUT } from './JayfallForwardingConstants'

export interface ExchangeCall {
  readonly method: string
  /** IP address and port. */
  readonly address: string
  /** As the caller sent it. */
  readonly path: string
  /** Names and values in turn. */
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
}

/** Why an exchange gave no whole answer. */
export type ExchangeFailure = 'unsent' | 'broken'

/** An exchange that failed. */
export class ExchangeError extends Error {
  constructor (readonly failure: ExchangeFailure, message: string, cause?: unknown) {
    super(message, { cause })
    this.name = 'ExchangeError'
  }
}

export class BackendExchange {
  private readonly request: http.ClientRequest
  private isConnected = false
  private failed = false
  private response: http.IncomingMessage | undefined

  private constructor (call: ExchangeCall, private readonly onHead: (response: http.IncomingMessage) => void, private readonly onFailure: (error: ExchangeError) => void) {
    const [host, port] = call.address.split(':')
    this.request = http.request({ host, port: Number(port), method: call.method, path: call.path, agent: false, headers: [...call.rawHeaders] })
    // After a time in which the process stood still, timers run before the connections that were opened meanwhile are noticed.
    const connectTimer = setTimeout(() => setImmediate(() => {
      if (!this.isConnected) this.fail(new ExchangeError('unsent', 'the connection was not opened in time'))
    }), CONNECT_TIMEOUT)
    this.request.on('socket', socket => {
      socket.once('connect', () => {
        clearTimeout(connectTimer)
        this.isConnected = true
      })
      // The parser takes the end of a connection for the end of a body without a length, a reset included.
      socket.once('error', () => { this.failed = true })
    })
    this.request.on('close', () => clearTimeout(connectTimer))
    this.request.on('response', response => {
      this.response = response
      this.onHead(response)
    })
    this.request.on('error', error => this.fail(new ExchangeError(this.isConnected ? 'broken' : 'unsent', error.message, error)))
    this.request.end(call.body)
  }

  /** Sends a call; exactly one of the receivers is called. */
  static open (call: ExchangeCall, onHead: (response: http.IncomingMessage) => void, onFailure: (error: ExchangeError) => void): BackendExchange {
    return new BackendExchange(call, onHead, onFailure)
  }

  /** Whether the connection failed, so that a body that ended with it is not whole. */
  get hasFailed (): boolean {
    return this.failed
  }

  /** Ends the exchange and its connection at once, whatever its state. */
  destroy (): void {
    this.request.destroy()
    this.response?.destroy()
  }

  private fail (error: ExchangeError): void {
    this.failed = true
    if (this.response === undefined) this.onFailure(error)
    this.destroy()
  }
}
