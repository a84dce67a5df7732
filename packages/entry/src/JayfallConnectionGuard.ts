/**
 * Requests that the HTTP parser refuses, and connections above the limit.
 *
 * The parser refuses what a request could be smuggled with: both Content-Length and
 * Transfer-Encoding, several lengths, other codings than `chunked`, folded header lines and
 * bare line feeds. Each refusal closes its connection, as the parser's position in the
 * byte stream is no longer known.
 */

import { randomUUID } from 'node:crypto'
import { STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Socket } from 'node:net'

import { type Log, type Metrics } from '#jayfall/telemetry'

import { ApiError } from './JayfallApiError'
import { REFUSALS_METRIC } from './JayfallEntryConstants'

/** Answers and counts what the parser refuses. */
export function registerConnectionGuard (listener: Server, metrics: Metrics, log: Log): void {
  /** Answers under way; a later request of the same connection waits for them. */
  const answers = new WeakMap<Socket, Set<ServerResponse>>()
  for (const event of ['request', 'checkContinue']) {
    listener.on(event, (request: IncomingMessage, response: ServerResponse) => {
      const open = answers.get(request.socket) ?? new Set()
      answers.set(request.socket, open.add(response))
      response.once('close', () => open.delete(response))
    })
  }
  listener.removeAllListeners('clientError')
  listener.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    const open = [...answers.get(socket) ?? []]
    const refusal = toRefusal(error, open.length > 0)
    if (refusal === undefined) return socket.destroy()
    metrics.count(REFUSALS_METRIC, { code: refusal.code })
    log.info('connection_refused', { code: refusal.code, cause: error.code })
    // Bytes written now would become part of the answer that is under way.
    if (!socket.writable || open.some(({ headersSent }) => headersSent)) return socket.destroy()
    socket.end(formatRefusal(refusal), () => socket.destroy())
  })
  listener.on('drop', () => {
    metrics.count(REFUSALS_METRIC, { code: 'connection_limit' })
  })
}

/** The refusal for a parser's error; undefined when the connection broke. */
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
