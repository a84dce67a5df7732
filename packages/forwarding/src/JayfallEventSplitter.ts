/** Splits the bytes of an event stream into whole events, and reads their identifiers. */

const LINE_FEED = 0x0a
const IDENTIFIER_LINE = /^id:[ ]?(.*)$/m

/** A whole event as it was received, with its closing blank line. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** undefined when the event has none. */
  readonly id: string | undefined
}

export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0)

  /** Bytes of an event that has not ended. */
  get pendingBytes (): number {
    return this.rest.length
  }

  /** Takes bytes and yields the events that are whole now. */
  * push (chunk: Buffer): Generator<StreamEvent> {
    const buffer = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk])
    let start = 0
    for (let end = findEventEnd(buffer, start); end !== -1; end = findEventEnd(buffer, start)) {
      const bytes = buffer.subarray(start, end)
      start = end
      this.rest = buffer.subarray(start)
      yield { bytes, id: IDENTIFIER_LINE.exec(bytes.toString('utf8'))?.[1].trim() }
    }
    this.rest = buffer.subarray(start)
  }
}

/** The position after the next blank line, or -1. */
function findEventEnd (buffer: Buffer, start: number): number {
  for (let index = buffer.indexOf(LINE_FEED, start); index !== -1; index = buffer.indexOf(LINE_FEED, index + 1)) {
    if (buffer[index + 1] === LINE_FEED) return index + 2
    if (buffer[index + 1] === 0x0d && buffer[index + 2] === LINE_FEED) return index + 3
  }
  return -1
}
