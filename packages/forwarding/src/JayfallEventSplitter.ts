/** Splits the bytes of a server-sent event stream into complete events and reads their identifiers. */

const LINE_FEED = 0x0a
const IDENTIFIER_LINE = /^id:[ ]?(.*)$/m
const IDENTIFIER_FIELD = Buffer.from('id:')

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

  /** Adds received bytes and returns the events that are complete now. Their bytes are valid as long as those of `chunk`. */
  push (chunk: Buffer): readonly StreamEvent[] {
    const buffer = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEventEnd(buffer, start); end !== -1; end = findEventEnd(buffer, start)) {
      const bytes = buffer.subarray(start, end)
      start = end
      events.push({ bytes, id: readIdentifier(bytes) })
    }
    // The bytes of a read are only valid until the next one.
    this.remainder = Buffer.from(buffer.subarray(start))
    return events
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

function readIdentifier (bytes: Buffer): string | undefined {
  // The identifier is usually the first line, so the other lines need not be decoded.
  const text = bytes.subarray(0, IDENTIFIER_FIELD.length).equals(IDENTIFIER_FIELD) ? bytes.toString('utf8', 0, bytes.indexOf(LINE_FEED)) : bytes.toString('utf8')
  return IDENTIFIER_LINE.exec(text)?.[1].trim()
}
