/** Logs of events. `createLog` writes one line of key=value pairs for each event; `createEventLog` writes JSON lines. */

import { Writable } from 'node:stream'

import pino from 'pino'

/** The lowest level that is written; `silent` writes nothing. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent'

/** Fields of one event. Values are written as text; keys are in lower case with underscores. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Writes events at four levels. */
export interface Log {
  debug (event: string, fields?: LogFields): void
  info (event: string, fields?: LogFields): void
  warn (event: string, fields?: LogFields): void
  error (event: string, fields?: LogFields): void
}

/** Creates a log that passes lines to `write`, by default to the standard output. Each line contains `commonFields`. */
export function createLog (level: LogLevel, commonFields: LogFields = {}, write: (line: string) => void = line => { process.stdout.write(line) }): Log {
  const destination = new Writable({
    write (chunk: Buffer, _encoding, done) {
      write(formatLine(JSON.parse(chunk.toString()) as Record<string, unknown>))
      done()
    }
  })
  return createEventLog(level, commonFields, destination)
}

/** Creates a log that writes JSON lines to a stream. Each line contains `commonFields`. */
export function createEventLog (level: LogLevel, commonFields: LogFields, destination: pino.DestinationStream): Log {
  const logger = pino({ level, base: commonFields, timestamp: pino.stdTimeFunctions.isoTime, formatters: { level: label => ({ level: label }) } }, destination)
  return {
    debug: (event, fields) => logger.debug({ event, ...fields }),
    info: (event, fields) => logger.info({ event, ...fields }),
    warn: (event, fields) => logger.warn({ event, ...fields }),
    error: (event, fields) => logger.error({ event, ...fields })
  }
}

/** Formats one line of key=value pairs; values with spaces, quotes, equals signs or line breaks are quoted. */
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
