/** Parser of the log lines of instances, in JSON or in key=value format. */

/** One parsed log line. */
export interface LogRecord {
  readonly event: string
  readonly instance: string | undefined
  /** Time as written in the line; the clocks of instances may differ. */
  readonly time: string | undefined
  readonly fields: Readonly<Record<string, unknown>>
}

/** Does not begin within a key, and takes a value that is not closed up to the end, so that each character is looked at once. */
const KEY_VALUE_PAIR = /(?<![a-z_])([a-z_]+)=("(?:[^"\\]|\\.)*(?:"|$)|\S+)/g

/** Parses a log line; undefined when it is not a complete log line. Text before a JSON object is skipped. */
export function readLogLine (line: string): LogRecord | undefined {
  const fields = readJson(line) ?? readPairs(line)
  if (fields === undefined || typeof fields.event !== 'string') return undefined
  const { event, instance, time, ...rest } = fields
  return { event, instance: toOptionalText(instance), time: toOptionalText(time), fields: rest }
}

function toOptionalText (value: unknown): string | undefined {
  return value === undefined ? undefined : String(value)
}

function readJson (line: string): Record<string, unknown> | undefined {
  const start = line.indexOf('{')
  if (start === -1) return undefined
  try {
    return JSON.parse(line.slice(start)) as Record<string, unknown>
  } catch {
    // The line is truncated; the calling code counts it as unreadable.
    return undefined
  }
}

function readPairs (line: string): Record<string, unknown> | undefined {
  if (!line.includes('event=')) return undefined
  return Object.fromEntries([...line.matchAll(KEY_VALUE_PAIR)].map(([, key, value]) => [key, value.startsWith('"') ? unquote(value) : value]))
}

function unquote (value: string): string {
  try {
    return JSON.parse(value) as string
  } catch {
    // The value ends within an escape sequence, so it is returned unparsed.
    return value
  }
}
