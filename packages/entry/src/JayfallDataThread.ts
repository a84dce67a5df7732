/**
 * The entry point of a data thread.
 *
 * The worker is started from this file when the compiled packages run, and from the bundle when the program is one
 * bundled file. In both cases the last statement of this file starts the thread.
 */

import { isMainThread, parentPort, workerData, type MessagePort } from 'node:worker_threads'

import { invariant } from '#jayfall/shared'
import { type Log, type LogFields, type LogLevel } from '#jayfall/telemetry'

import { type ListenTarget } from './JayfallCallerApi'
import { type ControlMessage, type DataMessage } from './JayfallControlLink'
import { createDataParts } from './JayfallDataParts'
import { DataPlane, type DataPlaneSettings } from './JayfallDataPlane'
import { OPEN_REQUESTS_REPORT_INTERVAL_MILLISECONDS } from './JayfallEntryConstants'
import { listenOnHighDescriptor } from './JayfallListeningDescriptor'
import { PortLink } from './JayfallPortLink'

/** The worker data that a data thread is started with. */
export interface DataThreadStart {
  readonly role: 'jayfall-data-thread'
  readonly settings: DataPlaneSettings
  readonly logLevel: LogLevel
  /** The data thread's end of the link to the control thread. */
  readonly controlPort: MessagePort
}

/** A command from the thread that owns the data threads. */
export type ThreadCommand =
  | { readonly kind: 'listen', readonly target: ListenTarget }
  | { readonly kind: 'drain' }
  | { readonly kind: 'interrupt' }
  | { readonly kind: 'stop' }

/** A message from a data thread to the thread that owns it. */
export type ThreadMessage =
  | { readonly kind: 'listening', readonly descriptor: number }
  | { readonly kind: 'listen-failed', readonly message: string }
  | { readonly kind: 'log', readonly level: Exclude<LogLevel, 'silent'>, readonly event: string, readonly fields?: LogFields }
  | Extract<DataMessage, { kind: 'state' }>
  /** The reply to `drain`: the number of open requests after the listener and the idle connections were closed. */
  | { readonly kind: 'drained', readonly openRequests: number }
  | { readonly kind: 'stopped' }

/** Log levels in ascending order of severity. */
const LOG_LEVELS: readonly LogLevel[] = ['debug', 'info', 'warn', 'error', 'silent']

/** Creates a log whose events are sent to the thread that owns the data threads, which writes them. */
function createThreadLog (lowestLevel: LogLevel, report: (report: ThreadMessage) => void): Log {
  const createWriter = (level: Exclude<LogLevel, 'silent'>) => {
    const isWritten = LOG_LEVELS.indexOf(level) >= LOG_LEVELS.indexOf(lowestLevel)
    return (event: string, fields?: LogFields): void => { if (isWritten) report({ kind: 'log', level, event, fields }) }
  }
  return { debug: createWriter('debug'), info: createWriter('info'), warn: createWriter('warn'), error: createWriter('error') }
}

function runDataThread ({ settings, logLevel, controlPort }: DataThreadStart): void {
  const owner = parentPort
  invariant(owner !== null, 'a data thread runs in a worker thread')
  const report = (message: ThreadMessage): void => owner.postMessage(message)
  const plane = new DataPlane(settings, new PortLink<DataMessage, ControlMessage>(controlPort), createThreadLog(logLevel, report), createDataParts())
  let reportedOpenRequests = 0
  setInterval(() => {
    const { openRequests } = plane
    if (openRequests !== reportedOpenRequests) report({ kind: 'state', openRequests })
    reportedOpenRequests = openRequests
  }, OPEN_REQUESTS_REPORT_INTERVAL_MILLISECONDS)
  owner.on('message', (command: ThreadCommand) => {
    executeCommand(plane, command, report).catch((error: Error) => report({ kind: 'listen-failed', message: error.message }))
  })
}

async function executeCommand (plane: DataPlane, command: ThreadCommand, report: (report: ThreadMessage) => void): Promise<void> {
  switch (command.kind) {
    case 'listen': {
      const { target } = command
      if ('fd' in target) await plane.listen(target)
      else await listenOnHighDescriptor(() => plane.listen(target))
      report({ kind: 'listening', descriptor: plane.descriptor })
      break
    }
    case 'drain':
      plane.drain()
      report({ kind: 'drained', openRequests: plane.openRequests })
      break
    case 'interrupt':
      plane.interruptAll()
      break
    case 'stop':
      await plane.stop()
      report({ kind: 'stopped' })
  }
}

if (!isMainThread && (workerData as Partial<DataThreadStart> | null)?.role === 'jayfall-data-thread') runDataThread(workerData as DataThreadStart)
