/**
 * A log for processes whose reader may be slow: JSON lines that are written in the background.
 *
 * Lines beyond the buffer are left out and counted, so that a reader that stops never holds a
 * request up. A line tells how many were left out once there is room again.
 */

import pino from 'pino'

import { LOG_BUFFER_BYTES, LOG_FLUSH_INTERVAL_MILLISECONDS, LOG_WRITE_BYTES } from './JayfallTelemetryConstants'
import { createEventLog, type Log, type LogFields } from './JayfallLog'

export interface BoundedLog extends Log {
  /** Writes what is buffered and calls `done`. */
  close (done: () => void): void
  /** Drops what is buffered and writes nothing more. */
  abandon (): void
}

/** Creates a log of JSON lines on `destination`, a file descriptor; the standard output by default. */
export function createBoundedLog (fixed: LogFields, destination = 1): BoundedLog {
  const output = pino.destination({ dest: destination, sync: false, minLength: LOG_WRITE_BYTES, maxLength: LOG_BUFFER_BYTES, periodicFlush: LOG_FLUSH_INTERVAL_MILLISECONDS })
  const log = createEventLog('info', fixed, output)
  let dropped = 0
  output.on('drop', () => { dropped++ })
  // A closed reader must not end the process.
  output.on('error', () => { dropped++ })
  const report = (): void => {
    if (dropped === 0) return
    const lines = dropped
    dropped = 0
    log.warn('log_lines_dropped', { lines })
  }
  const timer = setInterval(report, LOG_FLUSH_INTERVAL_MILLISECONDS)
  timer.unref()
  return {
    ...log,
    close: done => {
      clearInterval(timer)
      output.flush(() => done())
    },
    abandon: () => {
      clearInterval(timer)
      output.destroy()
    }
  }
}
