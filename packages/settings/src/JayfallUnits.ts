/** Parsing of durations and sizes with units in settings and command arguments. */

import * as z from 'zod'

const MILLISECONDS_BY_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 }
const BYTES_BY_UNIT: Readonly<Record<string, number>> = { B: 1, KiB: 1024, MiB: 1024 ** 2, GiB: 1024 ** 3 }

/** Parses a duration such as `250ms` or `3s` into milliseconds; undefined when the text is not a duration. */
export function parseDuration (text: string): number | undefined {
  return parseWithUnit(text, MILLISECONDS_BY_UNIT)
}

/** Parses a size such as `1MiB` into bytes; undefined when the text is not a size. */
export function parseSize (text: string): number | undefined {
  return parseWithUnit(text, BYTES_BY_UNIT)
}

function parseWithUnit (text: string, factors: Readonly<Record<string, number>>): number | undefined {
  const match = /^(\d+(?:\.\d+)?)([A-Za-z]+)$/.exec(text)
  const factor = match === null ? undefined : factors[match[2]]
  return match === null || factor === undefined ? undefined : Number(match[1]) * factor
}

/** Schema of a duration; the parsed value is in milliseconds. */
export function durationSetting (defaultText: string) {
  return unitSetting(parseDuration, 'a duration with a unit, such as 250ms, 3s, 5m or 1h', defaultText)
}

/** Schema of a size; the parsed value is in bytes. */
export function sizeSetting (defaultText: string) {
  return unitSetting(parseSize, 'a size with a unit, such as 512B, 64KiB, 1MiB or 2GiB', defaultText)
}

function unitSetting (parse: (text: string) => number | undefined, expected: string, defaultText: string) {
  return z.string({ error: `expected ${expected}` }).transform((text, context) => {
    const value = parse(text)
    if (value !== undefined) return value
    context.addIssue({ code: 'custom', message: `expected ${expected}` })
    return z.NEVER
  }).prefault(defaultText)
}
