/** The answer to one caller, sent as a whole or event by event. */

import { type IncomingMessage, type ServerResponse } from 'node:http'

import { beginChunkedResponse, encodeChunk, LAST_CHUNK, type Clock } from '#jayfall/shared'

import { type AnswerHead } from './JayfallAnswerParser'
import { discardRequestBody } from './JayfallBodyReader'
import { type EventBatch } from './JayfallEventSplitter'
import { ANSWER_PIECE_BYTES } from './JayfallForwardingConstants'
import { endToEndHeaders } from './JayfallForwardingProtocol'
import { type HeldBody } from './JayfallHeldMemory'
import { type ReadPacer } from './JayfallReadPacer'
import { encodeOutcome, type RelayOutcome } from './JayfallRelayEnvelope'
import { type UnsentAnswer, type UnsentAnswers } from './JayfallUnsentAnswers'

/** A backend server's answer that has been received completely. */
export interface BufferedAnswer extends Pick<AnswerHead, 'status' | 'rawHeaders' | 'isSelfDelimited'> {
  readonly body: Buffer
  /** The memory of the body. */
  readonly held: HeldBody
}

const EXCLUDED_HEADERS: ReadonlySet<string> = new Set(['content-length'])

export class CallerAnswer {
  private readonly disconnectController = new AbortController()
  private readonly heldBodies: HeldBody[] = []
  private readonly closeCallbacks = new Set<() => void>()
  private isCloseObserved = false
  private hasEnded = false
  requestId: string | undefined
  /** The version of the server whose answer is sent. */
  serverVersion: string | undefined
  /** Identifier of the last event that was written. */
  lastEventId: string | undefined
  eventsWritten = 0
  /** Monotonic milliseconds of the first event; undefined before it. */
  firstEventAt: number | undefined
  /** The longest gap between two events, in milliseconds. */
  longestEventGap = 0
  private previousEventAt = 0

  /** @param isRelayed whether another instance receives the answer for its caller. */
  constructor (private readonly request: IncomingMessage, private readonly response: ServerResponse, private readonly clock: Clock, private readonly pacer: ReadPacer, private readonly unsent: UnsentAnswers, private readonly isClosing: () => boolean, private readonly isRelayed = false) {
    const onDisconnect = (): void => {
      if (!this.hasEnded) this.disconnectController.abort()
    }
    // The request releases its socket when the connection ends early, so the socket is kept here.
    const { socket } = request
    response.once('close', onDisconnect)
    request.once('aborted', onDisconnect)
    socket.once('end', onDisconnect)
    response.once('finish', () => {
      socket.off('end', onDisconnect)
      // The headers of a long stream may have been sent before the instance began to stop.
      if (isClosing()) socket.destroySoon()
    })
  }

  /** Aborted when the caller disconnected before its answer ended. */
  get callerDisconnected (): AbortSignal {
    return this.disconnectController.signal
  }

  get hasBegun (): boolean {
    return this.response.headersSent
  }

  /** Gives the memory of a body back when the answer was sent or its connection has ended. */
  releaseWhenSent (held: HeldBody): HeldBody {
    if (this.heldBodies.length === 0) this.onceClosed(() => { for (const body of this.heldBodies) body.release() })
    this.heldBodies.push(held)
    return held
  }

  sendBuffered ({ status, rawHeaders, body, isSelfDelimited, held }: BufferedAnswer): void {
    this.hasEnded = true
    this.releaseAllBut(held)
    held.detachFromPeer()
    const headers = [...this.copyHeaders(rawHeaders)]
    const hasBody = this.request.method !== 'HEAD' && status !== 204 && status !== 304
    if (hasBody && isSelfDelimited) headers.push('Content-Length', String(body.length))
    if (hasBody && !isSelfDelimited) this.delimitByConnectionClose()
    this.response.writeHead(status, headers)
    if (hasBody) this.sendPieces(body)
    else this.response.end()
    if (!this.response.writableEnded || this.response.writableLength > 0) this.watchUnsent('whole', held)
  }

  beginStream ({ status, rawHeaders }: AnswerHead): void {
    if (!this.response.headersSent) beginChunkedResponse(this.response, status, [...this.copyHeaders(rawHeaders)])
  }

  /** @returns false when the caller reads more slowly than events arrive; the next events should wait for `onceDrained`. */
  writeEvents ({ later, bytes, lastId }: EventBatch): boolean {
    const now = this.clock.monotonic()
    if (this.firstEventAt === undefined) this.firstEventAt = now
    else this.longestEventGap = Math.max(this.longestEventGap, now - this.previousEventAt)
    this.previousEventAt = now
    this.eventsWritten += later
    this.lastEventId = lastId ?? this.lastEventId
    return this.response.write(encodeChunk(bytes))
  }

  /** Writes what a stream has after its last event. */
  writeRest (bytes: Buffer): void {
    this.response.write(encodeChunk(bytes))
  }

  /** Calls `callback` when the caller has read what was written, or disconnects. */
  onceDrained (callback: () => void): void {
    // A connection that has ended takes nothing more, and was reported.
    if (this.request.socket.destroyed) return
    const held = this.unsent.holdStream(this.response.writableLength)
    const unsent: UnsentAnswer = { requestId: this.requestId, kind: 'stream', socket: this.request.socket, held }
    this.unsent.add(unsent)
    const settle = (): void => {
      this.response.off('drain', settle)
      this.closeCallbacks.delete(settle)
      this.unsent.remove(unsent)
      held.release()
      callback()
    }
    this.response.once('drain', settle)
    this.onceClosed(settle)
  }

  endStream (): void {
    this.hasEnded = true
    this.response.end(LAST_CHUNK)
    this.releaseAllBut()
    if (this.response.writableLength > 0) this.watchUnsent('stream', this.releaseWhenSent(this.unsent.holdStream(this.response.writableLength)))
  }

  /** Closes the connection, so that a partial answer does not look complete. */
  abortConnection (): void {
    this.hasEnded = true
    this.response.destroy()
  }

  /**
   * Sends an answer that the router itself produced.
   * @param outcome what it means to another instance that receives it.
   */
  sendRouterAnswer (status: number, headers: Readonly<Record<string, string>>, text: string, outcome?: RelayOutcome): void {
    this.hasEnded = true
    this.releaseAllBut()
    const body = Buffer.from(text)
    discardRequestBody(this.request, this.pacer)
    this.response.writeHead(status, { ...headers, 'Content-Type': 'text/plain; charset=utf-8', 'Content-Length': String(body.length), ...(this.isRelayed && outcome !== undefined ? Object.fromEntries([encodeOutcome(outcome)]) : {}), ...(this.isClosing() ? { Connection: 'close' } : {}) })
    this.response.end(body)
  }

  /** Hands a body to the connection in pieces, each when the connection has taken the previous one. */
  private sendPieces (body: Buffer, start = 0): void {
    let position = start
    while (position + ANSWER_PIECE_BYTES < body.length) {
      const piece = body.subarray(position, position + ANSWER_PIECE_BYTES)
      position += ANSWER_PIECE_BYTES
      if (this.response.write(piece)) continue
      this.response.once('drain', () => {
        this.unsent.recordProgress(this.request.socket)
        this.sendPieces(body, position)
      })
      return
    }
    this.response.end(body.subarray(position))
  }

  /** Watches what the connection has not taken, until it was sent or the connection has ended. */
  private watchUnsent (kind: UnsentAnswer['kind'], held: HeldBody): void {
    if (this.request.socket.destroyed) return
    const unsent: UnsentAnswer = { requestId: this.requestId, kind, socket: this.request.socket, held }
    this.unsent.add(unsent)
    this.onceClosed(() => this.unsent.remove(unsent))
  }

  /** Calls `callback` when the answer was sent or its connection has ended. */
  private onceClosed (callback: () => void): void {
    this.closeCallbacks.add(callback)
    if (this.isCloseObserved) return
    this.isCloseObserved = true
    const { response, request: { socket } } = this
    const settle = (): void => {
      socket.off('close', settle)
      response.off('close', settle)
      for (const close of this.closeCallbacks) close()
      this.closeCallbacks.clear()
    }
    response.once('close', settle)
    // The response to a pipelined request has no connection of its own that could close it.
    socket.once('close', settle)
  }

  /** Gives back the memory of bodies that are not needed any longer, such as that of the request. */
  private releaseAllBut (needed?: HeldBody): void {
    for (const held of this.heldBodies) if (held !== needed) held.release()
  }

  /** A length that the server did not give must not be added, because its answer may be incomplete. */
  private delimitByConnectionClose (): void {
    this.response.useChunkedEncodingByDefault = false
    this.response.shouldKeepAlive = false
  }

  private * copyHeaders (rawHeaders: readonly string[]): Generator<string> {
    for (const header of endToEndHeaders(rawHeaders, name => EXCLUDED_HEADERS.has(name))) yield * header
    if (this.isRelayed) yield * encodeOutcome({ kind: 'answered', version: this.serverVersion })
    if (this.isClosing()) yield * ['Connection', 'close']
  }
}
