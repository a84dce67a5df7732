/** `jayfall explain`: shows what happened to a request, and the likely cause of its outcome. */

import * as fs from 'node:fs'

import { readLogLine, type LogRecord } from '#jayfall/telemetry'
import { command, positional, restPositionals, string } from 'cmd-ts'

import { CommandError } from './JayfallCommandError'
import { jsonOption } from './JayfallCommandOptions'
import { printResult, runSubcommand } from './JayfallCommandOutput'
import { createTimeline, type TimelineStep } from './JayfallRequestTimeline'

/** File descriptor. */
const STANDARD_INPUT = 0

export const explainCommand = command({
  name: 'explain',
  description: 'Show what happened to a request, from the log lines of all instances.',
  args: {
    request: positional({ type: string, displayName: 'REQUEST-ID', description: 'identifier of the request' }),
    logs: restPositionals({ type: string, displayName: 'LOG', description: 'log files; the standard input by default' }),
    json: jsonOption
  },
  handler: ({ request, logs, json }) => runSubcommand(async () => {
    const { records, unreadable } = readRecords(logs)
    const timeline = createTimeline(request, records)
    if (timeline === undefined) {
      throw new CommandError('failed', `none of ${records.length} log lines names the request ${request}; ${unreadable} lines could not be read. Check the identifier and whether the logs cover its time`)
    }
    printResult(json, { ...timeline, unreadable }, [
      `request ${request}`,
      ...timeline.steps.map(formatStep),
      'beliefs before its end:',
      ...timeline.beliefs.map(formatStep),
      `cause: ${timeline.cause}`,
      ...(unreadable === 0 ? [] : [`${unreadable} lines could not be read`])
    ])
  })
})

function readRecords (logs: readonly string[]): { readonly records: readonly LogRecord[], readonly unreadable: number } {
  const texts = logs.length === 0 ? [fs.readFileSync(STANDARD_INPUT, 'utf8')] : logs.map(readLog)
  const lines = texts.flatMap(text => text.split('\n')).filter(line => line.trim() !== '')
  const records = lines.map(readLogLine).filter(record => record !== undefined)
  return { records, unreadable: lines.length - records.length }
}

function readLog (path: string): string {
  try {
    return fs.readFileSync(path, 'utf8')
  } catch (error) {
    throw new CommandError('usage', `the log ${path} cannot be read`, error)
  }
}

function formatStep ({ time, instance, text }: TimelineStep): string {
  return `  ${time ?? '?'} ${instance ?? '?'}: ${text}`
}
