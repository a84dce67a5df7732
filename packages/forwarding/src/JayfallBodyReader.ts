/** Reads the body of a request or of an answer as a whole, with callbacks: an asynchronous iteration costs several times as much. */

import { type IncomingMessage } from 'node:http'

import { GrowingBuffer } from '#jayfall/shared'

import { type BodyReceiver } from './JayfallBackendExchange'
import { MAXIMUM_DISCARDED_BYTES } from './JayfallForwardingConstants'
import { type HeldBody } from './JayfallHeldMemory'
import { type PacedReader, type ReadPacer } from './JayfallReadPacer'

/** A body, or why there is none: it is longer than allowed, there is no memory for it, or the connection ended before it did. */
export type BodyResult = Buffer | 'too_large' | 'no_memory' | 'broken'

/** What a body that is being read has come to. */
export interface BodyProgress {
  readonly receivedBytes: () => number
  /** Whether the rest waits because its server has used up its time of the thread. */
  readonly isHeldUp: () => boolean
}

export const NO_ANSWER_YET: BodyProgress = { receivedBytes: () => 0, isHeldUp: () => false }

/** Limits on what a body may use. */
export interface BodyLimits {
  /** Maximum number of bytes; further ones are dropped. */
  readonly bytes: number
  /** The memory of the body. */
  readonly held: HeldBody
}

export class BodyReader implements BodyReceiver {
  /** Resolves when the body has ended or cannot be read. */
  readonly result: Promise<BodyResult>
  private readonly body = new GrowingBuffer()
  private length = 0
  private isSettled = false
  private resolve!: (result: BodyResult) => void

  constructor (private readonly limits: BodyLimits) {
    this.result = new Promise(resolve => { this.resolve = resolve })
  }

  /** Number of bytes that have arrived. */
  get receivedBytes (): number {
    return this.length
  }

  onBytes (bytes: Buffer): void {
    this.length += bytes.length
    if (this.isSettled) return
    if (this.length > this.limits.bytes) return this.fail('too_large')
    if (!this.limits.held.resize(Math.max(this.length, this.body.capacity))) return this.fail('no_memory')
    this.body.append(bytes)
  }

  onEnd (): void {
    if (this.isSettled) return
    this.isSettled = true
    this.resolve(this.body.take())
  }

  onFailure (): void {
    this.fail('broken')
  }

  private fail (result: Exclude<BodyResult, Buffer>): void {
    if (this.isSettled) return
    this.isSettled = true
    this.body.take()
    this.limits.held.release()
    this.resolve(result)
  }
}

/**
 * The connection of a caller whose body arrives. Its bytes wait in the connection: in the request they would be kept in
 * the pieces in which they came, at a hundred times the size of the smallest.
 */
class BodyConnection implements PacedReader {
  private readonly peer: string
  private readonly socket: IncomingMessage['socket']

  private isPaused = false

  constructor (private readonly request: IncomingMessage, private readonly pacer: ReadPacer, private readonly onBytes: (bytes: Buffer) => void) {
    this.socket = request.socket
    this.peer = `${this.socket.remoteAddress}:${this.socket.remotePort}`
  }

  /** Begins to read. */
  start (): void {
    const { request, pacer } = this
    request.on('data', (bytes: Buffer) => pacer.process(this.peer, this, bytes.length, () => this.onBytes(bytes)))
    // A request that flows resumes its connection after each piece.
    const read = request._read.bind(request)
    request._read = size => { if (!this.isPaused) read(size) }
    request.once('close', () => this.release())
  }

  pauseReading (): void {
    this.isPaused = true
    this.socket.pause()
  }

  resumeReading (): void {
    this.isPaused = false
    this.socket.resume()
  }

  /** The next request on the connection does not wait for this one. */
  private release (): void {
    this.pacer.forget(this.peer, this)
    if (this.isPaused) this.resumeReading()
  }
}

/** Reads the body of a caller's request. */
export function readRequestBody (request: IncomingMessage, limits: BodyLimits, pacer: ReadPacer): Promise<BodyResult> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > limits.bytes) return Promise.resolve('too_large')
  // A body that there is no memory for is refused before it is read.
  if (!limits.held.resize(declared)) return Promise.resolve('no_memory')
  const reader = new BodyReader(limits)
  new BodyConnection(request, pacer, bytes => reader.onBytes(bytes)).start()
  request.once('end', () => request.complete ? reader.onEnd() : reader.onFailure())
  request.once('error', () => reader.onFailure())
  request.once('close', () => reader.onFailure())
  return reader.result
}

/** Reads and drops what is left of a body after its request was answered, because closing with unread bytes would reset the connection before the answer arrives. */
export function discardRequestBody (request: IncomingMessage, pacer: ReadPacer): void {
  // The reader of the body drops the rest itself.
  if (request.complete || request.listenerCount('data') > 0) {
    request.resume()
    return
  }
  let discarded = 0
  new BodyConnection(request, pacer, bytes => {
    discarded += bytes.length
    if (discarded > MAXIMUM_DISCARDED_BYTES) request.destroy()
  }).start()
}
