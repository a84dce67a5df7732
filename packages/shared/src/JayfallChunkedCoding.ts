/**
 * Encoding of the chunked transfer coding of HTTP/1.1.
 *
 * `ServerResponse` writes the frame and the data of a chunk as several buffers, which takes a third of the
 * time that the data path spends on an event. A response that frames its chunks itself writes one buffer.
 */

import { type ServerResponse } from 'node:http'

/** The empty chunk that ends a chunked body. */
export const LAST_CHUNK = Buffer.from('0\r\n\r\n')

/** Encodes one chunk. */
export function encodeChunk (data: Buffer): Buffer {
  const size = `${data.length.toString(16)}\r\n`
  const frame = Buffer.allocUnsafe(size.length + data.length + 2)
  frame.write(size, 0, 'latin1')
  data.copy(frame, size.length)
  frame.write('\r\n', size.length + data.length, 'latin1')
  return frame
}

/** Writes the head of a response whose chunks the caller of this function encodes with `encodeChunk`. */
export function beginChunkedResponse (response: ServerResponse, status: number, rawHeaders: readonly string[]): void {
  response.writeHead(status, [...rawHeaders, 'Transfer-Encoding', 'chunked'])
  response.chunkedEncoding = false
}
