/**
 * Splits the bytes of a server-sent event stream into complete events and reads their identifiers.
 *
 * Each byte is looked at once, however the bytes are cut, and the events of one read become one batch. Only blocks
 * of lines that carry something count as events. Blank lines, comments and unknown fields are kept back and passed on in
 * front of the next event, so a server that sends nothing else exceeds the limit on what is kept.
 */

import { GrowingBuffer } from '#jayfall/shared'

import { MAXIMUM_EVENT_NUMBER_DIGITS } from './JayfallForwardingConstants'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const SPACE = 0x20
const COLON = 0x3a
const DIGIT_ZERO = 0x30
const DIGIT_NINE = 0x39
const DATA_FIELD = Buffer.from('data')
const IDENTIFIER_FIELD = Buffer.from('id')
const NO_BYTES = Buffer.alloc(0)

/** The events that one read completed. */
export interface EventBatch {
  /** Number of complete events. */
  readonly received: number
  /** Number of those whose identifiers come after the one that was given. */
  readonly later: number
  /** These as received, with the blank lines that end them; valid until the next read. */
  readonly bytes: Buffer
  /** The identifier of the last of them; undefined when none has one. */
  readonly lastId: string | undefined
}

export class EventSplitter {
  /** Bytes of events that were not complete at the last read, after those that were. */
  private readonly pending = new GrowingBuffer()
  /** Number of pending bytes that have been handed out. */
  private handedOut = 0
  /** Positions behind what has been handed out. */
  private scanned = 0
  private lineStart = 0
  /** The end of the last block of lines. */
  private blockEnd = 0
  private hasData = false
  private id: number | undefined
  private text: Buffer = NO_BYTES

  /**
   * @param isNumbered whether every event must have a number, because the stream may be continued at another server.
   * Others are kept back like comments.
   */
  constructor (private readonly isNumbered: boolean) {}

  /** Number of bytes that are kept back. */
  get pendingBytes (): number {
    return this.pending.length - this.handedOut
  }

  /** Whether the bytes that are kept back end with a complete block of lines, or there are none. */
  get isAtBlockEnd (): boolean {
    return this.blockEnd === this.pendingBytes
  }

  /**
   * Adds received bytes and returns the events that are complete now.
   * @param lastEventId the last event that the caller has; earlier ones are left out.
   */
  push (chunk: Buffer, lastEventId: string | undefined): EventBatch {
    this.pending.discard(this.handedOut)
    this.handedOut = 0
    const isPending = this.pending.length > 0
    if (isPending) this.pending.append(chunk)
    this.text = isPending ? this.pending.bytes : chunk
    let lastNumber = lastEventId === undefined ? -Infinity : Number(lastEventId)
    let [received, later, start, runStart, runEnd] = [0, 0, 0, 0, 0]
    let lastId: number | undefined
    const runs: Buffer[] = []
    for (let end = this.findEventEnd(); end !== undefined; end = this.findEventEnd()) {
      received++
      if (this.id === undefined || this.id > lastNumber) {
        later++
        if (start !== runEnd) {
          if (runEnd > runStart) runs.push(this.text.subarray(runStart, runEnd))
          runStart = start
        }
        runEnd = end
        lastId = this.id ?? lastId
        lastNumber = this.id ?? lastNumber
      }
      start = end
      this.hasData = false
      this.id = undefined
    }
    if (runEnd > runStart) runs.push(this.text.subarray(runStart, runEnd))
    if (isPending) this.handedOut = start
    else if (start < chunk.length) this.pending.append(chunk.subarray(start))
    this.scanned -= start
    this.lineStart -= start
    this.blockEnd = Math.max(0, this.blockEnd - start)
    this.text = NO_BYTES
    return { received, later, bytes: runs.length === 1 ? runs[0] : Buffer.concat(runs), lastId: lastId === undefined ? undefined : String(lastId) }
  }

  /** Returns the bytes that are kept back, at the end of the stream. */
  takeRest (): Buffer {
    this.pending.discard(this.handedOut)
    this.handedOut = 0
    return this.pending.take()
  }

  /** Goes on to the end of the next event, which is the position after the blank line that ends it; undefined when it is not complete. */
  private findEventEnd (): number | undefined {
    const { text } = this
    for (let index = this.scanned; index < text.length; index++) {
      if (text[index] !== LINE_FEED) continue
      const { lineStart } = this
      this.lineStart = index + 1
      const lineEnd = index > lineStart && text[index - 1] === CARRIAGE_RETURN ? index - 1 : index
      if (lineEnd > lineStart) {
        this.readLine(lineStart, lineEnd)
        continue
      }
      this.blockEnd = index + 1
      if (!(this.isNumbered ? this.id !== undefined : this.hasData || this.id !== undefined)) continue
      this.scanned = index + 1
      return index + 1
    }
    this.scanned = text.length
    return undefined
  }

  private readLine (start: number, end: number): void {
    if (this.isField(DATA_FIELD, start, end)) this.hasData = true
    else if (this.isField(IDENTIFIER_FIELD, start, end)) this.id = this.readNumber(start + IDENTIFIER_FIELD.length + 1, end) ?? this.id
  }

  private isField (name: Buffer, start: number, end: number): boolean {
    const nameEnd = start + name.length
    if (nameEnd > end || (nameEnd < end && this.text[nameEnd] !== COLON)) return false
    for (let index = 0; index < name.length; index++) if (this.text[start + index] !== name[index]) return false
    return true
  }

  /** Reads the number of an event; undefined when the value is none. Nothing else may reach the header that names it to another server. */
  private readNumber (start: number, end: number): number | undefined {
    let [first, last] = [start, end]
    while (first < last && this.text[first] === SPACE) first++
    while (last > first && this.text[last - 1] === SPACE) last--
    if (first === last || last - first > MAXIMUM_EVENT_NUMBER_DIGITS) return undefined
    let value = 0
    for (let index = first; index < last; index++) {
      const byte = this.text[index]
      if (byte < DIGIT_ZERO || byte > DIGIT_NINE) return undefined
      value = value * 10 + byte - DIGIT_ZERO
    }
    return value
  }
}
