/**
 * Error responses for requests that the HTTP parser rejects, and counters for connections above the limit.
 *
 * The parser rejects messages that allow request smuggling: both Content-Length and Transfer-Encoding, several
 * lengths, codings other than `chunked`, folded header lines and bare line feeds. Each rejection closes the
 * connection, because the position of the next request in the byte stream is unknown.
 */

import { randomUUID } from 'node:crypto'
import { STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Socket } from 'node:net'

import { type Log, type Metrics } from '#jayfall/telemetry'

import { ApiError } from './JayfallApiError'
import { REFUSALS_METRIC } from './JayfallEntryConstants'

/** Registers the handlers of parser errors and of dropped connections on `listener`. */
export function registerConnectionGuard (listener: Server, metrics: Metrics, log: Log): void {
  /** Responses that are not complete, by connection; responses to later requests of the connection must wait for them. */
  const openResponses = new WeakMap<Socket, Set<ServerResponse>>()
  for (const event of ['request', 'checkContinue']) {
    listener.on(event, (request: IncomingMessage, response: ServerResponse) => {
      const open = openResponses.get(request.socket) ?? new Set()
      openResponses.set(request.socket, open.add(response))
      response.once('close', () => open.delete(response))
    })
  }
  listener.removeAllListeners('clientError')
  listener.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    const open = [...openResponses.get(socket) ?? []]
    const refusal = toRefusal(error, open.length > 0)
    if (refusal === undefined) return socket.destroy()
    metrics.count(REFUSALS_METRIC, { code: refusal.code })
    log.info('connection_refused', { code: refusal.code, cause: error.code })
    // Once the headers of a response have been sent, further bytes would become part of its body.
    if (!socket.writable || open.some(({ headersSent }) => headersSent)) return socket.destroy()
    socket.end(formatRefusal(refusal), () => socket.destroy())
  })
  listener.on('drop', () => {
    metrics.count(REFUSALS_METRIC, { code: 'connection_limit' })
  })
}

/** Converts a parser error into a refusal; undefined when the connection failed. `hasHead` tells that the headers have arrived. */
function toRefusal (error: NodeJS.ErrnoException, hasHead: boolean): ApiError | undefined {
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' && hasHead) return new ApiError('body_incomplete', 'the body did not arrive in time', {}, error)
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return new ApiError('head_timeout', 'the request line and headers did not arrive in time', {}, error)
  if (error.code === 'HPE_HEADER_OVERFLOW') return new ApiError('head_too_large', 'the request line and headers are too large', {}, error)
  if (error.code?.startsWith('HPE_') === true) return new ApiError('head_malformed', 'the request is not valid HTTP/1.1', {}, error)
  return undefined
}

function formatRefusal (error: ApiError): string {
  const body = JSON.stringify(error.toBody(randomUUID()))
  return `HTTP/1.1 ${error.status} ${STATUS_CODES[error.status]}\r\ncontent-type: application/json\r\n` +
    `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`
}
