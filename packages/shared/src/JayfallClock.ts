/** Time sources. Code whose decisions depend on time receives a clock, so that tests and benches control the time. */

/** A source of time. All values are milliseconds. */
export abstract class Clock {
  /** Monotonic time since an arbitrary origin that is the same for all threads. Use it for intervals and ages. */
  abstract monotonic (): number
  /** Wall-clock time since the Unix epoch. Use it only for display and stored timestamps. */
  abstract wall (): number
}

/** The clock of the running process. */
export class SystemClock extends Clock {
  override monotonic (): number {
    // process.hrtime has the same origin in all threads of the process, unlike performance.now.
    const [seconds, nanoseconds] = process.hrtime()
    return seconds * 1000 + nanoseconds / 1e6
  }

  override wall (): number {
    return Date.now()
  }
}

/** A clock that advances only by calls of its methods. */
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

  /** Advances the clock by `milliseconds`. */
  advance (milliseconds: number): void {
    this.now += milliseconds
  }

  /** Advances the clock to `milliseconds`; a time in the past has no effect. */
  advanceTo (milliseconds: number): void {
    this.now = Math.max(this.now, milliseconds)
  }
}

/** Resolves after `milliseconds`. The timer does not keep the process alive when `isUnreferenced` is set. */
export function delay (milliseconds: number, isUnreferenced = false): Promise<void> {
  return new Promise(resolve => {
    const timer = setTimeout(resolve, milliseconds)
    if (isUnreferenced) timer.unref()
  })
}
