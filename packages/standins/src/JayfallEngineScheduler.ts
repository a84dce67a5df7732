/**
 * Continuous batching of the engine stand-in.
 *
 * Streams hold slots while they decode; a larger batch slows every token.
 * A stream's tokens stay available, so that it can be resumed at an offset.
 */

import { EventEmitter } from 'node:events'

import { STREAM_RETENTION_MILLISECONDS } from './JayfallStandInConstants'

export interface EngineLimits {
  readonly slots: number
  /** Milliseconds between tokens of a stream that runs alone. */
  readonly tokenInterval: number
  /** Characters of each token at least; undefined for short tokens. */
  readonly tokenCharacters?: number
  /** Share of `tokenInterval` that each further stream of the batch adds. */
  readonly batchSlowdown: number
  /** Milliseconds for one prompt token that is not cached. */
  readonly promptTokenTime: number
}

export type StreamState = 'queued' | 'running' | 'finished' | 'cancelled'

/** One answer that the engine generates. */
export class EngineStream extends EventEmitter {
  state: StreamState = 'queued'
  readonly tokens: string[] = []

  constructor (
    readonly id: string,
    readonly version: string,
    readonly priority: number,
    readonly promptTokens: number,
    readonly cachedTokens: number,
    readonly outputTokens: number
  ) {
    super()
    this.setMaxListeners(0)
  }
}

/** Runs streams in a bounded number of slots. */
export class EngineScheduler {
  private readonly streams = new Map<string, EngineStream>()
  private queue: readonly EngineStream[] = []
  private running = 0
  /** Factor on all times, to make the server slow for a while. */
  slowdown = 1

  constructor (private readonly limits: EngineLimits) {}

  get load (): { readonly active: number, readonly slots: number, readonly queuedTokens: number } {
    const queuedTokens = this.queue.reduce((sum, stream) => sum + stream.promptTokens + stream.outputTokens, 0)
    return { active: this.running, slots: this.limits.slots, queuedTokens }
  }

  get (id: string): EngineStream | undefined {
    return this.streams.get(id)
  }

  /** Adds a stream behind those of the same or a higher priority. */
  submit (stream: EngineStream): void {
    this.streams.set(stream.id, stream)
    const behind = this.queue.findIndex(other => other.priority < stream.priority)
    const position = behind === -1 ? this.queue.length : behind
    this.queue = [...this.queue.slice(0, position), stream, ...this.queue.slice(position)]
    this.fillSlots()
  }

  cancel (stream: EngineStream): void {
    if (stream.state === 'queued') {
      this.queue = this.queue.filter(other => other !== stream)
      this.end(stream, 'cancelled')
    } else if (stream.state === 'running') {
      stream.state = 'cancelled'
    }
  }

  private fillSlots (): void {
    while (this.running < this.limits.slots && this.queue.length > 0) {
      const [stream, ...rest] = this.queue
      this.queue = rest
      this.running++
      stream.state = 'running'
      const prefill = (stream.promptTokens - stream.cachedTokens) * this.limits.promptTokenTime * this.slowdown
      setTimeout(() => this.decode(stream), prefill)
    }
  }

  private decode (stream: EngineStream): void {
    if (stream.state !== 'running') return this.release(stream, 'cancelled')
    const index = stream.tokens.push(`t${stream.tokens.length} `.padEnd(this.limits.tokenCharacters ?? 0, '.')) - 1
    stream.emit('token', index)
    if (stream.tokens.length >= stream.outputTokens) return this.release(stream, 'finished')
    const interval = this.limits.tokenInterval * (1 + this.limits.batchSlowdown * (this.running - 1)) * this.slowdown
    setTimeout(() => this.decode(stream), interval)
  }

  private release (stream: EngineStream, state: StreamState): void {
    this.running--
    this.end(stream, state)
    this.fillSlots()
  }

  private end (stream: EngineStream, state: StreamState): void {
    stream.state = state
    stream.emit('end')
    setTimeout(() => this.streams.delete(stream.id), STREAM_RETENTION_MILLISECONDS).unref()
  }
}
