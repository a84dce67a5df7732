/** Accounts for the memory that is used by bills that are not stored yet. */

/** Counts bytes against a limit. It refuses nothing itself: its users admit no new billable work once it is full. */
export class BillMemory {
  private countedBytes = 0

  /** @param limitBytes number of bytes from which on the memory is full. */
  constructor (private readonly limitBytes: number) {}

  get usedBytes (): number {
    return this.countedBytes
  }

  get isFull (): boolean {
    return this.countedBytes >= this.limitBytes
  }

  /** Adds `bytes` to the count; a negative number subtracts. */
  adjust (bytes: number): void {
    this.countedBytes += bytes
  }
}
