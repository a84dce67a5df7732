/**
 * Limits the memory that all bodies of requests and answers use together.
 *
 * Bodies are kept whole as long as they may be sent again, and a limit on each of them does not limit their sum. A body
 * whose memory is not free is given up: a caller's request before it has run, an answer as one that is too large. One
 * peer holds a part of the memory at most, and large bodies leave some of it to small ones. Before a body is given up,
 * memory is taken back from answers whose callers do not read.
 */

import { HELD_BYTES_SHARE_OF_LARGE_BODIES, HELD_BYTES_SHARE_OF_PEER, SMALL_BODY_BYTES } from './JayfallForwardingConstants'

/** Gives memory back that is held for peers that do not read. */
export abstract class MemoryReclaimer {
  /** Releases bodies of `bytes` together, or of as much as there is. */
  abstract reclaim (bytes: number): void
}

export class HeldMemory {
  private held = 0
  private reclaimer: MemoryReclaimer | undefined
  private readonly heldByPeer = new Map<string, number>()

  /** @param limit number of bytes. */
  constructor (private readonly limit: number) {}

  /** Number of bytes that are held now. */
  get heldBytes (): number {
    return this.held
  }

  setReclaimer (reclaimer: MemoryReclaimer): void {
    this.reclaimer = reclaimer
  }

  /** Begins a body of a peer; undefined for a peer that may hold any part of the memory. */
  open (peer?: string): HeldBody {
    return new HeldBody(this, peer)
  }

  /** Whether `bytes` more are free for a body that has `bodyBytes` with them. */
  take (peer: string | undefined, bytes: number, bodyBytes: number): boolean {
    const limit = bodyBytes > SMALL_BODY_BYTES ? this.limit * HELD_BYTES_SHARE_OF_LARGE_BODIES : this.limit
    const ofPeer = peer === undefined ? 0 : (this.heldByPeer.get(peer) ?? 0) + bytes
    if (ofPeer > this.limit * HELD_BYTES_SHARE_OF_PEER) return false
    if (this.held + bytes > limit) this.reclaimer?.reclaim(this.held + bytes - limit)
    if (this.held + bytes > limit) return false
    this.held += bytes
    if (peer !== undefined) this.heldByPeer.set(peer, ofPeer)
    return true
  }

  release (peer: string | undefined, bytes: number): void {
    this.held -= bytes
    this.releaseFromPeer(peer, bytes)
  }

  /** Charges `bytes` to their peer no longer, and keeps them. */
  releaseFromPeer (peer: string | undefined, bytes: number): void {
    if (peer === undefined) return
    const ofPeer = (this.heldByPeer.get(peer) ?? 0) - bytes
    if (ofPeer > 0) this.heldByPeer.set(peer, ofPeer)
    else this.heldByPeer.delete(peer)
  }
}

/** The memory of one body. */
export class HeldBody {
  private bytes = 0
  private isReleased = false

  constructor (private readonly memory: HeldMemory, private peer: string | undefined) {}

  /** Number of bytes that it holds. */
  get size (): number {
    return this.isReleased ? 0 : this.bytes
  }

  /** Takes as much memory as the body needs now. @returns false when it is not free. */
  resize (bytes: number): boolean {
    if (this.isReleased) return false
    if (bytes <= this.bytes) return true
    if (!this.memory.take(this.peer, bytes - this.bytes, bytes)) return false
    this.bytes = bytes
    return true
  }

  /** Charges the memory to its peer no longer, which has sent the whole body; it waits for another peer to read it. */
  detachFromPeer (): void {
    if (!this.isReleased) this.memory.releaseFromPeer(this.peer, this.bytes)
    this.peer = undefined
  }

  /** Gives the memory back. */
  release (): void {
    if (this.isReleased) return
    this.isReleased = true
    this.memory.release(this.peer, this.bytes)
  }
}
