/** Splits the bytes of a server-sent event stream into complete events and reads their identifiers. */

const LINE_FEED = 0x0a
const IDENTIFIER_LINE = /^id:[ ]?(.*)$/m

/** A complete event as received, with the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** The event's identifier; undefined when it has none. */
  readonly id: string | undefined
}

export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0)

  /** Number of bytes of the event that is not complete yet. */
  get pendingBytes (): number {
    return this.remainder.length
  }

  /** Adds received bytes and yields the events that are complete now. */
  * push (chunk: Buffer): Generator<StreamEvent> {
    const buffer = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk])
    let start = 0
    for (let end = findEventEnd(buffer, start); end !== -1; end = findEventEnd(buffer, start)) {
      const bytes = buffer.subarray(start, end)
      start = end
      this.remainder = buffer.subarray(start)
      yield { bytes, id: IDENTIFIER_LINE.exec(bytes.toString('utf8'))?.[1].trim() }
    }
    this.remainder = buffer.subarray(start)
  }
}

/** The position after the next blank line, or -1 when there is none. */
function findEventEnd (buffer: Buffer, start: number): number {
  for (let index = buffer.indexOf(LINE_FEED, start); index !== -1; index = buffer.indexOf(LINE_FEED, index + 1)) {
    if (buffer[index + 1] === LINE_FEED) return index + 2
    if (buffer[index + 1] === 0x0d && buffer[index + 2] === LINE_FEED) return index + 3
  }
  return -1
}
