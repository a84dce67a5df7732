/** Time sources. Decision code takes a clock so that tests and benches control time. */

/** A source of time. All values are milliseconds. */
export abstract class Clock {
  /** Monotonic time since an arbitrary origin that all threads share. Use it for intervals and ages. */
  abstract monotonic (): number
  /** Wall-clock time since the Unix epoch. Use it only for display and stored timestamps. */
  abstract wall (): number
}

/** The clock of the running process. */
export class SystemClock extends Clock {
  override monotonic (): number {
    // hrtime has one origin for all threads of the process, which performance.now() has not.
    const [seconds, nanoseconds] = process.hrtime()
    return seconds * 1000 + nanoseconds / 1e6
  }

  override wall (): number {
    return Date.now()
  }
}

/** A clock that moves only when told to. */
export class ManualClock extends Clock {
  private now: number

  constructor (start = 0) {
    super()
    this.now = start
  }

  override monotonic (): number {
    return this.now
  }

  override wall (): number {
    return this.now
  }

  /** Moves the clock forward by `milliseconds`. */
  advance (milliseconds: number): void {
    this.now += milliseconds
  }

  /** Moves the clock forward to `milliseconds`; never backwards. */
  advanceTo (milliseconds: number): void {
    this.now = Math.max(this.now, milliseconds)
  }
}

/** Resolves after `milliseconds`. The timer does not keep the process alive when `unreferenced`. */
export function delay (milliseconds: number, unreferenced = false): Promise<void> {
  return new Promise(resolve => {
    const timer = setTimeout(resolve, milliseconds)
    if (unreferenced) timer.unref()
  })
}
