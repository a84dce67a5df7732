/**
 * Tracing of requests with the OpenTelemetry SDK.
 *
 * Finished spans are kept in a ring buffer, appended to a file if one is configured, and exported with OTLP over HTTP if
 * an address is configured.
 */

import { ROOT_CONTEXT, SpanKind, SpanStatusCode, trace, TraceFlags, type Context, type Span, type Tracer } from '@opentelemetry/api'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor, type SpanProcessor } from '@opentelemetry/sdk-trace-base'

import { SpanFileProcessor, SpanRingBuffer, type SpanRecord } from './JayfallSpanProcessors'
import { SPAN_EXPORT_INTERVAL_MILLISECONDS, SPAN_EXPORT_QUEUE_CAPACITY, SPAN_RING_SIZE } from './JayfallTelemetryConstants'

/** Settings of the traces of one thread. */
export interface TraceSettings {
  readonly instanceId: string
  readonly zone: string
  /** Path of the file that finished spans are appended to, with one JSON object in each line. */
  readonly file?: string
  /** IP address and port of a collector that accepts OTLP over HTTP. */
  readonly otlpAddress?: string
  /** Number of finished spans that are kept in memory. */
  readonly ringSize?: number
}

/** Attributes of a span by name. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean | undefined>>

/** A hop: one stage of a request, such as the time in the queue or an attempt, recorded as one span. */
export class Hop {
  constructor (private readonly tracer: Tracer, private readonly span: Span, private readonly context: Context) {}

  get traceId (): string {
    return this.span.spanContext().traceId
  }

  /** Value of the W3C header `traceparent` that makes spans of the called server children of this span. */
  get traceparent (): string {
    const { traceId, spanId, traceFlags } = this.span.spanContext()
    return `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, '0')}`
  }

  /** Starts a child span. */
  startHop (name: string, attributes: SpanAttributes = {}, kind: SpanKind = SpanKind.INTERNAL): Hop {
    const span = this.tracer.startSpan(name, { attributes, kind }, this.context)
    return new Hop(this.tracer, span, trace.setSpan(this.context, span))
  }

  /** Ends the hop. `failure` is a short error code. Later calls have no effect. */
  end (attributes: SpanAttributes = {}, failure?: string): void {
    if (!this.span.isRecording()) return
    this.span.setAttributes(attributes)
    if (failure !== undefined) this.span.setStatus({ code: SpanStatusCode.ERROR, message: failure })
    this.span.end()
  }

  /** Runs `operation` within a new child span. */
  async measure<Result> (name: string, operation: () => Promise<Result>): Promise<Result> {
    const hop = this.startHop(name, {}, SpanKind.CLIENT)
    try {
      const result = await operation()
      hop.end()
      return result
    } catch (error) {
      hop.end({}, (error as { code?: string }).code ?? 'failed')
      throw error
    }
  }
}

/** Creates and stores the spans of one thread. */
export class Traces {
  private readonly provider: BasicTracerProvider
  private readonly tracer: Tracer
  private readonly spanBuffer: SpanRingBuffer

  constructor ({ instanceId, zone, file, otlpAddress, ringSize = SPAN_RING_SIZE }: TraceSettings) {
    this.spanBuffer = new SpanRingBuffer(ringSize)
    const processors: SpanProcessor[] = [this.spanBuffer]
    if (file !== undefined) processors.push(new SpanFileProcessor(file))
    if (otlpAddress !== undefined) {
      processors.push(new BatchSpanProcessor(new OTLPTraceExporter({ url: `http://${otlpAddress}/v1/traces` }), {
        maxQueueSize: SPAN_EXPORT_QUEUE_CAPACITY, scheduledDelayMillis: SPAN_EXPORT_INTERVAL_MILLISECONDS
      }))
    }
    const resource = resourceFromAttributes({ 'service.name': 'jayfall', 'service.instance.id': instanceId, 'cloud.availability_zone': zone })
    this.provider = new BasicTracerProvider({ resource, spanProcessors: processors })
    this.tracer = this.provider.getTracer('jayfall')
  }

  /** Starts the span of a caller's request. A valid W3C `traceparent` of the caller becomes its parent. */
  startRequest (name: string, traceparent: string | undefined, attributes: SpanAttributes = {}): Hop {
    const parent = parseTraceparent(traceparent)
    const context = parent === undefined ? ROOT_CONTEXT : trace.setSpanContext(ROOT_CONTEXT, { ...parent, isRemote: true })
    const span = this.tracer.startSpan(name, { attributes, kind: SpanKind.SERVER }, context)
    return new Hop(this.tracer, span, trace.setSpan(context, span))
  }

  /** Returns the finished spans of a trace that are still in memory. */
  find (traceId: string): readonly SpanRecord[] {
    return this.spanBuffer.find(traceId)
  }

  /** Writes and exports all pending spans. */
  async close (): Promise<void> {
    await this.provider.shutdown()
  }
}

/** Parses a W3C `traceparent`; undefined when it is not valid. */
export function parseTraceparent (header: string | undefined): { readonly traceId: string, readonly spanId: string, readonly traceFlags: number } | undefined {
  const match = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/.exec(header ?? '')
  if (match === null || /^0+$/.test(match[1]) || /^0+$/.test(match[2])) return undefined
  return { traceId: match[1], spanId: match[2], traceFlags: parseInt(match[3], 16) & TraceFlags.SAMPLED }
}
