/**
 * Relays the events of one backend server's stream to the caller as they arrive.
 *
 * Every token event takes this path, so it uses callbacks and one timer for the whole stream. An asynchronous
 * iteration with a wait for each event costs several times as much as the relay itself.
 *
 * Only complete events that the caller does not have yet count as progress: a stalled server may go on sending
 * single bytes, comments or blank lines. A stream without progress ends as silent when another server can continue it.
 * Otherwise it may go on until its deadline, because a slow stream is better than none.
 */

import { type Clock } from '#jayfall/shared'

import { type AnswerHead } from './JayfallAnswerParser'
import { type BackendExchange, type BodyReceiver } from './JayfallBackendExchange'
import { type CallerAnswer } from './JayfallCallerAnswer'
import { EventSplitter, type EventBatch } from './JayfallEventSplitter'
import { MAXIMUM_EVENT_BYTES, MAXIMUM_STREAM_BYTES } from './JayfallForwardingConstants'

/** How a relay ended. */
export type RelayEnd =
  /** The body ended. `isWhole`: whether it ended with a complete event. */
  | { readonly kind: 'ended', readonly isWhole: boolean }
  | { readonly kind: 'broken', readonly cause: string }
  /** There was no progress for too long. */
  | { readonly kind: 'silent' }
  | { readonly kind: 'expired' }
  /** One of the stop signals was aborted. */
  | { readonly kind: 'stopped' }

export interface StreamRelayParts {
  readonly exchange: BackendExchange
  readonly head: AnswerHead
  readonly answer: CallerAnswer
  readonly clock: Clock
  /** Monotonic milliseconds at which the relay ends at the latest. */
  readonly deadline: number
  /** Milliseconds without a first event after which the stream counts as silent. */
  readonly firstEventTimeout: number
  /** Milliseconds without a further event after which the stream counts as silent. */
  readonly eventGapTimeout: number
  readonly stopSignals: readonly AbortSignal[]
  /** Whether another server may continue the stream after an event, so that each event needs a number. */
  readonly isResumable: boolean
  /** Whether another server can continue the stream now. */
  readonly isReplaceable: () => boolean
  /** Called when bytes arrive from the server. */
  readonly onBytes: () => void
  /** Called with the number of events that the server has sent. */
  readonly onEvents: (count: number) => void
}

export class StreamRelay implements BodyReceiver {
  private readonly splitter: EventSplitter
  private readonly onStop = (): void => this.finish({ kind: 'stopped' })
  private resolve!: (end: RelayEnd) => void
  private isFinished = false
  private isCallerSlow = false
  /** Time of the last event that the caller did not have yet, in monotonic milliseconds. */
  private progressAt: number
  private timeout: number
  private timer: NodeJS.Timeout | undefined
  private receivedBytes = 0
  private hasEvents = false

  constructor (private readonly parts: StreamRelayParts) {
    this.splitter = new EventSplitter(parts.isResumable)
    this.progressAt = parts.clock.monotonic()
    this.timeout = parts.firstEventTimeout
  }

  /** Relays events until the stream ends or is given up. */
  run (): Promise<RelayEnd> {
    const { exchange, stopSignals } = this.parts
    return new Promise(resolve => {
      this.resolve = resolve
      if (stopSignals.some(({ aborted }) => aborted)) return this.onStop()
      for (const stopSignal of stopSignals) stopSignal.addEventListener('abort', this.onStop)
      this.startTimer()
      exchange.readBody(this)
    })
  }

  onBytes (bytes: Buffer): void {
    if (this.isFinished) return
    const { answer, onBytes, onEvents } = this.parts
    onBytes()
    this.receivedBytes += bytes.length
    const batch = this.splitter.push(bytes, answer.lastEventId)
    if (batch.received > 0) {
      this.hasEvents = true
      onEvents(batch.received)
    }
    if (batch.later > 0) this.passOn(batch)
    if (this.splitter.pendingBytes > MAXIMUM_EVENT_BYTES) this.finish({ kind: 'broken', cause: `an event goes on after ${this.splitter.pendingBytes} bytes` })
    else if (this.receivedBytes > MAXIMUM_STREAM_BYTES) this.finish({ kind: 'broken', cause: `the stream goes on after ${this.receivedBytes} bytes` })
  }

  onEnd (): void {
    if (this.isFinished) return
    const { head, answer } = this.parts
    const isWhole = this.splitter.isAtBlockEnd
    // Comments after the last event belong to the body. Without an event and a stated end, the stream may have been broken off.
    const rest = this.splitter.takeRest()
    if (isWhole && rest.length > 0 && (head.isSelfDelimited || this.hasEvents)) {
      answer.beginStream(head)
      answer.writeRest(rest)
    }
    this.finish({ kind: 'ended', isWhole })
  }

  onFailure ({ message }: Error): void {
    this.finish({ kind: 'broken', cause: message })
  }

  private passOn (batch: EventBatch): void {
    const { exchange, head, answer, clock, eventGapTimeout } = this.parts
    this.progressAt = clock.monotonic()
    this.timeout = eventGapTimeout
    answer.beginStream(head)
    if (answer.writeEvents(batch)) return
    this.isCallerSlow = true
    exchange.pause()
    answer.onceDrained(() => {
      this.isCallerSlow = false
      this.progressAt = clock.monotonic()
      if (!this.isFinished) exchange.resume()
    })
  }

  private startTimer (): void {
    const { clock, deadline } = this.parts
    const due = Math.min(deadline, this.progressAt + this.timeout)
    // After the process was paused, timers run before the events that arrived meanwhile are read.
    this.timer = setTimeout(() => setImmediate(() => this.checkProgress()), Math.max(1, due - clock.monotonic()))
  }

  private checkProgress (): void {
    if (this.isFinished) return
    const { clock, deadline, isReplaceable } = this.parts
    const now = clock.monotonic()
    if (now >= deadline - 1) return this.finish({ kind: 'expired' })
    if (now - this.progressAt >= this.timeout) {
      if (!this.isCallerSlow && isReplaceable()) return this.finish({ kind: 'silent' })
      this.progressAt = now
    }
    this.startTimer()
  }

  private finish (end: RelayEnd): void {
    if (this.isFinished) return
    this.isFinished = true
    clearTimeout(this.timer)
    for (const stopSignal of this.parts.stopSignals) stopSignal.removeEventListener('abort', this.onStop)
    this.resolve(end)
  }
}
