/** The answer to one caller, written whole or event by event. */

import { type IncomingMessage, type ServerResponse } from 'node:http'

import { type Clock } from '#jayfall/shared'

import { endToEndHeaders } from './JayfallForwardingProtocol'

/** A backend server's whole answer. */
export interface WholeAnswer {
  readonly status: number
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  /** Whether the server said where the body ends, other than by ending the connection. */
  readonly isFramed: boolean
}

const NOT_COPIED: ReadonlySet<string> = new Set(['content-length'])

export class CallerAnswer {
  private readonly left = new AbortController()
  private hasEnded = false
  /** The last event that was written. */
  lastEventId: string | undefined
  eventsWritten = 0
  /** Monotonic milliseconds of the first event; undefined before it. */
  firstEventAt: number | undefined
  /** The longest pause between two events in milliseconds. */
  longestPause = 0
  private previousEventAt = 0

  constructor (private readonly request: IncomingMessage, private readonly response: ServerResponse, private readonly clock: Clock, private readonly isClosing: () => boolean) {
    const onLeave = (): void => {
      if (!this.hasEnded) this.left.abort()
    }
    // The request lets go of its socket when the connection ends early.
    const { socket } = request
    response.once('close', onLeave)
    request.once('aborted', onLeave)
    socket.once('end', onLeave)
    response.once('finish', () => {
      socket.off('end', onLeave)
      // The head of a long stream may have been sent before the instance began to stop.
      if (isClosing()) socket.destroySoon()
    })
  }

  /** Aborted when the caller left before its answer ended. */
  get callerLeft (): AbortSignal {
    return this.left.signal
  }

  get hasBegun (): boolean {
    return this.response.headersSent
  }

  sendWhole ({ status, rawHeaders, body, isFramed }: WholeAnswer): void {
    this.hasEnded = true
    const headers = [...this.copyHeaders(rawHeaders)]
    const hasBody = this.request.method !== 'HEAD' && status !== 204 && status !== 304
    if (hasBody && isFramed) headers.push('Content-Length', String(body.length))
    if (hasBody && !isFramed) this.endWithConnection()
    this.response.writeHead(status, headers)
    this.response.end(hasBody ? body : undefined)
  }

  beginStream (status: number, rawHeaders: readonly string[]): void {
    if (this.response.headersSent) return
    this.response.writeHead(status, [...this.copyHeaders(rawHeaders), 'Transfer-Encoding', 'chunked'])
  }

  /** @returns false when the caller reads more slowly than events arrive; wait for `drained` then. */
  writeEvent (bytes: Buffer, id: string | undefined): boolean {
    this.lastEventId = id ?? this.lastEventId
    this.eventsWritten++
    const now = this.clock.monotonic()
    if (this.firstEventAt === undefined) this.firstEventAt = now
    else this.longestPause = Math.max(this.longestPause, now - this.previousEventAt)
    this.previousEventAt = now
    return this.response.write(bytes)
  }

  drained (): Promise<void> {
    return new Promise(resolve => {
      this.response.once('drain', resolve)
      this.response.once('close', resolve)
    })
  }

  endStream (): void {
    this.hasEnded = true
    this.response.end()
  }

  /** Breaks the connection off, so that a partial answer does not look complete. */
  cut (): void {
    this.hasEnded = true
    this.response.destroy()
  }

  /** Sends an answer of the router's own. */
  sendOwn (status: number, headers: Readonly<Record<string, string>>, text: string): void {
    this.hasEnded = true
    const body = Buffer.from(text)
    // What is left of the request's body is read and dropped, so that closing does not reset the connection before the answer arrives.
    this.request.resume()
    this.response.writeHead(status, { ...headers, 'Content-Type': 'text/plain; charset=utf-8', 'Content-Length': String(body.length), ...(this.isClosing() ? { Connection: 'close' } : {}) })
    this.response.end(body)
  }

  /** A length that the server did not give must not be made up, as its answer may have been cut. */
  private endWithConnection (): void {
    this.response.useChunkedEncodingByDefault = false
    this.response.shouldKeepAlive = false
  }

  private * copyHeaders (rawHeaders: readonly string[]): Generator<string> {
    for (const header of endToEndHeaders(rawHeaders, name => NOT_COPIED.has(name))) yield * header
    if (this.isClosing()) yield * ['Connection', 'close']
  }
}
