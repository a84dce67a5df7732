/**
 * Reads an engine's event stream and checks that it is the expected one without a gap.
 *
 * Chunks are passed on as they arrive. Nearly every chunk holds exactly one event, so a chunk
 * is first compared with the expected identifier; only other chunks are split into events.
 */

import { AnswerReader, AnswerReaderFactory, type ReaderOptions, type StreamBreak } from './JayfallAnswerReader'
import { FIRST_TOKEN_LIMIT_MILLISECONDS, MINIMUM_SILENCE_MILLISECONDS, SILENCE_CHECK_MILLISECONDS, SILENCE_GAP_FACTOR } from './JayfallEntryConstants'

const EVENT_END = Buffer.from('\n\n')
const DONE_EVENT = 'data: [DONE]'

/** Opens readers that check every event. */
export class StreamReaderFactory extends AnswerReaderFactory {
  override open (options: ReaderOptions): AnswerReader {
    return new StreamReader(options)
  }
}

/** Reads one response. */
export class StreamReader extends AnswerReader {
  private rest: Buffer = Buffer.alloc(0)
  private final: Buffer = Buffer.alloc(0)
  private ended = false
  private nextIndex: number
  private chunks = 0
  private chunksAtCheck = 0
  private silentFor = 0
  private isPaused = false
  /** Milliseconds between recent chunks; unknown before the first. */
  private recentGap: number | undefined
  private readonly silenceTimer: NodeJS.Timeout
  private readonly prefix: string

  constructor (private readonly options: ReaderOptions) {
    super()
    const { response, streamId, nextIndex } = options
    this.nextIndex = nextIndex
    this.prefix = `id: ${streamId}:`
    response.on('data', (chunk: Buffer) => this.take(chunk))
    response.on('end', () => this.finish('closed'))
    response.on('error', () => this.finish('closed'))
    response.on('close', () => this.finish('closed'))
    // One check for many chunks costs less than a timer that each chunk sets back.
    this.silenceTimer = setInterval(() => this.checkSilence(), SILENCE_CHECK_MILLISECONDS)
  }

  override pause (): void {
    this.options.response.pause()
    this.isPaused = true
  }

  override resume (): void {
    this.silentFor = 0
    this.isPaused = false
    if (!this.ended) this.options.response.resume()
  }

  override stop (): void {
    this.ended = true
    clearInterval(this.silenceTimer)
    this.options.response.destroy()
  }

  private take (chunk: Buffer): void {
    if (this.ended) return
    this.chunks++
    if (this.rest.length === 0 && this.final.length === 0 && this.isSingleExpectedEvent(chunk)) {
      this.options.receiver.onEvents(chunk, this.nextIndex++)
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
      clearInterval(this.silenceTimer)
      this.options.receiver.onFinalEvents(Buffer.concat([this.final, event]), this.nextIndex - 1)
      return
    }
    const head = `${this.prefix}${this.nextIndex}\n`
    if (event.toString('latin1', 0, head.length) !== head) return this.finish('mismatch')
    if (isFinalEvent(event)) this.final = Buffer.concat([this.final, event])
    else this.options.receiver.onEvents(event, this.nextIndex)
    this.nextIndex++
  }

  private finish (reason: StreamBreak): void {
    if (this.ended) return
    this.stop()
    this.options.receiver.onInterruption(reason)
  }

  private checkSilence (): void {
    if (this.isPaused) return
    const arrived = this.chunks - this.chunksAtCheck
    this.chunksAtCheck = this.chunks
    if (arrived > 0) {
      this.recentGap = SILENCE_CHECK_MILLISECONDS / arrived
      this.silentFor = 0
      return
    }
    this.silentFor += SILENCE_CHECK_MILLISECONDS
    if (this.silentFor >= this.silenceLimit() * this.options.patience) this.finish('silent')
  }

  /** Milliseconds without a byte after which the connection is taken as silent. */
  private silenceLimit (): number {
    if (this.recentGap === undefined) return FIRST_TOKEN_LIMIT_MILLISECONDS
    return Math.max(MINIMUM_SILENCE_MILLISECONDS, SILENCE_GAP_FACTOR * this.recentGap)
  }
}

/** The event with the usage is held back until the bill is safe. */
function isFinalEvent (event: Buffer): boolean {
  return event.includes('"usage":{')
}
