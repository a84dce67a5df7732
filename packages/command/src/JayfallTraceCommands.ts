/** `jayfall trace`: shows the spans of one request. */

import Wreck from '@hapi/wreck'
import { type SpanRecord } from '#jayfall/telemetry'
import { command, option, positional, string, subcommands } from 'cmd-ts'

import { CommandError } from './JayfallCommandError'
import { jsonOption } from './JayfallCommandOptions'
import { printResult, runSubcommand } from './JayfallCommandOutput'

const REQUEST_TIMEOUT_MILLISECONDS = 5000

const show = command({
  name: 'show',
  description: 'Show the hops of a trace that an entry instance still holds.',
  args: {
    id: positional({ type: string, displayName: 'trace', description: 'the trace identifier in the log lines and in the answer\'s traceparent header' }),
    entry: option({ long: 'entry', type: string, description: 'IP address and port of the callers\' listener of the instance that served the request' }),
    key: option({ long: 'operator-key', type: string, env: 'JAYFALL_OPERATOR_KEY', description: 'operator\'s key; also from JAYFALL_OPERATOR_KEY' }),
    json: jsonOption
  },
  handler: ({ id, entry, key, json }) => runSubcommand(async () => {
    const spans = await readSpans(entry, key, id)
    if (spans.length === 0) throw new CommandError('failed', `${entry} holds no trace ${id}; ask the instance that served the request, or read the trace file or the collector`)
    printResult(json, { spans }, formatTrace(spans))
  })
})

async function readSpans (entry: string, key: string, id: string): Promise<readonly SpanRecord[]> {
  try {
    const { payload } = await Wreck.get<{ spans: readonly SpanRecord[] }>(`http://${entry}/traces/${encodeURIComponent(id)}`, {
      headers: { authorization: `Bearer ${key}` }, json: true, timeout: REQUEST_TIMEOUT_MILLISECONDS
    })
    return payload.spans
  } catch (error) {
    const status = (error as { readonly output?: { readonly statusCode: number } }).output?.statusCode
    if (status === 401) throw new CommandError('failed', `${entry} does not accept the operator's key; check JAYFALL_OPERATOR_KEY against the instance's operator-hashes`, error)
    throw new CommandError('unreachable', `${entry} did not answer; check the address with "jayfall entry --check-settings" on the instance`, error)
  }
}

/** Returns one line for each span, indented below its parent, with start times in milliseconds after the start of the first span. */
function formatTrace (spans: readonly SpanRecord[]): readonly string[] {
  const spanIds = new Set(spans.map(({ spanId }) => spanId))
  const traceStartedAt = Math.min(...spans.map(({ startedAt }) => startedAt))
  const formatSpan = (span: SpanRecord, depth: number): readonly string[] => [
    `${'  '.repeat(depth)}${span.name} start=+${(span.startedAt - traceStartedAt).toFixed(1)}ms duration=${span.duration.toFixed(1)}ms` +
      `${Object.entries(span.attributes).map(([name, value]) => ` ${name}=${String(value)}`).join('')}${span.failure === undefined ? '' : ` failure=${span.failure}`}`,
    ...spans.filter(({ parentSpanId }) => parentSpanId === span.spanId).flatMap(child => formatSpan(child, depth + 1))
  ]
  return spans.filter(({ parentSpanId }) => parentSpanId === undefined || !spanIds.has(parentSpanId)).flatMap(span => formatSpan(span, 0))
}

export const traceCommands = subcommands({ name: 'trace', description: 'Look into the path of a request.', cmds: { show } })
