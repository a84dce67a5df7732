/**
 * Traces by the OpenTelemetry SDK: one span for each hop of a request.
 *
 * Finished spans are kept in a bounded ring, appended to a file when one is set, and
 * exported as OTLP over HTTP when an address is set.
 */

import { ROOT_CONTEXT, SpanKind, SpanStatusCode, trace, TraceFlags, type Context, type Span, type Tracer } from '@opentelemetry/api'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor, type SpanProcessor } from '@opentelemetry/sdk-trace-base'

import { SpanFileProcessor, SpanRing, type SpanRecord } from './JayfallSpanProcessors'
import { EXPORT_INTERVAL_MILLISECONDS, EXPORT_QUEUE_SIZE, SPAN_RING_SIZE } from './JayfallTelemetryConstants'

export interface TraceSettings {
  readonly instanceId: string
  readonly zone: string
  /** File that finished spans are appended to, one JSON object a line. */
  readonly file?: string
  /** IP address and port of a collector that takes OTLP over HTTP. */
  readonly otlpAddress?: string
  /** Spans kept in memory. */
  readonly ringSize?: number
}

export type SpanAttributes = Readonly<Record<string, string | number | boolean | undefined>>

/** One hop under way. */
export class Hop {
  constructor (private readonly tracer: Tracer, private readonly span: Span, private readonly context: Context) {}

  get traceId (): string {
    return this.span.spanContext().traceId
  }

  /** The W3C header that makes later spans children of this hop. */
  get traceparent (): string {
    const { traceId, spanId, traceFlags } = this.span.spanContext()
    return `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, '0')}`
  }

  /** Starts a hop within this one. */
  startHop (name: string, attributes: SpanAttributes = {}, kind: SpanKind = SpanKind.INTERNAL): Hop {
    const span = this.tracer.startSpan(name, { attributes, kind }, this.context)
    return new Hop(this.tracer, span, trace.setSpan(this.context, span))
  }

  /** Ends the hop; `failure` is a short code. Later calls have no effect. */
  end (attributes: SpanAttributes = {}, failure?: string): void {
    if (!this.span.isRecording()) return
    this.span.setAttributes(attributes)
    if (failure !== undefined) this.span.setStatus({ code: SpanStatusCode.ERROR, message: failure })
    this.span.end()
  }

  /** Runs `work` within a hop of its own. */
  async measure<Result> (name: string, work: () => Promise<Result>): Promise<Result> {
    const hop = this.startHop(name, {}, SpanKind.CLIENT)
    try {
      const result = await work()
      hop.end()
      return result
    } catch (error) {
      hop.end({}, (error as { code?: string }).code ?? 'failed')
      throw error
    }
  }
}

/** The traces of one thread. */
export class Traces {
  private readonly provider: BasicTracerProvider
  private readonly tracer: Tracer
  private readonly ring: SpanRing

  constructor ({ instanceId, zone, file, otlpAddress, ringSize = SPAN_RING_SIZE }: TraceSettings) {
    this.ring = new SpanRing(ringSize)
    const processors: SpanProcessor[] = [this.ring]
    if (file !== undefined) processors.push(new SpanFileProcessor(file))
    if (otlpAddress !== undefined) {
      processors.push(new BatchSpanProcessor(new OTLPTraceExporter({ url: `http://${otlpAddress}/v1/traces` }), {
        maxQueueSize: EXPORT_QUEUE_SIZE, scheduledDelayMillis: EXPORT_INTERVAL_MILLISECONDS
      }))
    }
    const resource = resourceFromAttributes({ 'service.name': 'jayfall', 'service.instance.id': instanceId, 'cloud.availability_zone': zone })
    this.provider = new BasicTracerProvider({ resource, spanProcessors: processors })
    this.tracer = this.provider.getTracer('jayfall')
  }

  /** Starts the hop of a caller's request; a valid W3C `traceparent` of the caller is continued. */
  startRequest (name: string, traceparent: string | undefined, attributes: SpanAttributes = {}): Hop {
    const parent = parseTraceparent(traceparent)
    const context = parent === undefined ? ROOT_CONTEXT : trace.setSpanContext(ROOT_CONTEXT, { ...parent, isRemote: true })
    const span = this.tracer.startSpan(name, { attributes, kind: SpanKind.SERVER }, context)
    return new Hop(this.tracer, span, trace.setSpan(context, span))
  }

  /** Finished spans of a trace that are still in memory. */
  find (traceId: string): readonly SpanRecord[] {
    return this.ring.find(traceId)
  }

  /** Writes and exports what is waiting. */
  async close (): Promise<void> {
    await this.provider.shutdown()
  }
}

/** The identifiers in a W3C `traceparent`; undefined when it is not valid. */
export function parseTraceparent (header: string | undefined): { readonly traceId: string, readonly spanId: string, readonly traceFlags: number } | undefined {
  const match = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/.exec(header ?? '')
  if (match === null || /^0+$/.test(match[1]) || /^0+$/.test(match[2])) return undefined
  return { traceId: match[1], spanId: match[2], traceFlags: parseInt(match[3], 16) & TraceFlags.SAMPLED }
}
