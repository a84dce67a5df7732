/**
 * Parses one HTTP/1.1 answer of a backend server, as a state machine that does no network I/O.
 *
 * Every event of a stream passes through this code. It hands out the bytes of the body as they arrive and without
 * a stream in between, which costs a third of what the HTTP client of Node.js takes for an event. It is strict,
 * because a faulty server may send anything: what is no answer, or has two meanings, is an error.
 */

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

type ParserState = 'head' | 'sized' | 'chunk_size' | 'chunk_data' | 'chunk_end' | 'trailers' | 'until_close' | 'complete'

const HEAD_END = Buffer.from('\r\n\r\n')
const LINE_END = Buffer.from('\r\n')
const STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d\d)(?: [^\0\r\n]*)?$/
const HEADER_LINE = /^([!#$%&'*+\-.^_`|~\dA-Za-z]+):[ \t]*([^\0\r\n]*?)[ \t]*$/
const CONTENT_LENGTH = /^\d{1,15}$/
const CHUNK_LINE = /^([\da-f]{1,12})[ \t]*(?:;.*)?$/i
const NO_BYTES = Buffer.alloc(0)
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

export class AnswerParser {
  private state: ParserState = 'head'
  /** Received bytes of a head or line that is not complete yet. */
  private pending: Buffer = NO_BYTES
  /** Bytes that are left of a body or chunk of known size. */
  private remaining = 0
  /** Bytes of heads and trailers so far, with those of interim answers. */
  private headBytes = 0

  /** @param isHeadRequest whether the request was a HEAD request, whose answer has no body. */
  constructor (private readonly consumer: AnswerConsumer, private readonly isHeadRequest: boolean) {}

  get isComplete (): boolean {
    return this.state === 'complete'
  }

  /** Parses received bytes. @throws AnswerParseError */
  push (bytes: Buffer): void {
    let rest = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes])
    this.pending = NO_BYTES
    while (rest.length > 0 && this.state !== 'complete') {
      const next = this.parse(rest)
      if (next === undefined) {
        // The received bytes are in a buffer that is used again.
        this.pending = Buffer.from(rest)
        return
      }
      rest = next
    }
    // Bytes after an answer belong to no request. The connection that they came on carries no further one.
  }

  /** Ends the answer with its connection. @throws AnswerParseError when it is not complete. */
  finish (): void {
    if (this.state === 'complete') return
    if (this.state !== 'until_close') throw new AnswerParseError('the connection ended before the answer')
    this.complete()
  }

  /** Parses the next element and returns the bytes after it; undefined when the element is not complete. */
  private parse (bytes: Buffer): Buffer | undefined {
    switch (this.state) {
      case 'head': return this.parseHead(bytes)
      case 'sized':
      case 'chunk_data': return this.parseSized(bytes)
      case 'chunk_size': return this.parseChunkSize(bytes)
      case 'chunk_end': return this.parseChunkEnd(bytes)
      case 'trailers': return this.parseTrailer(bytes)
      default:
        this.consumer.onBody(bytes)
        return NO_BYTES
    }
  }

  private parseHead (bytes: Buffer): Buffer | undefined {
    const end = bytes.indexOf(HEAD_END)
    this.checkHeadBytes(this.headBytes + (end === -1 ? bytes.length : end))
    if (end === -1) return undefined
    this.headBytes += end + HEAD_END.length
    const [statusLine, ...lines] = bytes.toString('latin1', 0, end).split('\r\n')
    const status = Number(STATUS_LINE.exec(statusLine)?.[1] ?? NaN)
    if (Number.isNaN(status)) throw new AnswerParseError('the answer has no status line')
    const rest = bytes.subarray(end + HEAD_END.length)
    if (status === 101) throw new AnswerParseError('the answer switches protocols')
    // An interim answer; the final one follows.
    if (status < 200) return rest
    const rawHeaders = lines.flatMap(readHeaderLine)
    const headers = joinHeaders(rawHeaders)
    const isSelfDelimited = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
    const hasNoBody = this.isHeadRequest || BODYLESS_STATUSES.has(status)
    this.beginBody(headers, hasNoBody)
    this.consumer.onHead({ status, rawHeaders, headers, isSelfDelimited: isSelfDelimited || hasNoBody })
    if (hasNoBody || (this.state === 'sized' && this.remaining === 0)) this.complete()
    return rest
  }

  private beginBody (headers: Readonly<Record<string, string>>, hasNoBody: boolean): void {
    const { 'content-length': length, 'transfer-encoding': coding } = headers
    if (hasNoBody) return
    if (coding !== undefined) {
      if (coding.toLowerCase() !== 'chunked' || length !== undefined) throw new AnswerParseError('the length of the answer is ambiguous')
      this.state = 'chunk_size'
      return
    }
    if (length !== undefined && !CONTENT_LENGTH.test(length)) throw new AnswerParseError('the length of the answer is invalid')
    this.state = length === undefined ? 'until_close' : 'sized'
    this.remaining = Number(length ?? 0)
  }

  private parseSized (bytes: Buffer): Buffer {
    const length = Math.min(this.remaining, bytes.length)
    this.remaining -= length
    const isSized = this.state === 'sized'
    if (this.remaining === 0 && !isSized) this.state = 'chunk_end'
    this.consumer.onBody(bytes.subarray(0, length))
    if (this.remaining === 0 && isSized) this.complete()
    return bytes.subarray(length)
  }

  private parseChunkSize (bytes: Buffer): Buffer | undefined {
    const end = this.findLineEnd(bytes)
    if (end === -1) return undefined
    const size = CHUNK_LINE.exec(bytes.toString('latin1', 0, end))?.[1]
    if (size === undefined) throw new AnswerParseError('a chunk of the answer has no size')
    this.remaining = Number.parseInt(size, 16)
    this.state = this.remaining === 0 ? 'trailers' : 'chunk_data'
    return bytes.subarray(end + LINE_END.length)
  }

  private parseChunkEnd (bytes: Buffer): Buffer | undefined {
    if (bytes.length < LINE_END.length) return undefined
    if (!bytes.subarray(0, LINE_END.length).equals(LINE_END)) throw new AnswerParseError('a chunk of the answer is longer than its size')
    this.state = 'chunk_size'
    return bytes.subarray(LINE_END.length)
  }

  private parseTrailer (bytes: Buffer): Buffer | undefined {
    const end = this.findLineEnd(bytes)
    if (end === -1) return undefined
    this.headBytes += end + LINE_END.length
    this.checkHeadBytes(this.headBytes)
    if (end === 0) this.complete()
    return bytes.subarray(end + LINE_END.length)
  }

  private findLineEnd (bytes: Buffer): number {
    const end = bytes.indexOf(LINE_END)
    if ((end === -1 ? bytes.length : end) > MAXIMUM_CHUNK_LINE_BYTES) throw new AnswerParseError('a line of the answer is too long')
    return end
  }

  private checkHeadBytes (length: number): void {
    if (length > MAXIMUM_ANSWER_HEAD_BYTES) throw new AnswerParseError(`the head of the answer goes on after ${length} bytes`)
  }

  private complete (): void {
    this.state = 'complete'
    this.consumer.onEnd()
  }
}

function readHeaderLine (line: string): readonly [string, string] {
  const match = HEADER_LINE.exec(line)
  if (match === null) throw new AnswerParseError('a header of the answer is invalid')
  return [match[1], match[2]]
}

function joinHeaders (rawHeaders: readonly string[]): Readonly<Record<string, string>> {
  const headers = Object.create(null) as Record<string, string>
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase()
    headers[name] = headers[name] === undefined ? rawHeaders[index + 1] : `${headers[name]}, ${rawHeaders[index + 1]}`
  }
  return headers
}
