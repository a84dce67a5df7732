/**
 * Data planes in worker threads of their own, on one listening socket.
 *
 * The first thread listens on the callers' address, and the others on its descriptor.
 * A thread that ends unexpectedly closes the shared descriptor, and its fault may have any
 * cause; the host then reports a failure, and the instance finishes the requests of the
 * other threads and ends, to be replaced by the platform.
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
// The bundle must contain the program of the data threads.
import './JayfallDataThread'

type Report<Kind extends ThreadMessage['kind']> = Extract<ThreadMessage, { kind: Kind }>

/** Starts the worker of a data thread. */
export type CreateWorker = (options: WorkerOptions) => Worker

/** A single executable has no file to start a worker from; its bundle is an asset. */
const createWorker: CreateWorker = options => sea.isSea()
  ? new Worker(sea.getAsset(BUNDLE_ASSET, 'utf8'), { ...options, eval: true })
  : new Worker(threadFile(), options)

/** This file when it is the whole bundled program, else the compiled file of the data thread. */
function threadFile (): string {
  return __filename.endsWith('JayfallThreadedDataHost.js') ? path.join(__dirname, 'JayfallDataThread.js') : __filename
}

/** Owns one data thread. */
class DataThread {
  openRequests = 0
  readonly hasEnded: Promise<Error>
  private isEnded = false
  private readonly worker: Worker
  private readonly waiting = new Map<ThreadMessage['kind'], { readonly resolve: (report: ThreadMessage) => void, readonly reject: (error: Error) => void }>()

  constructor (start: Omit<DataThreadStart, 'role' | 'controlPort'>, attach: (link: ControlLinkEnd) => void, private readonly log: Log, create: CreateWorker) {
    const { port1, port2 } = new MessageChannel()
    const workerData: DataThreadStart = { role: 'jayfall-data-thread', controlPort: port2, ...start }
    this.worker = create({ workerData, transferList: [port2] })
    this.worker.on('message', (report: ThreadMessage) => this.take(report))
    this.hasEnded = new Promise(resolve => {
      this.worker.on('error', (error: Error) => resolve(error))
      this.worker.on('exit', status => resolve(new EntryError('data_thread_failed', `a data thread ended with status ${status}`)))
    })
    this.hasEnded.then(error => this.end(error), () => {})
    attach(new PortLink<ControlMessage, DataMessage>(port1))
  }

  send (command: ThreadCommand): void {
    this.worker.postMessage(command)
  }

  /** @throws EntryError `listen_failed` */
  async listen (target: ListenTarget): Promise<number> {
    const listening = this.next('listening')
    this.send({ kind: 'listen', target })
    return (await listening).descriptor
  }

  /** Resolves once `openRequests` counts what was open after the listener was closed. */
  async drain (): Promise<void> {
    if (this.isEnded) return
    const drained = this.next('drained')
    this.send({ kind: 'drain' })
    await drained.catch((error: Error) => this.log.warn('data_thread_drain_failed', { message: error.message }))
  }

  async stop (): Promise<void> {
    if (this.isEnded) return
    const stopped = this.next('stopped')
    this.send({ kind: 'stop' })
    const timer = setTimeout(() => this.waiting.get('stopped')?.reject(new EntryError('data_thread_failed', 'a data thread did not stop')), THREAD_STOP_LIMIT_MILLISECONDS)
    await stopped.catch((error: Error) => this.log.warn('data_thread_stop_failed', { message: error.message }))
    clearTimeout(timer)
    await this.worker.terminate()
  }

  private next<Kind extends ThreadMessage['kind']> (kind: Kind): Promise<Report<Kind>> {
    return new Promise((resolve, reject) => { this.waiting.set(kind, { resolve: resolve as (report: ThreadMessage) => void, reject }) })
  }

  private take (report: ThreadMessage): void {
    if (report.kind === 'log') this.log[report.level](report.event, report.fields)
    else if (report.kind === 'listen-failed') this.waiting.get('listening')?.reject(new EntryError('listen_failed', report.message))
    else this.waiting.get(report.kind)?.resolve(report)
    if ('openRequests' in report) this.openRequests = report.openRequests
  }

  private end (error: Error): void {
    this.isEnded = true
    this.openRequests = 0
    for (const { reject } of this.waiting.values()) reject(error)
  }
}

/** Runs data planes in worker threads. */
export class ThreadedDataHost extends DataHost {
  override readonly failure: Promise<Error>
  private readonly threads: readonly DataThread[]
  private isStopping = false

  constructor (count: number, settings: DataPlaneSettings, logLevel: LogLevel, attach: (link: ControlLinkEnd) => void, log: Log, create: CreateWorker = createWorker) {
    super()
    // The limit holds for the process; each thread enforces its part.
    const connectionLimit = Math.ceil(settings.limits.connectionLimit / count)
    const threadSettings = { ...settings, limits: { ...settings.limits, connectionLimit } }
    this.threads = Array.from({ length: count }, () => new DataThread({ settings: threadSettings, logLevel }, attach, log, create))
    this.failure = new Promise(resolve => {
      for (const thread of this.threads) {
        thread.hasEnded.then(error => {
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
