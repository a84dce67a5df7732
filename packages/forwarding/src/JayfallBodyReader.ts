/** Reads the body of a request or of an answer as a whole, with callbacks: an asynchronous iteration costs several times as much. */

import { type IncomingMessage } from 'node:http'

import { type BodyReceiver } from './JayfallBackendExchange'

/** A body, or why there is none: it is longer than allowed, or the connection ended before it did. */
export type BodyResult = Buffer | 'too_large' | 'broken'

export class BodyReader implements BodyReceiver {
  /** Resolves when the body has ended or cannot be read. */
  readonly result: Promise<BodyResult>
  private readonly chunks: Buffer[] = []
  private length = 0
  private resolve!: (result: BodyResult) => void

  /** @param limit maximum number of bytes; further ones are dropped. */
  constructor (private readonly limit: number) {
    this.result = new Promise(resolve => { this.resolve = resolve })
  }

  /** Number of bytes that have arrived. */
  get receivedBytes (): number {
    return this.length
  }

  onBytes (bytes: Buffer): void {
    this.length += bytes.length
    if (this.length <= this.limit) this.chunks.push(Buffer.from(bytes))
    else this.resolve('too_large')
  }

  onEnd (): void {
    this.resolve(Buffer.concat(this.chunks))
  }

  onFailure (): void {
    this.resolve('broken')
  }
}

/** Reads the body of a caller's request. */
export function readRequestBody (request: IncomingMessage, limit: number): Promise<BodyResult> {
  const reader = new BodyReader(limit)
  request.on('data', (bytes: Buffer) => reader.onBytes(bytes))
  request.once('end', () => request.complete ? reader.onEnd() : reader.onFailure())
  request.once('error', () => reader.onFailure())
  request.once('close', () => reader.onFailure())
  return reader.result
}
