/**
 * The settings of an entry instance, which are read from a file in INI format.
 *
 * All settings are validated at start. Each reported problem names the section, the key, the value and what was expected.
 */

import * as fs from 'node:fs'

import * as ini from 'ini'
import * as z from 'zod'

import { SettingsError } from './JayfallSettingsError'
import { durationSetting, sizeSetting } from './JayfallUnits'

const addressSchema = z.string({ error: 'expected an IP address and port' }).regex(/^[0-9.]+:\d+$/, 'expected an IP address and port, such as 127.0.0.1:8080')
const addressListSchema = z.string().prefault('').transform(text => text.split(',').map(part => part.trim()).filter(Boolean)).pipe(z.array(addressSchema))
const textSchema = z.string({ error: 'expected a text' }).min(1, 'expected a text')
const hashListSchema = z.string().prefault('').transform(list => list.split(',').map(part => part.trim()).filter(Boolean))
  .pipe(z.array(z.string().regex(/^[0-9a-f]{64}$/, 'expected SHA-256 hashes in hexadecimal, separated by commas')))

/** Schema of a whole number between `lowest` and `highest`, both included. */
function wholeNumberSetting (lowest: number, highest: number, defaultValue: number) {
  return z.coerce.number({ error: 'expected a whole number' }).int().min(lowest).max(highest).prefault(defaultValue)
}

/** Smallest number of data threads that relays one node's share of the target load, as shown by the bench `relay`. */
export const DEFAULT_DATA_THREADS = 3

const entrySettingsSchema = z.strictObject({
  instance: z.strictObject({
    id: textSchema,
    zone: textSchema,
    region: textSchema
  }).readonly(),
  callers: z.strictObject({
    address: addressSchema,
    'body-limit': sizeSetting('1MiB'),
    'header-timeout': durationSetting('10s'),
    'body-timeout': durationSetting('10s'),
    'idle-stream-timeout': durationSetting('30s'),
    'connection-limit': wholeNumberSetting(1, 1_000_000, 10_000),
    'request-deadline': durationSetting('60s')
  }).readonly(),
  peers: z.strictObject({
    address: addressSchema,
    /** Address at which other instances reach this one, if it differs from `address`. */
    announce: addressSchema.optional(),
    seeds: addressListSchema
  }).readonly(),
  platform: z.strictObject({
    address: addressSchema,
    timeout: durationSetting('2s')
  }).readonly(),
  keys: z.strictObject({
    'operator-hashes': hashListSchema,
    /** Passwords that seal session and stream tokens: `identifier:password`, newest first. */
    'seal-passwords': z.string({ error: 'expected identifier:password, separated by commas' }).transform(list => list.split(',').map(part => part.trim()).filter(Boolean))
      .pipe(z.array(z.string().regex(/^[A-Za-z0-9]+:.{32,}$/, 'expected identifier:password with a password of at least 32 characters')).min(1))
  }).readonly(),
  stop: z.strictObject({
    'drain-notice': durationSetting('3s'),
    'stop-limit': durationSetting('60s')
  }).prefault({}).readonly(),
  threads: z.strictObject({
    'data-threads': wholeNumberSetting(0, 64, DEFAULT_DATA_THREADS)
  }).prefault({}).readonly(),
  ledger: z.strictObject({
    'bill-memory': sizeSetting('24MiB'),
    'batch-interval': durationSetting('5s')
  }).prefault({}).readonly(),
  telemetry: z.strictObject({
    'log-level': z.enum(['debug', 'info', 'warn', 'error', 'silent']).prefault('info'),
    'trace-file': z.string().optional(),
    'otlp-address': z.string().optional()
  }).prefault({}).readonly()
}).readonly()

/** Validated settings; durations are in milliseconds, sizes in bytes. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>

/**
 * Reads and validates a settings file.
 * @throws SettingsError `settings_unreadable` or `settings_invalid`.
 */
export function readEntrySettings (path: string): EntrySettings {
  return parseEntrySettings(readFile(path))
}

function readFile (path: string): string {
  try {
    return fs.readFileSync(path, 'utf8')
  } catch (error) {
    throw new SettingsError('settings_unreadable', `the settings file ${path} cannot be read`, error)
  }
}

/**
 * Parses and validates settings.
 * @throws SettingsError `settings_invalid`, whose message contains one line for each problem.
 */
export function parseEntrySettings (content: string): EntrySettings {
  const values: unknown = JSON.parse(JSON.stringify(ini.parse(content)))
  const result = entrySettingsSchema.safeParse(values)
  if (result.success) return result.data
  const problems = result.error.issues.flatMap(issue => describeIssue(issue, values))
  throw new SettingsError('settings_invalid', `the settings are not valid:\n${problems.join('\n')}`, undefined, { problems })
}

function describeIssue (issue: z.core.$ZodIssue, values: unknown): readonly string[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => describeProblem([...issue.path, key], values, 'unknown; remove it or correct its name'))
  }
  return [describeProblem(issue.path, values, issue.message)]
}

function describeProblem (path: readonly PropertyKey[], values: unknown, expected: string): string {
  const [section, key] = path.map(String)
  const sections = values as Record<string, Record<string, unknown> | undefined>
  const value = key === undefined ? undefined : sections[section]?.[key]
  const shown = value === undefined ? 'missing' : JSON.stringify(isSecretSection(section) ? 'hidden' : value)
  return key === undefined ? `section [${section}]: ${expected}` : `section [${section}] key ${key} value ${shown}: ${expected}`
}

function isSecretSection (section: string): boolean {
  return section === 'keys'
}
