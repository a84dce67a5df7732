/** Client threads of the relay bench: each holds a part of the open streams and measures the gaps between tokens. */

import * as http from 'node:http'
import { once } from 'node:events'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'

import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'

import { MICROSECONDS_PER_MILLISECOND } from './JayfallBenchConstants'

/** One stream to open. */
export interface StreamTarget {
  readonly address: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: object
  /** Path at which the stream is cancelled when its connection is closed, for servers that do not notice. */
  readonly cancelPath?: string
}

interface ClientStart {
  readonly role: 'stream-clients'
  readonly targets: readonly StreamTarget[]
  /** Milliseconds over which the streams are opened. */
  readonly ramp: number
}

interface ClientResult {
  readonly gaps: string
  readonly events: number
  readonly open: number
  readonly broken: number
  readonly utilization: number
}

/** What all clients measured. */
export interface StreamMeasurement {
  /** Gaps between tokens in microseconds. */
  readonly gaps: Histogram
  readonly events: number
  /** Streams that were open at the end. */
  readonly open: number
  /** Streams that ended before the bench closed them. */
  readonly broken: number
  /** Share of the measured time that the busiest client thread's event loop was active. */
  readonly highestUtilization: number
}

const EVENT_END = Buffer.from('\n\n')

/** The streams of one thread. */
class StreamClients {
  private readonly agent = new http.Agent({ keepAlive: false })
  private readonly gaps = build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  private readonly requests = new Map<http.ClientRequest, StreamTarget>()
  private events = 0
  private broken = 0
  private isMeasuring = false
  private loopStart = performance.eventLoopUtilization()

  constructor (targets: readonly StreamTarget[], ramp: number) {
    targets.forEach((target, index) => setTimeout(() => this.open(target), ramp * index / targets.length))
  }

  measure (): void {
    this.isMeasuring = true
    this.loopStart = performance.eventLoopUtilization()
  }

  async finish (): Promise<ClientResult> {
    this.isMeasuring = false
    const { utilization } = performance.eventLoopUtilization(this.loopStart)
    const open = this.requests.size
    const cancels = [...this.requests].map(([request, target]) => this.close(request, target))
    await Promise.all(cancels)
    return { gaps: encodeIntoCompressedBase64(this.gaps), events: this.events, open, broken: this.broken, utilization }
  }

  private open (target: StreamTarget): void {
    const [host, port] = target.address.split(':')
    const request = http.request({ host, port, agent: this.agent, method: 'POST', path: '/v1/chat/completions', headers: { 'content-type': 'application/json', ...target.headers } })
    this.requests.set(request, target)
    request.on('response', response => this.read(response))
    request.on('error', () => {})
    request.once('close', () => {
      if (this.requests.delete(request)) this.broken++
    })
    request.end(JSON.stringify(target.body))
  }

  private read (response: http.IncomingMessage): void {
    let last = performance.now()
    response.on('error', () => {})
    response.on('data', (chunk: Buffer) => {
      const now = performance.now()
      // Events that arrive in one chunk have no gap between them.
      for (let end = chunk.indexOf(EVENT_END), gap = now - last; end !== -1; end = chunk.indexOf(EVENT_END, end + 2), gap = 0) this.record(gap)
      last = now
    })
  }

  private record (gap: number): void {
    if (!this.isMeasuring) return
    this.gaps.recordValue(Math.round(gap * MICROSECONDS_PER_MILLISECOND))
    this.events++
  }

  private async close (request: http.ClientRequest, { address, cancelPath }: StreamTarget): Promise<void> {
    this.requests.delete(request)
    request.destroy()
    if (cancelPath === undefined) return
    const cancel = http.request(`http://${address}${cancelPath}`, { method: 'DELETE', agent: this.agent }).end()
    const [response] = await once(cancel, 'response') as [http.IncomingMessage]
    response.resume()
  }
}

/** Opens the streams from `threads` threads, waits for `ramp + settle`, and measures for `duration`; all in milliseconds. */
export async function measureStreams (targets: readonly StreamTarget[], threads: number, times: { readonly ramp: number, readonly settle: number, readonly duration: number }, hooks: { readonly onMeasure: () => void, readonly onMeasured: () => void }): Promise<StreamMeasurement> {
  const workers = Array.from({ length: threads }, (_, thread) => {
    const start: ClientStart = { role: 'stream-clients', targets: targets.filter((_target, index) => index % threads === thread), ramp: times.ramp }
    return new Worker(__filename, { workerData: start })
  })
  await sleep(times.ramp + times.settle)
  for (const worker of workers) worker.postMessage('measure')
  hooks.onMeasure()
  await sleep(times.duration)
  hooks.onMeasured()
  const results = await Promise.all(workers.map(async worker => {
    worker.postMessage('finish')
    const [result] = await once(worker, 'message') as [ClientResult]
    await worker.terminate()
    return result
  }))
  const gaps = build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  for (const result of results) gaps.add(decodeFromCompressedBase64(result.gaps))
  const sum = (field: 'events' | 'open' | 'broken'): number => results.reduce((total, result) => total + result[field], 0)
  return { gaps, events: sum('events'), open: sum('open'), broken: sum('broken'), highestUtilization: Math.max(...results.map(({ utilization }) => utilization)) }
}

function sleep (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

const start = workerData as Partial<ClientStart> | null
if (!isMainThread && start?.role === 'stream-clients' && start.targets !== undefined) {
  const clients = new StreamClients(start.targets, start.ramp ?? 0)
  parentPort?.on('message', (command: 'measure' | 'finish') => {
    if (command === 'measure') clients.measure()
    else clients.finish().then(result => parentPort?.postMessage(result), (error: Error) => { throw error })
  })
}
