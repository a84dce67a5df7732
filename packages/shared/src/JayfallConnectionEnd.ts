/**
 * Tells a connection that its peer ended (FIN) from one that its peer reset.
 *
 * On Linux the runtime reports a reset as a normal end when it arrives together with the last bytes: it takes a short
 * read and a hang-up for the end of the connection, and does not ask for the error. The error stays with the socket,
 * and a write of no bytes returns it without sending anything.
 */

import type * as net from 'node:net'

/**
 * Finds out how a connection ended. To be called while its `end` is reported, before its own side is ended.
 * @param onResult receives undefined when the peer ended the connection after everything had been written to it, and otherwise the error.
 */
export function confirmConnectionEnd (socket: net.Socket, onResult: (error: Error | undefined) => void): void {
  if (socket.writableLength > 0) onResult(new Error('the connection ended before the request was sent'))
  else socket.write('', error => onResult(error ?? undefined))
}
