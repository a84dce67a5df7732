/**
 * One HTTP exchange with a backend server, on a connection of its own.
 *
 * A connection that carries a single request cannot deliver the answer to another one, and a failure to
 * open it proves that nothing was sent. Late or additional answers are discarded with the connection.
 *
 * An answer whose end is given by the end of its connection is complete only when the server ended the connection
 * itself and the request had been sent. The connection stays half open until that is known.
 */

import * as net from 'node:net'

import { confirmConnectionEnd, GrowingBuffer, messageOf } from '#jayfall/shared'

import { AnswerConsumer, AnswerParser, type AnswerHead } from './JayfallAnswerParser'
import { CONNECT_TIMEOUT_MILLISECONDS } from './JayfallForwardingConstants'
import { type PacedReader, type ReadPacer } from './JayfallReadPacer'

export interface ExchangeRequest {
  readonly method: string
  /** IP address and port. */
  readonly address: string
  /** Path and query as the caller sent them. */
  readonly path: string
  /** Names and values in turn. */
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  /** Local IP address of the connection; chosen by the operating system by default. */
  readonly localAddress?: string
  /** Divides the time for received bytes between peers; bytes are read as they come by default. */
  readonly pacer?: ReadPacer
  /** Called when the connection was opened. */
  readonly onOpened?: () => void
}

/** Why an exchange gave no complete answer: nothing was sent, or the connection failed after it had been opened. */
export type ExchangeFailure = 'unsent' | 'broken'

/** Reports that an exchange failed. */
export class ExchangeError extends Error {
  constructor (readonly failure: ExchangeFailure, message: string, cause?: unknown) {
    super(message, { cause })
    this.name = 'ExchangeError'
  }
}

/** Receives the body of an answer. Either `onEnd` or `onFailure` is called, exactly once. */
export interface BodyReceiver {
  /** @param bytes are only valid during the call. */
  onBytes (bytes: Buffer): void
  /** The body is complete. */
  onEnd (): void
  onFailure (error: ExchangeError): void
}

const READ_BUFFER_BYTES = 64 * 1024
/** All connections read into one buffer, because each read is processed before the next one. */
const READ_BUFFER = Buffer.allocUnsafe(READ_BUFFER_BYTES)
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set(['GET', 'HEAD'])

export class BackendExchange extends AnswerConsumer implements PacedReader {
  private readonly socket: net.Socket
  private readonly parser: AnswerParser
  private isConnected = false
  private head: AnswerHead | undefined
  private receiver: BodyReceiver | undefined
  /** Parts of the body that arrived before their receiver was known. */
  private readonly earlyBytes = new GrowingBuffer()
  private failure: ExchangeError | undefined
  private isDestroyed = false
  private isPausedByReceiver = false
  private isPausedByPacer = false

  private constructor (private readonly request: ExchangeRequest, private readonly onAnswer: (head: AnswerHead) => void, private readonly onFailure: (error: ExchangeError) => void) {
    super()
    this.parser = new AnswerParser(this, request.method === 'HEAD')
    const [host, port] = request.address.split(':')
    const onread = { buffer: READ_BUFFER, callback: (length: number, buffer: Uint8Array) => this.receive((buffer as Buffer).subarray(0, length)) }
    this.socket = net.connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true, localAddress: request.localAddress, onread })
    // After the process was paused, timers run before the connections that were opened meanwhile are noticed,
    // so the check is deferred until pending I/O events have been processed.
    const connectTimer = setTimeout(() => setImmediate(() => {
      if (!this.isConnected) this.fail('the connection was not opened in time')
    }), CONNECT_TIMEOUT_MILLISECONDS)
    this.socket.once('connect', () => {
      clearTimeout(connectTimer)
      this.isConnected = true
      request.onOpened?.()
    })
    this.socket.once('end', () => this.finish())
    this.socket.once('error', error => this.fail(error.message, error))
    this.socket.once('close', () => {
      clearTimeout(connectTimer)
      this.fail('the connection was closed')
    })
    this.send(request)
  }

  /** Sends a request. Either `onAnswer` or `onFailure` is called, exactly once. */
  static open (request: ExchangeRequest, onAnswer: (head: AnswerHead) => void, onFailure: (error: ExchangeError) => void): BackendExchange {
    return new BackendExchange(request, onAnswer, onFailure)
  }

  /** Whether the whole answer has arrived. */
  get isComplete (): boolean {
    return this.parser.isComplete
  }

  /** Whether the rest of the answer waits because its server has used up its time of the thread. */
  get isHeldUp (): boolean {
    return this.isPausedByPacer
  }

  /** Passes the body of the answer to a receiver, beginning with what has arrived already. */
  readBody (receiver: BodyReceiver): void {
    this.receiver = receiver
    if (this.earlyBytes.length > 0) receiver.onBytes(this.earlyBytes.take())
    if (this.parser.isComplete) receiver.onEnd()
    else if (this.failure !== undefined) receiver.onFailure(this.failure)
  }

  /** Stops reading until `resume`, so that the server has to wait. */
  pause (): void {
    this.isPausedByReceiver = true
    this.socket.pause()
  }

  resume (): void {
    this.isPausedByReceiver = false
    this.resumeSocket()
  }

  pauseReading (): void {
    this.isPausedByPacer = true
    this.socket.pause()
  }

  resumeReading (): void {
    this.isPausedByPacer = false
    this.resumeSocket()
  }

  /** Ends the exchange and closes its connection immediately, in any state. */
  destroy (): void {
    this.isDestroyed = true
    this.receiver = undefined
    this.closeSocket()
  }

  override onHead (head: AnswerHead): void {
    this.head = head
    this.onAnswer(head)
  }

  override onBody (bytes: Buffer): void {
    if (this.receiver === undefined) this.earlyBytes.append(bytes)
    else this.receiver.onBytes(bytes)
  }

  override onEnd (): void {
    this.receiver?.onEnd()
  }

  private send ({ method, path, rawHeaders, body }: ExchangeRequest): void {
    const lines = [`${method} ${path} HTTP/1.1`]
    for (let index = 0; index < rawHeaders.length; index += 2) lines.push(`${rawHeaders[index]}: ${rawHeaders[index + 1]}`)
    const hasLength = rawHeaders.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length')
    if (!hasLength && !METHODS_WITHOUT_BODY.has(method)) lines.push(`Content-Length: ${body.length}`)
    lines.push('Connection: close', '', '')
    this.socket.cork()
    this.socket.write(lines.join('\r\n'), 'latin1')
    if (body.length > 0) this.socket.write(body)
    this.socket.uncork()
  }

  /** @returns true, so that the socket goes on reading. */
  private receive (bytes: Buffer): boolean {
    if (this.isDestroyed) return true
    const { pacer, address } = this.request
    const parse = (): void => this.tryParse(() => this.parser.push(bytes))
    if (pacer === undefined) parse()
    else pacer.process(address, this, bytes.length, parse)
    return true
  }

  /** Handles the end of the connection, which may be a reset. */
  private finish (): void {
    if (this.isDestroyed || this.failure !== undefined) return
    if (!this.parser.isEndedByConnection) return this.completeAnswer()
    confirmConnectionEnd(this.socket, error => {
      if (error !== undefined) this.fail(error.message, error)
      else if (!this.isDestroyed && this.failure === undefined) this.completeAnswer()
    })
  }

  private completeAnswer (): void {
    this.tryParse(() => this.parser.finish())
    this.closeSocket()
  }

  private tryParse (parse: () => void): void {
    try {
      parse()
    } catch (error) {
      this.fail(messageOf(error), error)
    }
  }

  private fail (message: string, cause?: unknown): void {
    if (this.isDestroyed || this.failure !== undefined || this.parser.isComplete) return
    this.failure = new ExchangeError(this.isConnected ? 'broken' : 'unsent', message, cause)
    this.closeSocket()
    if (this.head === undefined) this.onFailure(this.failure)
    else this.receiver?.onFailure(this.failure)
  }

  private resumeSocket (): void {
    if (!this.isPausedByReceiver && !this.isPausedByPacer) this.socket.resume()
  }

  private closeSocket (): void {
    this.request.pacer?.forget(this.request.address, this)
    this.socket.destroy()
  }
}
