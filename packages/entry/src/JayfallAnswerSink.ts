/** Where the answer to a model request goes: a stream of events, or one JSON body. */

import { type ServerResponse } from 'node:http'

import { toApiError, type ApiError } from './JayfallApiError'

/** Headers that every answer carries. */
export type AnswerHeaders = Readonly<Record<string, string>>

/** Token counts as engines report them. */
export interface Usage {
  readonly promptTokens: number
  readonly outputTokens: number
}

/** Writes one answer to the caller. Exactly one of `finish` and `fail` ends it. */
export abstract class AnswerSink {
  private hasEnded = false

  constructor (protected readonly response: ServerResponse, private readonly requestId: string) {}

  /** Whether bytes of the answer have left. */
  get hasStarted (): boolean {
    return this.response.headersSent
  }

  get isEnded (): boolean {
    return this.hasEnded
  }

  /** Whole events as the engine sent them. Returns false when the caller has yet to read what was sent. */
  abstract events (raw: Buffer, headers: AnswerHeaders): boolean

  /** Calls back when the caller has read what was sent, or is gone. */
  onceRead (callback: () => void): void {
    const settle = (): void => {
      this.response.off('drain', settle)
      this.response.off('close', settle)
      callback()
    }
    this.response.on('drain', settle)
    this.response.on('close', settle)
  }

  /** Closes the connection without an end of the answer. */
  disconnect (): void {
    this.response.destroy()
  }

  /** Forgets events of which no byte has left. */
  restart (): void {}

  finish (raw: Buffer, headers: AnswerHeaders): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.writeFinal(raw, headers)
  }

  /** Ends the answer with an error; never as if it were whole. */
  fail (error: ApiError): void {
    if (this.hasEnded) return
    this.hasEnded = true
    if (this.hasStarted) this.writeLateError(error)
    else writeErrorAnswer(this.response, error, this.requestId)
  }

  protected abstract writeFinal (raw: Buffer, headers: AnswerHeaders): void

  protected writeLateError (error: ApiError): void {
    this.endLate(`event: error\ndata: ${JSON.stringify(error.toBody(this.requestId))}\n\n`)
  }

  protected endLate (text: string): void {
    this.response.end(text)
  }
}

/** Writes the JSON body of an error with its status and `Retry-After`. */
export function writeErrorAnswer (response: ServerResponse, cause: unknown, requestId: string): void {
  const error = toApiError(cause)
  const retryAfter = error.retryAfter === undefined ? {} : { 'retry-after': String(Math.ceil(error.retryAfter / 1000)) }
  response.writeHead(error.status, { 'content-type': 'application/json', ...retryAfter })
  response.end(JSON.stringify(error.toBody(requestId)))
}

/**
 * Passes the engine's events on unmodified.
 *
 * Each write becomes one chunk of the body. The chunk's frame is written here, because
 * `ServerResponse` writes the frame and the data as four buffers, which costs a third of
 * the time of the whole path of an event.
 */
export class StreamedAnswerSink extends AnswerSink {
  override events (raw: Buffer, headers: AnswerHeaders): boolean {
    this.start(headers)
    return this.response.write(frameChunk(raw))
  }

  protected override writeFinal (raw: Buffer, headers: AnswerHeaders): void {
    this.start(headers)
    this.response.end(Buffer.concat([frameChunk(raw), LAST_CHUNK]))
  }

  protected override endLate (text: string): void {
    this.response.end(Buffer.concat([frameChunk(Buffer.from(text)), LAST_CHUNK]))
  }

  private start (headers: AnswerHeaders): void {
    if (this.response.headersSent) return
    this.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'transfer-encoding': 'chunked', ...headers })
    this.response.flushHeaders()
    this.response.chunkedEncoding = false
  }
}

const LAST_CHUNK = Buffer.from('0\r\n\r\n')

/** One chunk of HTTP/1.1's chunked transfer coding. */
function frameChunk (data: Buffer): Buffer {
  const size = `${data.length.toString(16)}\r\n`
  const frame = Buffer.allocUnsafe(size.length + data.length + 2)
  frame.write(size, 0, 'latin1')
  data.copy(frame, size.length)
  frame.write('\r\n', size.length + data.length, 'latin1')
  return frame
}

interface CompletionChunk {
  readonly id: string
  readonly created: number
  readonly model: string
  readonly choices: readonly { readonly index: number, readonly delta: Readonly<Record<string, unknown>>, readonly finish_reason: string | null }[]
  readonly usage?: object
}

/** Assembles the engine's events into one completion. */
export class WholeAnswerSink extends AnswerSink {
  private content = ''

  override restart (): void {
    this.content = ''
  }

  override events (raw: Buffer, _headers: AnswerHeaders): boolean {
    for (const chunk of parseChunks(raw)) this.content += contentOf(chunk)
    return true
  }

  protected override writeFinal (raw: Buffer, headers: AnswerHeaders): void {
    const chunks = parseChunks(raw)
    for (const chunk of chunks) this.content += contentOf(chunk)
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

function contentOf (chunk: CompletionChunk): string {
  return chunk.choices.map(({ delta }) => typeof delta.content === 'string' ? delta.content : '').join('')
}

function parseChunks (raw: Buffer): readonly CompletionChunk[] {
  return raw.toString().split('\n')
    .filter(line => line.startsWith('data: {'))
    .map(line => JSON.parse(line.slice('data: '.length)) as CompletionChunk)
}

/** The usage in an engine's last events. */
export function parseUsage (raw: Buffer): Usage {
  const chunks = parseChunks(raw)
  const usage = chunks[chunks.length - 1]?.usage as { prompt_tokens?: number, completion_tokens?: number } | undefined
  return { promptTokens: usage?.prompt_tokens ?? 0, outputTokens: usage?.completion_tokens ?? 0 }
}

/** The finish reason in an engine's last events. */
export function finishReason (raw: Buffer): string {
  return parseChunks(raw).flatMap(({ choices }) => choices).map(choice => choice.finish_reason).find(reason => reason !== null) ?? 'unknown'
}
