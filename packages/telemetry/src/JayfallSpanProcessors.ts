/** Where finished spans go besides a collector: a bounded ring and a file. */

import * as fs from 'node:fs'

import { SpanStatusCode, type HrTime } from '@opentelemetry/api'
import { type ReadableSpan, type SpanProcessor } from '@opentelemetry/sdk-trace-base'

import { EXPORT_INTERVAL_MILLISECONDS, EXPORT_QUEUE_SIZE } from './JayfallTelemetryConstants'

/** A finished span. Times are milliseconds; `startedAt` is wall-clock time. */
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

abstract class FinishedSpanProcessor implements SpanProcessor {
  onStart (): void {}

  abstract onEnd (span: ReadableSpan): void

  async forceFlush (): Promise<void> {}

  async shutdown (): Promise<void> {}
}

/** Keeps the last `size` finished spans. */
export class SpanRing extends FinishedSpanProcessor {
  private readonly records: SpanRecord[] = []
  private next = 0

  constructor (private readonly size: number) {
    super()
  }

  override onEnd (span: ReadableSpan): void {
    this.records[this.next] = toRecord(span)
    this.next = (this.next + 1) % this.size
  }

  find (traceId: string): readonly SpanRecord[] {
    return this.records.filter(record => record.traceId === traceId)
  }
}

/** Appends finished spans to a file in batches; what the file system cannot keep up with is dropped. */
export class SpanFileProcessor extends FinishedSpanProcessor {
  private lines: string[] = []
  private written: Promise<void> = Promise.resolve()
  private readonly timer = setInterval(() => { this.write() }, EXPORT_INTERVAL_MILLISECONDS).unref()

  constructor (private readonly path: string) {
    super()
  }

  override onEnd (span: ReadableSpan): void {
    if (this.lines.length < EXPORT_QUEUE_SIZE) this.lines.push(`${JSON.stringify(toRecord(span))}\n`)
  }

  override async forceFlush (): Promise<void> {
    this.write()
    await this.written
  }

  override async shutdown (): Promise<void> {
    clearInterval(this.timer)
    await this.forceFlush()
  }

  private write (): void {
    if (this.lines.length === 0) return
    const text = this.lines.join('')
    this.lines = []
    // A full or missing disk must not stop requests.
    this.written = this.written.then(() => fs.promises.appendFile(this.path, text)).catch(() => {})
  }
}
