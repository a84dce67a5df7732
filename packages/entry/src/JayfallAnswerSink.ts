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

  /** Whole events as the engine sent them. */
  abstract events (raw: Buffer, headers: AnswerHeaders): void

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
    this.response.end(`event: error\ndata: ${JSON.stringify(error.toBody(this.requestId))}\n\n`)
  }
}

/** Writes the JSON body of an error with its status and `Retry-After`. */
export function writeErrorAnswer (response: ServerResponse, cause: unknown, requestId: string): void {
  const error = toApiError(cause)
  const retryAfter = error.retryAfter === undefined ? {} : { 'retry-after': String(Math.ceil(error.retryAfter / 1000)) }
  response.writeHead(error.status, { 'content-type': 'application/json', ...retryAfter })
  response.end(JSON.stringify(error.toBody(requestId)))
}

/** Passes the engine's events on unmodified. */
export class StreamedAnswerSink extends AnswerSink {
  override events (raw: Buffer, headers: AnswerHeaders): void {
    this.start(headers)
    this.response.write(raw)
  }

  protected override writeFinal (raw: Buffer, headers: AnswerHeaders): void {
    this.start(headers)
    this.response.end(raw)
  }

  private start (headers: AnswerHeaders): void {
    if (this.response.headersSent) return
    this.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', ...headers })
  }
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

  override events (raw: Buffer, _headers: AnswerHeaders): void {
    for (const chunk of parseChunks(raw)) this.content += contentOf(chunk)
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
