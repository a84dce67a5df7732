/**
 * Watches how the connections of answers end whose end is given by that of their connection.
 *
 * The HTTP client of Node.js takes every end of a connection as the end of such an answer, also while the request is
 * being sent, and also a reset that is reported as a normal end.
 */

import { type IncomingMessage } from 'node:http'

import { confirmConnectionEnd } from '#jayfall/shared'

const BODYLESS_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304])
const CHUNKED_CODING = /(?:^|[\s,])chunked\s*$/i

export class AnswerEnds {
  /** Resolves with undefined when the server ended the connection after it had received the request, and otherwise with the error. */
  private readonly ends = new WeakMap<IncomingMessage, Promise<Error | undefined>>()

  /** Watches the connection of a response. To be called as soon as its head has arrived. */
  watch (method: string, response: IncomingMessage): void {
    if (method === 'HEAD' || !isEndedByConnection(response)) return
    const { socket } = response
    this.ends.set(response, new Promise(resolve => {
      // The HTTP client ends its own side of the connection in listeners that come after this one.
      socket.prependOnceListener('end', () => confirmConnectionEnd(socket, resolve))
      socket.once('close', () => resolve(new Error('the connection was closed')))
    }))
  }

  /** Waits for the end of the connection of a response whose body has ended. @throws Error when the body may not be complete. */
  async confirm (response: IncomingMessage): Promise<void> {
    const error = await this.ends.get(response)
    if (error !== undefined) throw error
  }
}

function isEndedByConnection ({ statusCode, headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && !CHUNKED_CODING.test(headers['transfer-encoding'] ?? '') && !BODYLESS_STATUSES.has(statusCode)
}
