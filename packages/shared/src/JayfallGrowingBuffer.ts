/**
 * Contiguous bytes that arrive in pieces.
 *
 * The storage doubles when it is full, so that the time and the memory for a number of bytes do not depend on the number
 * of pieces. A list of pieces costs about a hundred bytes for each of them, and joining the bytes anew for each piece
 * takes time in the square of their number.
 */

const NO_BYTES = Buffer.alloc(0)
const MINIMUM_GROWN_BYTES = 256
/** Storage beyond this share of its content is given back by `take`. */
const MAXIMUM_SPARE_SHARE = 0.25

export class GrowingBuffer {
  private storage: Buffer = NO_BYTES
  private used = 0

  /** Number of bytes. */
  get length (): number {
    return this.used
  }

  /** Number of bytes of memory. */
  get capacity (): number {
    return this.storage.length
  }

  /** The bytes, which are valid until the next change. */
  get bytes (): Buffer {
    return this.storage.subarray(0, this.used)
  }

  /** Adds a copy of the bytes. */
  append (piece: Buffer): void {
    const needed = this.used + piece.length
    if (needed > this.storage.length) this.grow(this.used === 0 ? needed : Math.max(needed, 2 * this.storage.length, MINIMUM_GROWN_BYTES))
    piece.copy(this.storage, this.used)
    this.used = needed
  }

  /** Removes the first bytes. */
  discard (count: number): void {
    if (count === 0) return
    this.storage.copyWithin(0, count, this.used)
    this.used -= count
    if (this.used === 0) this.storage = NO_BYTES
  }

  /** Returns the bytes and is empty afterwards. */
  take (): Buffer {
    const { bytes } = this
    const isSpacious = this.storage.length - bytes.length > bytes.length * MAXIMUM_SPARE_SHARE
    this.storage = NO_BYTES
    this.used = 0
    return isSpacious ? Buffer.from(bytes) : bytes
  }

  private grow (size: number): void {
    const storage = Buffer.allocUnsafe(size)
    this.storage.copy(storage, 0, 0, this.used)
    this.storage = storage
  }
}
