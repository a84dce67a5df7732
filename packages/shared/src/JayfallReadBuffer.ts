/** A read buffer that many connections share. */

import type * as net from 'node:net'

const READ_BUFFER_BYTES = 64 * 1024

/**
 * Creates the options of a connection that reads into one buffer and copies what it received. Without them,
 * Node.js allocates 64 KiB for each read, which is many times the size of the event of one token.
 */
export function createReadBuffer (): net.OnReadOpts {
  return {
    buffer: Buffer.allocUnsafe(READ_BUFFER_BYTES),
    callback (this: net.Socket, length, buffer) {
      return this.push(Buffer.from(buffer.subarray(0, length)))
    }
  } as net.OnReadOpts
}
