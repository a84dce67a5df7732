/**
 * Hosts data planes in separate worker threads that share one listening socket.
 *
 * The first thread listens on the address for callers, and the other threads on its file descriptor. A thread that ends
 * unexpectedly closes the shared descriptor, and its fault may have any cause. The host then reports a failure, and the
 * instance finishes the requests of the other threads and exits, so that the platform replaces it.
 */

import * as path from 'node:path'
import * as sea from 'node:sea'
import { MessageChannel, Worker, type WorkerOptions } from 'node:worker_threads'

import { type Log, type LogLevel } from '#jayfall/telemetry'

import { type ControlLinkEnd, type ControlMessage, type DataMessage } from './JayfallControlLink'
import { DataHost, type ListenAddress } from './JayfallDataHost'
import { type ListenTarget } from './JayfallCallerApi'
import { type DataPlaneSettings } from './JayfallDataPlane'
import { type DataThreadStart, type ThreadCommand, type ThreadMessage } from './JayfallDataThread'
import { BUNDLE_ASSET, THREAD_STOP_LIMIT_MILLISECONDS } from './JayfallEntryConstants'
import { EntryError } from './JayfallEntryError'
import { PortLink } from './JayfallPortLink'
// This import makes the bundler include the entry point of the data threads.
import './JayfallDataThread'

type MessageOfKind<Kind extends ThreadMessage['kind']> = Extract<ThreadMessage, { kind: Kind }>

/** Starts the worker of a data thread. */
export type CreateWorker = (options: WorkerOptions) => Worker

/** Starts the worker from a file or, in a single executable, from the bundle in its assets. */
const createDefaultWorker: CreateWorker = options => sea.isSea()
  ? new Worker(sea.getAsset(BUNDLE_ASSET, 'utf8'), { ...options, eval: true })
  : new Worker(findWorkerFile(), options)

/** Returns this file if it is the bundled program, otherwise the compiled file of the data thread. */
function findWorkerFile (): string {
  return __filename.endsWith('JayfallThreadedDataHost.js') ? path.join(__dirname, 'JayfallDataThread.js') : __filename
}

/** Controls one data thread. */
class DataThreadHandle {
  openRequests = 0
  /** Resolves with the cause when the thread has ended. */
  readonly whenEnded: Promise<Error>
  private isEnded = false
  private readonly worker: Worker
  /** The promises that wait for a message, by kind of message. */
  private readonly pendingReplies = new Map<ThreadMessage['kind'], { readonly resolve: (report: ThreadMessage) => void, readonly reject: (error: Error) => void }>()

  constructor (start: Omit<DataThreadStart, 'role' | 'controlPort'>, attach: (link: ControlLinkEnd) => void, private readonly log: Log, createWorker: CreateWorker) {
    const { port1, port2 } = new MessageChannel()
    const workerData: DataThreadStart = { role: 'jayfall-data-thread', controlPort: port2, ...start }
    this.worker = createWorker({ workerData, transferList: [port2] })
    this.worker.on('message', (report: ThreadMessage) => this.handleMessage(report))
    this.whenEnded = new Promise(resolve => {
      this.worker.on('error', (error: Error) => resolve(error))
      this.worker.on('exit', status => resolve(new EntryError('data_thread_failed', `a data thread ended with status ${status}`)))
    })
    this.whenEnded.then(error => this.markEnded(error), () => {})
    attach(new PortLink<ControlMessage, DataMessage>(port1))
  }

  send (command: ThreadCommand): void {
    this.worker.postMessage(command)
  }

  /** Starts listening and returns the descriptor of the socket. @throws EntryError `listen_failed` */
  async listen (target: ListenTarget): Promise<number> {
    const listening = this.waitForMessage('listening')
    this.send({ kind: 'listen', target })
    return (await listening).descriptor
  }

  /** Stops accepting connections; resolves once `openRequests` has been updated after the listener was closed. */
  async drain (): Promise<void> {
    if (this.isEnded) return
    const drained = this.waitForMessage('drained')
    this.send({ kind: 'drain' })
    await drained.catch((error: Error) => this.log.warn('data_thread_drain_failed', { message: error.message }))
  }

  async stop (): Promise<void> {
    if (this.isEnded) return
    const stopped = this.waitForMessage('stopped')
    this.send({ kind: 'stop' })
    const timer = setTimeout(() => this.pendingReplies.get('stopped')?.reject(new EntryError('data_thread_failed', 'a data thread did not stop')), THREAD_STOP_LIMIT_MILLISECONDS)
    await stopped.catch((error: Error) => this.log.warn('data_thread_stop_failed', { message: error.message }))
    clearTimeout(timer)
    await this.worker.terminate()
  }

  /** Resolves with the next message of a kind. */
  private waitForMessage<Kind extends ThreadMessage['kind']> (kind: Kind): Promise<MessageOfKind<Kind>> {
    return new Promise((resolve, reject) => { this.pendingReplies.set(kind, { resolve: resolve as (report: ThreadMessage) => void, reject }) })
  }

  private handleMessage (report: ThreadMessage): void {
    if (report.kind === 'log') this.log[report.level](report.event, report.fields)
    else if (report.kind === 'listen-failed') this.pendingReplies.get('listening')?.reject(new EntryError('listen_failed', report.message))
    else this.pendingReplies.get(report.kind)?.resolve(report)
    if ('openRequests' in report) this.openRequests = report.openRequests
  }

  private markEnded (error: Error): void {
    this.isEnded = true
    this.openRequests = 0
    for (const { reject } of this.pendingReplies.values()) reject(error)
  }
}

/** Hosts one data plane in each of several worker threads. */
export class ThreadedDataHost extends DataHost {
  override readonly failure: Promise<Error>
  private readonly threads: readonly DataThreadHandle[]
  private isStopping = false

  constructor (count: number, settings: DataPlaneSettings, logLevel: LogLevel, attach: (link: ControlLinkEnd) => void, log: Log, createWorker: CreateWorker = createDefaultWorker) {
    super()
    // The connection limit applies to the process; each thread enforces an equal part of it.
    const connectionLimit = Math.ceil(settings.limits.connectionLimit / count)
    const threadSettings = { ...settings, limits: { ...settings.limits, connectionLimit } }
    this.threads = Array.from({ length: count }, () => new DataThreadHandle({ settings: threadSettings, logLevel }, attach, log, createWorker))
    this.failure = new Promise(resolve => {
      for (const thread of this.threads) {
        thread.whenEnded.then(error => {
          if (this.isStopping) return
          log.error('data_thread_failed', { message: error.message })
          resolve(error)
        }, () => {})
      }
    })
  }

  override get openRequests (): number {
    return this.threads.reduce((sum, { openRequests }) => sum + openRequests, 0)
  }

  override async listen (address: ListenAddress): Promise<void> {
    const [first, ...others] = this.threads
    const fd = await first.listen(address)
    await Promise.all(others.map(thread => thread.listen({ fd })))
  }

  override async drain (): Promise<number> {
    await Promise.all(this.threads.map(thread => thread.drain()))
    return this.openRequests
  }

  override async interrupt (): Promise<void> {
    for (const thread of this.threads) thread.send({ kind: 'interrupt' })
  }

  override async stop (): Promise<void> {
    this.isStopping = true
    await Promise.all(this.threads.map(thread => thread.stop()))
  }
}
