/**
 * Reads an engine's event stream and checks that it is the expected one without a gap.
 *
 * Chunks are passed on as they arrive. Nearly every chunk holds exactly one event, so a chunk
 * is first compared with the expected identifier; only other chunks are split into events.
 */

import { type IncomingMessage } from 'node:http'

const EVENT_END = Buffer.from('\n\n')
const DONE_EVENT = 'data: [DONE]'

/** Why a stream ended before its last event. */
export type StreamBreak = 'closed' | 'mismatch' | 'silent'

/** Takes what a reader reads. */
export interface StreamReceiver {
  /** One or more whole events, as they arrived; `index` is that of the last. */
  onEvents (raw: Buffer, index: number): void
  /** The events that carry the usage and end the stream, as they arrived. */
  onFinal (raw: Buffer, index: number): void
  onBreak (reason: StreamBreak): void
}

/** Reads one response. */
export class StreamReader {
  private rest: Buffer = Buffer.alloc(0)
  private final: Buffer = Buffer.alloc(0)
  private ended = false
  private silenceTimer: NodeJS.Timeout | undefined
  private readonly prefix: string

  /**
   * @param nextIndex index of the first event that is expected.
   * @param silenceLimit milliseconds without a byte after which the connection is taken as silent.
   */
  constructor (
    private readonly response: IncomingMessage,
    streamId: string,
    private nextIndex: number,
    private readonly silenceLimit: () => number,
    private readonly receiver: StreamReceiver
  ) {
    this.prefix = `id: ${streamId}:`
    response.on('data', (chunk: Buffer) => this.take(chunk))
    response.on('end', () => this.finish('closed'))
    response.on('error', () => this.finish('closed'))
    response.on('close', () => this.finish('closed'))
    this.watchSilence()
  }

  /** Reads nothing until `resume`; meanwhile the connection is not taken as silent. */
  pause (): void {
    this.response.pause()
    clearTimeout(this.silenceTimer)
  }

  resume (): void {
    if (this.ended) return
    this.watchSilence()
    this.response.resume()
  }

  /** Stops reading and closes the connection. */
  stop (): void {
    this.ended = true
    clearTimeout(this.silenceTimer)
    this.response.destroy()
  }

  private take (chunk: Buffer): void {
    if (this.ended) return
    this.silenceTimer?.refresh()
    if (this.rest.length === 0 && this.final.length === 0 && this.isSingleExpectedEvent(chunk)) {
      this.receiver.onEvents(chunk, this.nextIndex++)
    } else {
      this.split(this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]))
    }
  }

  private isSingleExpectedEvent (chunk: Buffer): boolean {
    const head = `${this.prefix}${this.nextIndex}\n`
    return chunk.indexOf(EVENT_END) === chunk.length - EVENT_END.length &&
      chunk.toString('latin1', 0, head.length) === head && !isFinalEvent(chunk)
  }

  private split (buffer: Buffer): void {
    let start = 0
    for (let end = buffer.indexOf(EVENT_END); end !== -1 && !this.ended; end = buffer.indexOf(EVENT_END, start)) {
      this.takeEvent(buffer.subarray(start, end + EVENT_END.length))
      start = end + EVENT_END.length
    }
    this.rest = buffer.subarray(start)
  }

  private takeEvent (event: Buffer): void {
    if (event.toString('latin1', 0, DONE_EVENT.length) === DONE_EVENT) {
      this.ended = true
      clearTimeout(this.silenceTimer)
      this.receiver.onFinal(Buffer.concat([this.final, event]), this.nextIndex - 1)
      return
    }
    const head = `${this.prefix}${this.nextIndex}\n`
    if (event.toString('latin1', 0, head.length) !== head) return this.finish('mismatch')
    if (isFinalEvent(event)) this.final = Buffer.concat([this.final, event])
    else this.receiver.onEvents(event, this.nextIndex)
    this.nextIndex++
  }

  private finish (reason: StreamBreak): void {
    if (this.ended) return
    this.stop()
    this.receiver.onBreak(reason)
  }

  private watchSilence (): void {
    this.silenceTimer = setTimeout(() => this.finish('silent'), this.silenceLimit())
  }
}

/** The event with the usage is held back until the bill is safe. */
function isFinalEvent (event: Buffer): boolean {
  return event.includes('"usage":{')
}
