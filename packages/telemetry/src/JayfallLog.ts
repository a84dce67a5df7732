/** Logs: one line of key=value pairs for each event. */

import { Writable } from 'node:stream'

import pino from 'pino'

export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent'

/** Facts of one event. Values are written as text; keys are lower case with underscores. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Writes events. */
export interface Log {
  debug (event: string, fields?: LogFields): void
  info (event: string, fields?: LogFields): void
  warn (event: string, fields?: LogFields): void
  error (event: string, fields?: LogFields): void
}

/** Creates a log that writes lines to `write`, by default to the standard output. */
export function createLog (level: LogLevel, fixed: LogFields = {}, write: (line: string) => void = line => { process.stdout.write(line) }): Log {
  const destination = new Writable({
    write (chunk: Buffer, _encoding, done) {
      write(formatLine(JSON.parse(chunk.toString()) as Record<string, unknown>))
      done()
    }
  })
  return createEventLog(level, fixed, destination)
}

/** Creates a log that writes JSON lines to a stream. */
export function createEventLog (level: LogLevel, fixed: LogFields, destination: pino.DestinationStream): Log {
  const logger = pino({ level, base: fixed, timestamp: pino.stdTimeFunctions.isoTime, formatters: { level: label => ({ level: label }) } }, destination)
  return {
    debug: (event, fields) => logger.debug({ event, ...fields }),
    info: (event, fields) => logger.info({ event, ...fields }),
    warn: (event, fields) => logger.warn({ event, ...fields }),
    error: (event, fields) => logger.error({ event, ...fields })
  }
}

/** One line of key=value pairs; values with blanks, quotes or line ends are quoted. */
export function formatLine (fields: Readonly<Record<string, unknown>>): string {
  const { time, level, event, ...rest } = fields
  return Object.entries({ time, level, event, ...rest })
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ') + '\n'
}

function formatValue (value: unknown): string {
  const text = String(value)
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text)
}
