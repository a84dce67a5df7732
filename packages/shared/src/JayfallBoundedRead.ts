/** Reads the answer of a service that the instance depends on, with limits on what the answer may cost. */

import { type Readable } from 'node:stream'

import { GrowingBuffer } from './JayfallGrowingBuffer'

export interface ReadLimits {
  readonly bytes: number
  /** Pieces in which the bytes may arrive. Each takes a call of the runtime, whatever its size. */
  readonly pieces: number
}

/** Reads a stream to its end. @throws Error when the stream fails, ends early or exceeds a limit; it is closed then. */
export function readBounded (stream: Readable, limits: ReadLimits): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new GrowingBuffer()
    let pieces = 0
    stream.on('data', (piece: Buffer) => {
      pieces++
      if (body.length + piece.length > limits.bytes || pieces > limits.pieces) stream.destroy(new Error(`the answer goes on after ${body.length} bytes in ${pieces} pieces`))
      else body.append(piece)
    })
    stream.once('end', () => resolve(body.take()))
    stream.once('error', reject)
    stream.once('close', () => reject(new Error('the answer ended early')))
  })
}
