/** The memory for bills that are not stored yet. */

/** Counts bytes against a limit. Nothing is refused here: above the limit no new billable work is admitted. */
export class BillMemory {
  private usedBytes = 0

  /** @param limit bytes. */
  constructor (private readonly limit: number) {}

  get used (): number {
    return this.usedBytes
  }

  get isFull (): boolean {
    return this.usedBytes >= this.limit
  }

  /** Counts `bytes` more, or fewer when negative. */
  change (bytes: number): void {
    this.usedBytes += bytes
  }
}
