/**
 * Reads an engine's event stream, and validates that the events belong to the expected stream and have no gap.
 *
 * Chunks are forwarded as they arrive. Nearly every chunk contains exactly one event. A chunk is therefore first
 * compared with the expected event identifier, and is only split into events when it does not match.
 */

import { AnswerReader, AnswerReaderFactory, type ReaderOptions, type StreamInterruption } from './JayfallAnswerReader'
import { FIRST_TOKEN_LIMIT_MILLISECONDS, MINIMUM_SILENCE_MILLISECONDS, SILENCE_CHECK_MILLISECONDS, SILENCE_GAP_FACTOR } from './JayfallEntryConstants'

const EVENT_END = Buffer.from('\n\n')
const DONE_EVENT = 'data: [DONE]'

/** Creates readers that validate every event. */
export class ValidatingStreamReaderFactory extends AnswerReaderFactory {
  override open (options: ReaderOptions): AnswerReader {
    return new ValidatingStreamReader(options)
  }
}

/** Reads and validates the event stream of one response. */
export class ValidatingStreamReader extends AnswerReader {
  /** Start of an event whose end has not arrived. */
  private partialEvent: Buffer = Buffer.alloc(0)
  /** Events with the token usage, which are kept back until the stream ends. */
  private finalEvents: Buffer = Buffer.alloc(0)
  private hasEnded = false
  private nextIndex: number
  private chunkCount = 0
  private chunkCountAtLastCheck = 0
  private silentMilliseconds = 0
  private isPaused = false
  /** Mean milliseconds between recent chunks; undefined before the first chunk. */
  private recentGapMilliseconds: number | undefined
  private readonly silenceTimer: NodeJS.Timeout
  /** Line of an event identifier without the index. */
  private readonly eventIdPrefix: string

  constructor (private readonly options: ReaderOptions) {
    super()
    const { response, streamId, nextIndex } = options
    this.nextIndex = nextIndex
    this.eventIdPrefix = `id: ${streamId}:`
    response.on('data', (chunk: Buffer) => this.handleChunk(chunk))
    response.on('end', () => this.interrupt('closed'))
    response.on('error', () => this.interrupt('closed'))
    response.on('close', () => this.interrupt('closed'))
    // A periodic check costs less than a timer that each chunk resets.
    this.silenceTimer = setInterval(() => this.checkSilence(), SILENCE_CHECK_MILLISECONDS)
  }

  override pause (): void {
    this.options.response.pause()
    this.isPaused = true
  }

  override resume (): void {
    this.silentMilliseconds = 0
    this.isPaused = false
    if (!this.hasEnded) this.options.response.resume()
  }

  override stop (): void {
    this.hasEnded = true
    clearInterval(this.silenceTimer)
    this.options.response.destroy()
  }

  private handleChunk (chunk: Buffer): void {
    if (this.hasEnded) return
    this.chunkCount++
    if (this.partialEvent.length === 0 && this.finalEvents.length === 0 && this.isSingleExpectedEvent(chunk)) {
      this.options.receiver.onEvents(chunk, this.nextIndex++)
    } else {
      this.handleEvents(this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk]))
    }
  }

  private isSingleExpectedEvent (chunk: Buffer): boolean {
    const expectedIdLine = `${this.eventIdPrefix}${this.nextIndex}\n`
    return chunk.indexOf(EVENT_END) === chunk.length - EVENT_END.length &&
      chunk.toString('latin1', 0, expectedIdLine.length) === expectedIdLine && !isFinalEvent(chunk)
  }

  /** Handles the complete events in `buffer`, and stores the rest as a partial event. */
  private handleEvents (buffer: Buffer): void {
    let start = 0
    for (let end = buffer.indexOf(EVENT_END); end !== -1 && !this.hasEnded; end = buffer.indexOf(EVENT_END, start)) {
      this.handleEvent(buffer.subarray(start, end + EVENT_END.length))
      start = end + EVENT_END.length
    }
    this.partialEvent = buffer.subarray(start)
  }

  private handleEvent (event: Buffer): void {
    if (event.toString('latin1', 0, DONE_EVENT.length) === DONE_EVENT) {
      this.hasEnded = true
      clearInterval(this.silenceTimer)
      this.options.receiver.onFinalEvents(Buffer.concat([this.finalEvents, event]), this.nextIndex - 1)
      return
    }
    const expectedIdLine = `${this.eventIdPrefix}${this.nextIndex}\n`
    if (event.toString('latin1', 0, expectedIdLine.length) !== expectedIdLine) return this.interrupt('mismatch')
    if (isFinalEvent(event)) this.finalEvents = Buffer.concat([this.finalEvents, event])
    else this.options.receiver.onEvents(event, this.nextIndex)
    this.nextIndex++
  }

  /** Stops reading and reports why the stream ended early. */
  private interrupt (reason: StreamInterruption): void {
    if (this.hasEnded) return
    this.stop()
    this.options.receiver.onInterruption(reason)
  }

  private checkSilence (): void {
    if (this.isPaused) return
    const newChunkCount = this.chunkCount - this.chunkCountAtLastCheck
    this.chunkCountAtLastCheck = this.chunkCount
    if (newChunkCount > 0) {
      this.recentGapMilliseconds = SILENCE_CHECK_MILLISECONDS / newChunkCount
      this.silentMilliseconds = 0
      return
    }
    this.silentMilliseconds += SILENCE_CHECK_MILLISECONDS
    if (this.silentMilliseconds >= this.silenceLimitMilliseconds() * this.options.patience) this.interrupt('silent')
  }

  /** Milliseconds without data after which the connection counts as silent. */
  private silenceLimitMilliseconds (): number {
    if (this.recentGapMilliseconds === undefined) return FIRST_TOKEN_LIMIT_MILLISECONDS
    return Math.max(MINIMUM_SILENCE_MILLISECONDS, SILENCE_GAP_FACTOR * this.recentGapMilliseconds)
  }
}

/** Whether an event contains the token usage. Such an event is kept back until the bill is durable. */
function isFinalEvent (event: Buffer): boolean {
  return event.includes('"usage":{')
}
