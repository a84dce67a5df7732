/**
 * Limits the memory that all bodies of requests and answers use together.
 *
 * Bodies are kept whole as long as they may be sent again, and a limit on each of them does not limit their sum. A body
 * whose memory is not free is given up: a caller's request before it has run, an answer as one that is too large. One
 * peer holds a part of the memory at most, and large bodies leave some of it to small ones.
 */

import { HELD_BYTES_SHARE_OF_LARGE_BODIES, HELD_BYTES_SHARE_OF_PEER, SMALL_BODY_BYTES } from './JayfallForwardingConstants'

export class HeldMemory {
  private held = 0
  private readonly heldByPeer = new Map<string, number>()

  /** @param limit number of bytes. */
  constructor (private readonly limit: number) {}

  /** Number of bytes that are held now. */
  get heldBytes (): number {
    return this.held
  }

  /** Begins a body of a peer; undefined for a peer that may hold any part of the memory. */
  open (peer?: string): HeldBody {
    return new HeldBody(this, peer)
  }

  /** Whether `bytes` more are free for a body that has `bodyBytes` with them. */
  take (peer: string | undefined, bytes: number, bodyBytes: number): boolean {
    const limit = bodyBytes > SMALL_BODY_BYTES ? this.limit * HELD_BYTES_SHARE_OF_LARGE_BODIES : this.limit
    const ofPeer = peer === undefined ? 0 : (this.heldByPeer.get(peer) ?? 0) + bytes
    if (this.held + bytes > limit || ofPeer > this.limit * HELD_BYTES_SHARE_OF_PEER) return false
    this.held += bytes
    if (peer !== undefined) this.heldByPeer.set(peer, ofPeer)
    return true
  }

  release (peer: string | undefined, bytes: number): void {
    this.held -= bytes
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

  constructor (private readonly memory: HeldMemory, private readonly peer: string | undefined) {}

  /** Takes as much memory as the body needs now. @returns false when it is not free. */
  resize (bytes: number): boolean {
    if (this.isReleased) return false
    if (bytes <= this.bytes) return true
    if (!this.memory.take(this.peer, bytes - this.bytes, bytes)) return false
    this.bytes = bytes
    return true
  }

  /** Gives the memory back. */
  release (): void {
    if (this.isReleased) return
    this.isReleased = true
    this.memory.release(this.peer, this.bytes)
  }
}
