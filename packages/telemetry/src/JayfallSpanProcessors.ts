/** Processors that keep finished spans in a ring buffer or append them to a file. */

import * as fs from 'node:fs'

import { SpanStatusCode, type HrTime } from '@opentelemetry/api'
import { type ReadableSpan, type SpanProcessor } from '@opentelemetry/sdk-trace-base'

import { SPAN_EXPORT_INTERVAL_MILLISECONDS, SPAN_EXPORT_QUEUE_CAPACITY } from './JayfallTelemetryConstants'

/** A finished span. Times are in milliseconds; `startedAt` is wall-clock time. */
export interface SpanRecord {
  readonly traceId: string
  readonly spanId: string
  readonly parentSpanId?: string
  readonly name: string
  readonly startedAt: number
  readonly duration: number
  readonly attributes: Readonly<Record<string, unknown>>
  readonly failure?: string
}

function toMilliseconds ([seconds, nanoseconds]: HrTime): number {
  return seconds * 1000 + nanoseconds / 1e6
}

function toRecord (span: ReadableSpan): SpanRecord {
  const { traceId, spanId } = span.spanContext()
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    startedAt: toMilliseconds(span.startTime),
    duration: toMilliseconds(span.duration),
    attributes: { ...span.attributes },
    failure: span.status.code === SpanStatusCode.ERROR ? span.status.message : undefined
  }
}

/** A processor that only handles finished spans. */
abstract class FinishedSpanProcessor implements SpanProcessor {
  onStart (): void {}

  abstract onEnd (span: ReadableSpan): void

  async forceFlush (): Promise<void> {}

  async shutdown (): Promise<void> {}
}

/** Keeps the last `capacity` finished spans. */
export class SpanRingBuffer extends FinishedSpanProcessor {
  private readonly records: SpanRecord[] = []
  private nextSlot = 0

  constructor (private readonly capacity: number) {
    super()
  }

  override onEnd (span: ReadableSpan): void {
    this.records[this.nextSlot] = toRecord(span)
    this.nextSlot = (this.nextSlot + 1) % this.capacity
  }

  find (traceId: string): readonly SpanRecord[] {
    return this.records.filter(record => record.traceId === traceId)
  }
}

/** Appends finished spans to a file in batches. Spans are dropped when they arrive faster than batches are written, or when writing fails. */
export class SpanFileProcessor extends FinishedSpanProcessor {
  private pendingLines: string[] = []
  private lastWrite: Promise<void> = Promise.resolve()
  private readonly timer = setInterval(() => { this.writePending() }, SPAN_EXPORT_INTERVAL_MILLISECONDS).unref()

  constructor (private readonly path: string) {
    super()
  }

  override onEnd (span: ReadableSpan): void {
    if (this.pendingLines.length < SPAN_EXPORT_QUEUE_CAPACITY) this.pendingLines.push(`${JSON.stringify(toRecord(span))}\n`)
  }

  override async forceFlush (): Promise<void> {
    this.writePending()
    await this.lastWrite
  }

  override async shutdown (): Promise<void> {
    clearInterval(this.timer)
    await this.forceFlush()
  }

  private writePending (): void {
    if (this.pendingLines.length === 0) return
    const text = this.pendingLines.join('')
    this.pendingLines = []
    // A full or missing disk must not affect requests.
    this.lastWrite = this.lastWrite.then(() => fs.promises.appendFile(this.path, text)).catch(() => {})
  }
}
