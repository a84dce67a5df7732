/**
 * Parses one HTTP/1.1 answer of a backend server, as a state machine that does no network I/O.
 *
 * Every event of a stream passes through this code. It hands out the bytes of the body as they arrive and without
 * a stream in between, which costs a third of what the HTTP client of Node.js takes for an event. It is strict,
 * because a faulty server may send anything: what is no answer, or has two meanings, is an error.
 *
 * Each byte is looked at a fixed number of times, however the bytes are cut. All chunks of one read are handed out
 * together, because a call for each chunk costs many times as much as a chunk of a few bytes itself.
 */

import { GrowingBuffer } from '#jayfall/shared'

import { MAXIMUM_ANSWER_HEAD_BYTES, MAXIMUM_CHUNK_LINE_BYTES } from './JayfallForwardingConstants'

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number
  /** Names and values in turn, as received. */
  readonly rawHeaders: readonly string[]
  /** Values by lower-case name; those of a repeated header are joined by commas. */
  readonly headers: Readonly<Record<string, string>>
  /** Whether the end of the body is given by the headers rather than by the end of the connection. */
  readonly isSelfDelimited: boolean
}

/** Receives the parts of an answer in their order. */
export abstract class AnswerConsumer {
  abstract onHead (head: AnswerHead): void
  /** Called with bytes that are only valid during the call. */
  abstract onBody (bytes: Buffer): void
  abstract onEnd (): void
}

/** Reports bytes that are no valid answer, or an answer that ended early. */
export class AnswerParseError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'AnswerParseError'
  }
}

type ParserState = 'head' | 'sized' | 'chunk_line' | 'chunk_data' | 'chunk_end' | 'trailers' | 'until_close' | 'complete'
/** The part of a chunk line that the next byte belongs to. */
type ChunkLinePart = 'size' | 'blank' | 'extension'

const HEAD_END = Buffer.from('\r\n\r\n')
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const TAB = 0x09
const SPACE = 0x20
const SEMICOLON = 0x3b
const STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d\d)(?: [^\0\r\n]*)?$/
const HEADER_NAME = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/
const FORBIDDEN_IN_VALUE = /[\0\r\n]/
const CONTENT_LENGTH = /^\d{1,15}$/
const MAXIMUM_CHUNK_SIZE_DIGITS = 12
/** Portions of fewer bytes are copied faster by a loop than by a call. */
const LOOP_COPY_BYTES = 16
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304])
/** The value of each byte as a hexadecimal digit; -1 when it is none. */
const HEXADECIMAL_DIGITS = Int8Array.from({ length: 256 }, (_, byte) => /[\da-f]/i.test(String.fromCharCode(byte)) ? Number.parseInt(String.fromCharCode(byte), 16) : -1)
/** Where the chunks of one read are joined. All parsers share it, because each read is handed out before the next one. */
let joinedChunks: Buffer = Buffer.alloc(0)

export class AnswerParser {
  private state: ParserState = 'head'
  /** Received bytes of a head that is not complete yet. */
  private readonly pendingHead = new GrowingBuffer()
  /** Bytes that are left of a body or chunk of known size. */
  private remaining = 0
  /** Bytes of heads and trailers so far, with those of interim answers. */
  private headBytes = 0
  /** Bytes of the current chunk line or trailer. */
  private lineBytes = 0
  private linePart: ChunkLinePart = 'size'
  private sizeDigits = 0
  /** Whether the last byte of the current line was a carriage return. */
  private isAtLineEnd = false
  /** The body of the current read: a part of the received bytes, or of the joined chunks. */
  private body: Buffer | undefined
  private bodyStart = 0
  private bodyEnd = 0

  /** @param isHeadRequest whether the request was a HEAD request, whose answer has no body. */
  constructor (private readonly consumer: AnswerConsumer, private readonly isHeadRequest: boolean) {}

  get isComplete (): boolean {
    return this.state === 'complete'
  }

  /** Whether the end of the connection completes the answer. */
  get isEndedByConnection (): boolean {
    return this.state === 'until_close'
  }

  /** Parses received bytes. @throws AnswerParseError */
  push (bytes: Buffer): void {
    try {
      for (let position = 0; position < bytes.length && this.state !== 'complete';) position = this.parse(bytes, position)
      // Bytes after an answer belong to no request. The connection that they came on carries no further one.
    } finally {
      this.handOutBody()
    }
  }

  /** Ends the answer with its connection. @throws AnswerParseError when it is not complete. */
  finish (): void {
    if (this.state === 'complete') return
    if (this.state !== 'until_close') throw new AnswerParseError('the connection ended before the answer')
    this.complete()
  }

  /** Parses up to the end of the next element, or of the bytes, and returns the position after what it has parsed. */
  private parse (bytes: Buffer, start: number): number {
    switch (this.state) {
      case 'head': return this.parseHead(bytes, start)
      case 'sized':
      case 'chunk_data': return this.parseSized(bytes, start)
      case 'chunk_line': return this.parseChunkLine(bytes, start)
      case 'chunk_end': return this.parseChunkEnd(bytes, start)
      case 'trailers': return this.parseTrailers(bytes, start)
      default:
        this.addBody(bytes, start, bytes.length)
        return bytes.length
    }
  }

  private parseHead (bytes: Buffer, start: number): number {
    const known = this.pendingHead.length
    if (known === 0) {
      const end = bytes.indexOf(HEAD_END, start)
      this.checkHeadBytes(this.headBytes + (end === -1 ? bytes.length : end) - start)
      if (end !== -1) return this.readHead(bytes.toString('latin1', start, end)) + start
    }
    // What goes on beyond the limit needs not be kept.
    this.pendingHead.append(bytes.subarray(start, start + MAXIMUM_ANSWER_HEAD_BYTES + HEAD_END.length))
    const head = this.pendingHead.bytes
    const end = head.indexOf(HEAD_END, Math.max(0, known - HEAD_END.length + 1))
    this.checkHeadBytes(this.headBytes + (end === -1 ? head.length : end))
    if (end === -1) return bytes.length
    const text = head.toString('latin1', 0, end)
    this.pendingHead.discard(head.length)
    return this.readHead(text) - known + start
  }

  /** Reads a complete head and returns its number of bytes. */
  private readHead (text: string): number {
    const length = text.length + HEAD_END.length
    this.headBytes += length
    const [statusLine, ...lines] = text.split('\r\n')
    const status = Number(STATUS_LINE.exec(statusLine)?.[1] ?? NaN)
    if (Number.isNaN(status)) throw new AnswerParseError('the answer has no status line')
    if (status === 101) throw new AnswerParseError('the answer switches protocols')
    // An interim answer; the final one follows.
    if (status < 200) return length
    const rawHeaders = lines.flatMap(readHeaderLine)
    const headers = joinHeaders(rawHeaders)
    const isSelfDelimited = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
    const hasNoBody = this.isHeadRequest || BODYLESS_STATUSES.has(status)
    this.beginBody(headers, hasNoBody)
    this.consumer.onHead({ status, rawHeaders, headers, isSelfDelimited: isSelfDelimited || hasNoBody })
    if (hasNoBody || (this.state === 'sized' && this.remaining === 0)) this.complete()
    return length
  }

  private beginBody (headers: Readonly<Record<string, string>>, hasNoBody: boolean): void {
    const { 'content-length': length, 'transfer-encoding': coding } = headers
    if (hasNoBody) return
    if (coding !== undefined) {
      if (coding.toLowerCase() !== 'chunked' || length !== undefined) throw new AnswerParseError('the length of the answer is ambiguous')
      this.beginLine('chunk_line')
      return
    }
    if (length !== undefined && !CONTENT_LENGTH.test(length)) throw new AnswerParseError('the length of the answer is invalid')
    this.state = length === undefined ? 'until_close' : 'sized'
    this.remaining = Number(length ?? 0)
  }

  private parseSized (bytes: Buffer, start: number): number {
    const end = start + Math.min(this.remaining, bytes.length - start)
    this.remaining -= end - start
    const isSized = this.state === 'sized'
    if (this.remaining === 0 && !isSized) this.beginLine('chunk_end')
    this.addBody(bytes, start, end)
    if (this.remaining === 0 && isSized) this.complete()
    return end
  }

  private beginLine (state: 'chunk_line' | 'chunk_end' | 'trailers'): void {
    this.state = state
    this.lineBytes = 0
    this.linePart = 'size'
    this.sizeDigits = 0
    this.isAtLineEnd = false
  }

  private parseChunkLine (bytes: Buffer, start: number): number {
    for (let position = start; position < bytes.length; position++) {
      const byte = bytes[position]
      if (this.isAtLineEnd) {
        if (byte !== LINE_FEED || this.sizeDigits === 0) throw new AnswerParseError('a chunk of the answer has no size')
        if (this.remaining === 0) this.beginLine('trailers')
        else this.state = 'chunk_data'
        return position + 1
      }
      if (byte === CARRIAGE_RETURN) this.isAtLineEnd = true
      else this.readChunkLineByte(byte)
    }
    return bytes.length
  }

  private readChunkLineByte (byte: number): void {
    this.countLineByte()
    if (this.linePart === 'extension') {
      if (byte === LINE_FEED) throw new AnswerParseError('a chunk of the answer has no size')
      return
    }
    const digit = this.linePart === 'size' ? HEXADECIMAL_DIGITS[byte] : -1
    if (digit !== -1) {
      this.remaining = this.remaining * 16 + digit
      this.sizeDigits++
    } else if (byte === SPACE || byte === TAB) this.linePart = 'blank'
    else if (byte === SEMICOLON) this.linePart = 'extension'
    else throw new AnswerParseError('a chunk of the answer has no size')
    if (this.sizeDigits === 0 || this.sizeDigits > MAXIMUM_CHUNK_SIZE_DIGITS) throw new AnswerParseError('a chunk of the answer has no size')
  }

  private parseChunkEnd (bytes: Buffer, start: number): number {
    if (bytes[start] !== (this.isAtLineEnd ? LINE_FEED : CARRIAGE_RETURN)) throw new AnswerParseError('a chunk of the answer is longer than its size')
    if (this.isAtLineEnd) this.beginLine('chunk_line')
    else this.isAtLineEnd = true
    return start + 1
  }

  /** Passes over trailers up to the empty line that ends them. */
  private parseTrailers (bytes: Buffer, start: number): number {
    for (let position = start; position < bytes.length; position++) {
      const byte = bytes[position]
      this.checkHeadBytes(++this.headBytes)
      if (this.isAtLineEnd && byte === LINE_FEED) {
        if (this.lineBytes === 1) {
          this.complete()
          return position + 1
        }
        this.beginLine('trailers')
        continue
      }
      this.isAtLineEnd = byte === CARRIAGE_RETURN
      this.countLineByte()
    }
    return bytes.length
  }

  private countLineByte (): void {
    if (++this.lineBytes > MAXIMUM_CHUNK_LINE_BYTES) throw new AnswerParseError('a line of the answer is too long')
  }

  /** Adds a part of the received bytes to the body of this read. */
  private addBody (bytes: Buffer, start: number, end: number): void {
    if (this.body === undefined) {
      this.body = bytes
      this.bodyStart = start
      this.bodyEnd = end
      return
    }
    if (this.body === bytes) {
      if (joinedChunks.length < bytes.length) joinedChunks = Buffer.allocUnsafeSlow(bytes.length)
      this.body = joinedChunks
      const { bodyStart, bodyEnd } = this
      this.bodyStart = this.bodyEnd = 0
      this.copyToBody(bytes, bodyStart, bodyEnd)
    }
    this.copyToBody(bytes, start, end)
  }

  private copyToBody (bytes: Buffer, start: number, end: number): void {
    if (end - start < LOOP_COPY_BYTES) for (let position = start; position < end; position++) joinedChunks[this.bodyEnd + position - start] = bytes[position]
    else bytes.copy(joinedChunks, this.bodyEnd, start, end)
    this.bodyEnd += end - start
  }

  private handOutBody (): void {
    const { body, bodyStart, bodyEnd } = this
    this.body = undefined
    if (body !== undefined && bodyEnd > bodyStart) this.consumer.onBody(body.subarray(bodyStart, bodyEnd))
  }

  private checkHeadBytes (length: number): void {
    if (length > MAXIMUM_ANSWER_HEAD_BYTES) throw new AnswerParseError(`the head of the answer goes on after ${length} bytes`)
  }

  private complete (): void {
    this.handOutBody()
    this.state = 'complete'
    this.consumer.onEnd()
  }
}

function readHeaderLine (line: string): readonly [string, string] {
  const colon = line.indexOf(':')
  const name = line.slice(0, Math.max(0, colon))
  let [start, end] = [colon + 1, line.length]
  while (start < end && isBlank(line.charCodeAt(start))) start++
  while (end > start && isBlank(line.charCodeAt(end - 1))) end--
  const value = line.slice(start, end)
  if (!HEADER_NAME.test(name) || FORBIDDEN_IN_VALUE.test(value)) throw new AnswerParseError('a header of the answer is invalid')
  return [name, value]
}

function isBlank (code: number): boolean {
  return code === SPACE || code === TAB
}

function joinHeaders (rawHeaders: readonly string[]): Readonly<Record<string, string>> {
  const headers = Object.create(null) as Record<string, string>
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase()
    headers[name] = headers[name] === undefined ? rawHeaders[index + 1] : `${headers[name]}, ${rawHeaders[index + 1]}`
  }
  return headers
}
