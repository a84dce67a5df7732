/**
 * Answers that wait in memory for callers that read more slowly than they are answered.
 *
 * A connection that takes nothing of its answer for a while belongs to a slow caller. When memory for bodies runs short,
 * the answers of slow callers are cut off, those first that have made no progress for longest, so that requests of
 * callers that read find memory. As long as there is memory, every answer waits for its caller.
 */

import type * as net from 'node:net'

import { type Clock } from '#jayfall/shared'
import { type Log, type Metrics } from '#jayfall/telemetry'

import { SLOW_CALLER_MILLISECONDS } from './JayfallForwardingConstants'
import { MemoryReclaimer, type HeldBody, type HeldMemory } from './JayfallHeldMemory'

/** An answer that its connection has not taken completely. */
export interface UnsentAnswer {
  readonly requestId: string | undefined
  readonly kind: 'whole' | 'stream'
  readonly socket: net.Socket
  /** Its memory. */
  readonly held: HeldBody
}

/** A connection with answers that wait; those of pipelined requests wait for each other. */
interface WaitingConnection {
  readonly answers: Set<UnsentAnswer>
  /** Monotonic milliseconds at which the connection last took a part of an answer. */
  readonly progressAt: number
}

export class UnsentAnswers extends MemoryReclaimer {
  /** In the order of their progress, the one with the oldest first. */
  private readonly waiting = new Map<net.Socket, WaitingConnection>()

  constructor (private readonly memory: HeldMemory, private readonly clock: Clock, private readonly log: Log, private readonly metrics: Metrics) {
    super()
    memory.setReclaimer(this)
  }

  /** Number of connections with answers that wait. */
  get connectionCount (): number {
    return this.waiting.size
  }

  /** Records that an answer begins to wait. */
  add (answer: UnsentAnswer): void {
    const connection = this.waiting.get(answer.socket)
    // Another answer on the connection is no progress.
    if (connection === undefined) this.waiting.set(answer.socket, { answers: new Set([answer]), progressAt: this.clock.monotonic() })
    else connection.answers.add(answer)
  }

  /** Records that a connection has taken a part of its answers. */
  recordProgress (socket: net.Socket): void {
    const connection = this.waiting.get(socket)
    if (connection === undefined) return
    this.waiting.delete(socket)
    this.waiting.set(socket, { ...connection, progressAt: this.clock.monotonic() })
  }

  /** Records that an answer waits no longer. */
  remove (answer: UnsentAnswer): void {
    const connection = this.waiting.get(answer.socket)
    if (connection?.answers.delete(answer) !== true) return
    if (connection.answers.size === 0) this.waiting.delete(answer.socket)
    else this.recordProgress(answer.socket)
  }

  /** Takes memory for what a stream has written and its connection has not taken. It is little, so it is kept also when no memory is free. */
  holdStream (bytes: number): HeldBody {
    const held = this.memory.open()
    held.resize(bytes)
    return held
  }

  override reclaim (bytes: number): void {
    const now = this.clock.monotonic()
    const target = this.memory.heldBytes - bytes
    for (const [socket, connection] of this.waiting) {
      if (this.memory.heldBytes <= target || now - connection.progressAt < SLOW_CALLER_MILLISECONDS) return
      this.cutOff(socket, connection, now)
    }
  }

  /** Resets all connections with answers that wait: after a normal end, a part of an answer without a length would look complete. */
  resetAll (): void {
    for (const socket of this.waiting.keys()) socket.resetAndDestroy()
    this.waiting.clear()
  }

  private cutOff (socket: net.Socket, { answers, progressAt }: WaitingConnection, now: number): void {
    this.waiting.delete(socket)
    for (const { requestId, kind, held } of answers) {
      this.metrics.count('jayfall_forwarding_slow_callers_cut_total', { answer: kind })
      this.log.warn('slow_caller_cut_off', { request: requestId, answer: kind, held_bytes: held.size, unread_ms: Math.round(now - progressAt) })
      held.release()
    }
    socket.resetAndDestroy()
  }
}
