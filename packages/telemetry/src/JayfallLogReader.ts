/** Reads the log lines of instances back, as JSON or as key=value pairs. */

/** One line of a log. */
export interface LogRecord {
  readonly event: string
  readonly instance: string | undefined
  /** As written; instances' clocks may differ. */
  readonly time: string | undefined
  readonly fields: Readonly<Record<string, unknown>>
}

const PAIR = /([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)/g

/** undefined when the line is not a whole log line; what stands before a JSON object is skipped. */
export function readLogLine (line: string): LogRecord | undefined {
  const fields = readJson(line) ?? readPairs(line)
  if (fields === undefined || typeof fields.event !== 'string') return undefined
  const { event, instance, time, ...rest } = fields
  return { event, instance: textOf(instance), time: textOf(time), fields: rest }
}

function textOf (value: unknown): string | undefined {
  return value === undefined ? undefined : String(value)
}

function readJson (line: string): Record<string, unknown> | undefined {
  const start = line.indexOf('{')
  if (start === -1) return undefined
  try {
    return JSON.parse(line.slice(start)) as Record<string, unknown>
  } catch {
    // A line that was cut off is counted by the caller as unreadable.
    return undefined
  }
}

function readPairs (line: string): Record<string, unknown> | undefined {
  if (!line.includes('event=')) return undefined
  return Object.fromEntries([...line.matchAll(PAIR)].map(([, key, value]) => [key, value.startsWith('"') ? unquote(value) : value]))
}

function unquote (value: string): string {
  try {
    return JSON.parse(value) as string
  } catch {
    // A value that ends inside an escape is shown as it stands.
    return value
  }
}
