/** Writers of the response to a model request, either as an event stream or as one JSON body. */

import { type ServerResponse } from 'node:http'

import { encodeChunk, LAST_CHUNK } from '#jayfall/shared'

import { toApiError, type ApiError } from './JayfallApiError'

/** Headers of a response by name. */
export type ResponseHeaders = Readonly<Record<string, string>>

/** Token counts that an engine reports for one response. */
export interface TokenUsage {
  readonly promptTokens: number
  readonly outputTokens: number
}

/** Writes one response to the caller. The response ends with exactly one call of `finish` or `fail`. */
export abstract class ResponseWriter {
  private hasEnded = false

  constructor (protected readonly response: ServerResponse, private readonly requestId: string) {}

  /** Whether the headers of the response have been sent. */
  get hasStarted (): boolean {
    return this.response.headersSent
  }

  get isEnded (): boolean {
    return this.hasEnded
  }

  /** Writes complete events as the engine sent them. Returns false when the output buffer is full because the caller reads slowly. */
  abstract writeEvents (raw: Buffer, headers: ResponseHeaders): boolean

  /** Calls `callback` when the output buffer is empty again, or when the connection has closed. */
  onceDrained (callback: () => void): void {
    const settle = (): void => {
      this.response.off('drain', settle)
      this.response.off('close', settle)
      callback()
    }
    this.response.on('drain', settle)
    this.response.on('close', settle)
  }

  /** Closes the connection without completing the response. */
  disconnect (): void {
    this.response.destroy()
  }

  /** Discards buffered events, so that another attempt can start from the first event. */
  discardEvents (): void {}

  /** Writes the final events and completes the response. */
  finish (raw: Buffer, headers: ResponseHeaders): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.writeFinal(raw, headers)
  }

  /** Ends the response with an error that the caller can tell from a complete response. */
  fail (error: ApiError): void {
    if (this.hasEnded) return
    this.hasEnded = true
    if (this.hasStarted) this.writeErrorAfterStart(error)
    else writeErrorResponse(this.response, error, this.requestId)
  }

  protected abstract writeFinal (raw: Buffer, headers: ResponseHeaders): void

  /** Reports an error in the body, as the status has already been sent. */
  protected writeErrorAfterStart (error: ApiError): void {
    this.endAfterStart(`event: error\ndata: ${JSON.stringify(error.toBody(this.requestId))}\n\n`)
  }

  protected endAfterStart (text: string): void {
    this.response.end(text)
  }
}

/** Writes an error response: the status, `Retry-After` and the JSON body. */
export function writeErrorResponse (response: ServerResponse, cause: unknown, requestId: string): void {
  const error = toApiError(cause)
  const retryAfter = error.retryAfter === undefined ? {} : { 'retry-after': String(Math.ceil(error.retryAfter / 1000)) }
  response.writeHead(error.status, { 'content-type': 'application/json', ...retryAfter })
  response.end(JSON.stringify(error.toBody(requestId)))
}

/**
 * Writes the engine's events to the caller unmodified.
 *
 * Each write becomes one chunk of the chunked transfer coding. This class encodes the chunk itself:
 * `ServerResponse` writes the frame and the data of a chunk as four buffers, which takes a third of
 * the time that the data path spends on an event.
 */
export class EventStreamResponseWriter extends ResponseWriter {
  override writeEvents (raw: Buffer, headers: ResponseHeaders): boolean {
    this.startResponse(headers)
    return this.response.write(encodeChunk(raw))
  }

  protected override writeFinal (raw: Buffer, headers: ResponseHeaders): void {
    this.startResponse(headers)
    this.response.end(Buffer.concat([encodeChunk(raw), LAST_CHUNK]))
  }

  protected override endAfterStart (text: string): void {
    this.response.end(Buffer.concat([encodeChunk(Buffer.from(text)), LAST_CHUNK]))
  }

  private startResponse (headers: ResponseHeaders): void {
    if (this.response.headersSent) return
    this.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'transfer-encoding': 'chunked', ...headers })
    this.response.flushHeaders()
    this.response.chunkedEncoding = false
  }
}

/** The data of one event of a streamed chat completion. */
interface CompletionChunk {
  readonly id: string
  readonly created: number
  readonly model: string
  readonly choices: readonly { readonly index: number, readonly delta: Readonly<Record<string, unknown>>, readonly finish_reason: string | null }[]
  readonly usage?: object
}

/** Assembles the engine's events into one chat completion, for callers that asked for an unstreamed response. */
export class CompletionResponseWriter extends ResponseWriter {
  private content = ''

  override discardEvents (): void {
    this.content = ''
  }

  override writeEvents (raw: Buffer, _headers: ResponseHeaders): boolean {
    for (const chunk of parseChunks(raw)) this.content += extractContent(chunk)
    return true
  }

  protected override writeFinal (raw: Buffer, headers: ResponseHeaders): void {
    const chunks = parseChunks(raw)
    for (const chunk of chunks) this.content += extractContent(chunk)
    const last = chunks[chunks.length - 1]
    this.response.writeHead(200, { 'content-type': 'application/json', ...headers })
    this.response.end(JSON.stringify({
      id: last.id,
      object: 'chat.completion',
      created: last.created,
      model: last.model,
      choices: [{ index: 0, message: { role: 'assistant', content: this.content }, finish_reason: last.choices[0]?.finish_reason ?? 'stop' }],
      usage: last.usage
    }))
  }
}

function extractContent (chunk: CompletionChunk): string {
  return chunk.choices.map(({ delta }) => typeof delta.content === 'string' ? delta.content : '').join('')
}

function parseChunks (raw: Buffer): readonly CompletionChunk[] {
  return raw.toString().split('\n')
    .filter(line => line.startsWith('data: {'))
    .map(line => JSON.parse(line.slice('data: '.length)) as CompletionChunk)
}

/** Parses the token usage in an engine's final events; missing counts are 0. */
export function parseUsage (raw: Buffer): TokenUsage {
  const chunks = parseChunks(raw)
  const usage = chunks[chunks.length - 1]?.usage as { prompt_tokens?: number, completion_tokens?: number } | undefined
  return { promptTokens: usage?.prompt_tokens ?? 0, outputTokens: usage?.completion_tokens ?? 0 }
}

/** Parses the finish reason in an engine's final events. */
export function parseFinishReason (raw: Buffer): string {
  return parseChunks(raw).flatMap(({ choices }) => choices).map(choice => choice.finish_reason).find(reason => reason !== null) ?? 'unknown'
}
