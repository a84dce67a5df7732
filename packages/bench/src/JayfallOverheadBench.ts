/**
 * Bench `overhead`: the latency that the entry instance adds to short requests.
 *
 * Requests arrive by a schedule that does not wait for answers, alternately direct and through
 * the entry instance, so that both sides share the machine's load at every moment.
 */

import * as http from 'node:http'
import * as os from 'node:os'

import { TestSystem, testCallerKey, testEngineService, testPlainService, testVersion, testWorkspace, type TestServer } from '#jayfall/testbed'
import { createRandomSource, type RandomSource } from '#jayfall/shared'
import { build, type Histogram } from 'hdr-histogram-js'

import { DEFAULT_DATA_THREADS } from '#jayfall/settings'

import { Bench, type BenchFigure, type BenchOptions, type BenchResult } from './JayfallBench'
import { MICROSECONDS_PER_MILLISECOND, TARGET_REQUESTS_PER_SECOND } from './JayfallBenchConstants'
import { readProcessUsage } from './JayfallProcessUsage'

const WORKSPACE = 'bench'
const VERSION = 'guide-1'
const ENTRY = 'entry-1'
const WITNESS = 'entry-2'
const WARM_UP_SECONDS = 3
const MEASURED_SECONDS = 10
const RATE_FACTORS = [1, 4] as const
const MEDIAN_BOUND_MILLISECONDS = 2
const TAIL_BOUND_MILLISECONDS = 10
/** A load producer that is busier than this may delay requests itself. */
const PRODUCER_LIMIT = 0.9

const SERVERS: readonly TestServer[] = [
  { id: 'engine-1', zone: 'bench', service: 'engines', type: 'engine', options: ['--slots', '64', '--token-interval', '2', '--batch-slowdown', '0'] },
  { id: 'plain-1', zone: 'bench', service: 'plain', type: 'plain' }
]

/** A kind of short request with its direct and its relayed form. */
interface RequestKind {
  readonly name: string
  readonly direct: ShortRequest
  readonly relayed: ShortRequest
}

interface ShortRequest {
  readonly address: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

interface Latencies {
  readonly direct: Histogram
  readonly relayed: Histogram
  failed: number
}

export class OverheadBench extends Bench {
  override readonly name = 'overhead'
  override readonly isDeterministic = false
  private readonly agent = new http.Agent({ keepAlive: true })

  override async run ({ seed, parameters }: BenchOptions): Promise<BenchResult> {
    const random = createRandomSource(seed)
    const system = await startSystem(parameters.threads ?? String(DEFAULT_DATA_THREADS))
    try {
      const figures: BenchFigure[] = []
      const report: string[] = []
      let failed = 0
      for (const kind of requestKinds(system)) await this.runLoad(kind, TARGET_REQUESTS_PER_SECOND, WARM_UP_SECONDS, random)
      const loop = performance.eventLoopUtilization()
      for (const factor of RATE_FACTORS) {
        for (const kind of requestKinds(system)) {
          const rate = TARGET_REQUESTS_PER_SECOND * factor
          const entry = system.entryProcess(ENTRY).processId
          const before = readProcessUsage(entry).cpu
          const latencies = await this.runLoad(kind, rate, MEASURED_SECONDS, random)
          const cpu = (readProcessUsage(entry).cpu - before) / latencies.relayed.totalCount
          figures.push(...addedFigures(`${kind.name}_${rate}`, latencies))
          report.push(`${kind.name} at ${rate}/s: direct ${describe(latencies.direct)}; relayed ${describe(latencies.relayed)}; ${cpu.toFixed(2)} ms CPU of the entry per request`)
          failed += latencies.failed
        }
      }
      const { utilization } = performance.eventLoopUtilization(loop)
      report.push(`load average at the end: ${os.loadavg().map(load => load.toFixed(1)).join(' ')} on ${os.availableParallelism()} cores`)
      return {
        figures: [...figures,
          { name: 'failed_requests', value: failed, unit: '1', bound: 0 },
          { name: 'busiest_load_producer', value: utilization, unit: 'cores', bound: PRODUCER_LIMIT }],
        report
      }
    } finally {
      this.agent.destroy()
      await system.stop()
    }
  }

  /** Sends both forms at `rate` each, with exponentially distributed gaps. */
  private async runLoad ({ direct, relayed }: RequestKind, rate: number, seconds: number, random: RandomSource): Promise<Latencies> {
    const latencies: Latencies = { direct: createHistogram(), relayed: createHistogram(), failed: 0 }
    const open = new Set<Promise<void>>()
    const start = performance.now()
    for (let at = 0, count = 0; at < seconds * 1000; at += random.exponential(1000 / rate / 2), count++) {
      const wait = start + at - performance.now()
      if (wait > 0) await new Promise(resolve => setTimeout(resolve, wait))
      const [request, histogram] = count % 2 === 0 ? [direct, latencies.direct] : [relayed, latencies.relayed]
      const sent: Promise<void> = this.send(request, histogram).catch(() => { latencies.failed++ }).finally(() => open.delete(sent))
      open.add(sent)
    }
    await Promise.all(open)
    return latencies
  }

  private send ({ address, path, headers, body }: ShortRequest, histogram: Histogram): Promise<void> {
    return new Promise((resolve, reject) => {
      const startedAt = performance.now()
      const request = http.request(`http://${address}${path}`, { method: 'POST', agent: this.agent, headers: { 'content-type': 'application/json', ...headers } })
      request.on('response', response => {
        response.resume()
        response.once('end', () => {
          if (response.statusCode !== 200) return reject(new Error(`status ${response.statusCode}`))
          histogram.recordValue(Math.round((performance.now() - startedAt) * MICROSECONDS_PER_MILLISECOND))
          resolve()
        })
      })
      request.once('error', reject)
      request.end(body)
    })
  }
}

async function startSystem (threads: string): Promise<TestSystem> {
  const limits = { requestsPerSecond: 100_000, tokensPerSecond: 1e9, concurrentRequests: 10_000 }
  const settings = { threads: { 'data-threads': threads } }
  const system = await TestSystem.start({
    servers: SERVERS,
    // A second instance of the zone holds copies of the bills, as in any deployment.
    entries: [{ id: ENTRY, zone: 'bench', settings: { telemetry: { 'log-level': 'warn' }, ...settings } }, { id: WITNESS, zone: 'bench' }],
    catalogue: [testVersion(VERSION, { class: 'short' }), testEngineService('engines', [VERSION]), testPlainService('plain'), testWorkspace(WORKSPACE, [VERSION, 'plain'], { limits })]
  })
  // The fault proxy would add latency to one side only.
  for (const { id, zone, service } of SERVERS) {
    await system.putEntry({ kind: 'server', id, zone, service, address: system.directAddress(id), checksFencing: true, leaving: false })
  }
  await new Promise(resolve => setTimeout(resolve, 2500))
  return system
}

function requestKinds (system: TestSystem): readonly RequestKind[] {
  const entry = { address: system.callersAddress(ENTRY), headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}` } }
  const chat = { path: '/v1/chat/completions', body: JSON.stringify({ model: VERSION, messages: [{ role: 'user', content: 'is a place free?' }], max_tokens: 2 }) }
  const places = JSON.stringify({ course: 'spoons' })
  return [
    { name: 'chat', direct: { address: system.directAddress('engine-1'), headers: {}, ...chat }, relayed: { ...entry, ...chat } },
    {
      name: 'plain',
      direct: { address: system.directAddress('plain-1'), headers: {}, path: '/calls/places', body: places },
      relayed: { ...entry, path: '/v1/services/plain/places', body: places }
    }
  ]
}

function createHistogram (): Histogram {
  return build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
}

function percentile (histogram: Histogram, percent: number): number {
  return histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MILLISECOND
}

function addedFigures (name: string, { direct, relayed }: Latencies): readonly BenchFigure[] {
  const added = (percent: number): number => percentile(relayed, percent) - percentile(direct, percent)
  return [
    { name: `${name}_added_p50`, value: added(50), unit: 'ms', bound: MEDIAN_BOUND_MILLISECONDS },
    { name: `${name}_added_p99`, value: added(99), unit: 'ms', bound: TAIL_BOUND_MILLISECONDS }
  ]
}

function describe (histogram: Histogram): string {
  return `p50 ${percentile(histogram, 50).toFixed(2)} p99 ${percentile(histogram, 99).toFixed(2)} ms (${histogram.totalCount})`
}
