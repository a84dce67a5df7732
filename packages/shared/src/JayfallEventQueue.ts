/** The agenda of a discrete-event run: callbacks in order of time, then of insertion. */

interface Entry {
  readonly at: number
  readonly sequence: number
  readonly run: () => void
}

/** A binary heap. */
export class EventQueue {
  private readonly heap: Entry[] = []
  private sequence = 0

  get nextAt (): number {
    return this.heap.length === 0 ? Infinity : this.heap[0].at
  }

  push (at: number, run: () => void): void {
    const entry = { at, sequence: this.sequence++, run }
    let index = this.heap.push(entry) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(entry, this.heap[parent])) break
      this.heap[index] = this.heap[parent]
      index = parent
    }
    this.heap[index] = entry
  }

  /** Removes the first entry and returns its callback. */
  shift (): (() => void) | undefined {
    const [first] = this.heap
    const last = this.heap.pop()
    if (first === undefined || last === undefined) return undefined
    if (this.heap.length > 0) this.sink(last)
    return first.run
  }

  private sink (entry: Entry): void {
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= this.heap.length) break
      if (child + 1 < this.heap.length && isBefore(this.heap[child + 1], this.heap[child])) child++
      if (!isBefore(this.heap[child], entry)) break
      this.heap[index] = this.heap[child]
      index = child
    }
    this.heap[index] = entry
  }
}

function isBefore (left: Entry, right: Entry): boolean {
  return left.at < right.at || (left.at === right.at && left.sequence < right.sequence)
}
