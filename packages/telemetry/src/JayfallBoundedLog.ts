/**
 * A log with a bounded buffer, for processes whose log reader may be slow. JSON lines are written in the background.
 *
 * When the buffer is full, lines are dropped and counted, so that a stopped reader never delays a request. Once there is
 * room in the buffer, a line reports the number of dropped lines.
 */

import pino from 'pino'

import { LOG_BUFFER_BYTES, LOG_FLUSH_INTERVAL_MILLISECONDS, LOG_WRITE_THRESHOLD_BYTES } from './JayfallTelemetryConstants'
import { createEventLog, type Log, type LogFields } from './JayfallLog'

/** A log that buffers lines up to a limit. */
export interface BoundedLog extends Log {
  /** Writes the buffered lines and calls `done`. */
  close (done: () => void): void
  /** Drops the buffered lines and writes nothing more. */
  discard (): void
}

/** Creates a log that writes JSON lines to the file descriptor `destination`, by default the standard output. Each line contains `commonFields`. */
export function createBoundedLog (commonFields: LogFields, destination = 1): BoundedLog {
  const output = pino.destination({ dest: destination, sync: false, minLength: LOG_WRITE_THRESHOLD_BYTES, maxLength: LOG_BUFFER_BYTES, periodicFlush: LOG_FLUSH_INTERVAL_MILLISECONDS })
  const log = createEventLog('info', commonFields, output)
  let droppedLines = 0
  output.on('drop', () => { droppedLines++ })
  // A reader that closes the pipe must not end the process.
  output.on('error', () => { droppedLines++ })
  const reportDroppedLines = (): void => {
    if (droppedLines === 0) return
    const lines = droppedLines
    droppedLines = 0
    log.warn('log_lines_dropped', { lines })
  }
  const timer = setInterval(reportDroppedLines, LOG_FLUSH_INTERVAL_MILLISECONDS)
  timer.unref()
  return {
    ...log,
    close: done => {
      clearInterval(timer)
      output.flush(() => done())
    },
    discard: () => {
      clearInterval(timer)
      output.destroy()
    }
  }
}
