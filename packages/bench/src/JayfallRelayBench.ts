/**
 * Bench `relay`: one entry process relays the streams of a node at the target size.
 *
 * The same clients first read all streams directly from the engines and then through the
 * entry instance, so that both sides share the engines' own jitter and the machine's load.
 */

import * as os from 'node:os'

import { TestSystem, testCallerKey, testEngineService, testVersion, testWorkspace, type TestServer } from '#jayfall/testbed'
import { type Histogram } from 'hdr-histogram-js'

import { DEFAULT_DATA_THREADS } from '#jayfall/settings'

import { Bench, type BenchOptions, type BenchResult } from './JayfallBench'
import { MICROSECONDS_PER_MILLISECOND, TARGET_EVENTS_PER_SECOND, TARGET_STREAMS } from './JayfallBenchConstants'
import { readProcessUsage, type ProcessUsage } from './JayfallProcessUsage'
import { measureStreams, type StreamMeasurement, type StreamTarget } from './JayfallStreamClients'

const WORKSPACE = 'bench'
const VERSION = 'guide-1'
const SERVICE = 'engines'
const ENTRY = 'entry-1'
const WITNESS = 'entry-2'
const ENGINES = 4
const CLIENT_THREADS = 3
/** Slots of the pool, as a multiple of the instance's streams; 56 instances share a zone's servers at the target. */
const ZONE_SLOTS_FACTOR = 56
/** With the timers' resolution of 1 ms this gives at least the target rate of events. */
const TOKEN_INTERVAL_MILLISECONDS = 39
const TIMES = { ramp: 3000, settle: 2000, duration: 12_000 }
/** More tokens than a stream generates in a run. */
const OUTPUT_TOKENS = 5000
const ADDED_GAP_BOUND_MILLISECONDS = 10

/** A load producer that is busier than this may delay tokens itself. */
const PRODUCER_LIMIT = 0.9

interface Side {
  readonly measurement: StreamMeasurement
  /** Shares of a core that the engine processes used, the busiest last. */
  readonly engineCpu: readonly number[]
  /** Milliseconds of CPU time of the entry process. */
  readonly entryCpu: number
  readonly entryMemory: number
}

export class RelayBench extends Bench {
  override readonly name = 'relay'
  override readonly isDeterministic = false

  override async run ({ parameters }: BenchOptions): Promise<BenchResult> {
    const threads = parameters.threads ?? String(DEFAULT_DATA_THREADS)
    const system = await startSystem(threads)
    try {
      const idleMemory = readProcessUsage(system.entryProcess(ENTRY).processId).memory
      const direct = await measureSide(system, engineTargets(system))
      const relayed = await measureSide(system, entryTargets(system))
      return createResult(direct, relayed, idleMemory, threads)
    } finally {
      await system.stop()
    }
  }
}

async function startSystem (threads: string): Promise<TestSystem> {
  // One instance uses a small part of its zone's slots; a pool that it filled alone would be guarded against it.
  const slots = Math.ceil(TARGET_STREAMS * ZONE_SLOTS_FACTOR / ENGINES)
  const servers = engineNames().map((id): TestServer => ({
    id,
    zone: 'bench',
    service: SERVICE,
    type: 'engine',
    options: ['--slots', String(slots), '--token-interval', String(TOKEN_INTERVAL_MILLISECONDS), '--batch-slowdown', '0']
  }))
  const limits = { requestsPerSecond: 100_000, tokensPerSecond: 1e9, concurrentRequests: 10_000 }
  const version = testVersion(VERSION, { limits: { maximumPromptTokens: 10_000, maximumOutputTokens: OUTPUT_TOKENS, concurrentRequests: 10_000 } })
  const settings = { threads: { 'data-threads': threads } }
  const system = await TestSystem.start({
    servers,
    // A second instance of the zone holds copies of the bills, as in any deployment.
    entries: [{ id: ENTRY, zone: 'bench', settings: { telemetry: { 'log-level': 'warn' }, ...settings } }, { id: WITNESS, zone: 'bench' }],
    catalogue: [version, testEngineService(SERVICE, [VERSION]), testWorkspace(WORKSPACE, [VERSION], { limits })]
  })
  // The fault proxy would be the bottleneck, so the entry instance reaches the engines directly.
  for (const { id, zone, service } of servers) {
    await system.putEntry({ kind: 'server', id, zone, service, address: system.directAddress(id), checksFencing: true, leaving: false })
  }
  await new Promise(resolve => setTimeout(resolve, 2500))
  return system
}

function engineNames (): readonly string[] {
  return Array.from({ length: ENGINES }, (_, index) => `engine-${index + 1}`)
}

const BODY = { model: VERSION, messages: [{ role: 'user', content: 'draft a course guide' }], max_tokens: OUTPUT_TOKENS, stream: true }

function engineTargets (system: TestSystem): readonly StreamTarget[] {
  const addresses = engineNames().map(id => system.directAddress(id))
  return Array.from({ length: TARGET_STREAMS }, (_, index) => ({
    address: addresses[index % ENGINES], headers: { 'x-request-id': `direct-${index}` }, body: BODY, cancelPath: `/streams/direct-${index}`
  }))
}

function entryTargets (system: TestSystem): readonly StreamTarget[] {
  const target = { address: system.callersAddress(ENTRY), headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}` }, body: BODY }
  return Array.from({ length: TARGET_STREAMS }, () => target)
}

async function measureSide (system: TestSystem, targets: readonly StreamTarget[]): Promise<Side> {
  const processes = [system.entryProcess(ENTRY), ...engineNames().map(id => system.standInProcess(id))]
  const readAll = (): readonly ProcessUsage[] => processes.map(({ processId }) => readProcessUsage(processId))
  let before = readAll()
  let after = before
  const measurement = await measureStreams(targets, CLIENT_THREADS, TIMES, { onMeasure: () => { before = readAll() }, onMeasured: () => { after = readAll() } })
  const used = after.map(({ cpu }, index) => cpu - before[index].cpu)
  return { measurement, engineCpu: used.slice(1).map(cpu => cpu / TIMES.duration).sort((left, right) => left - right), entryCpu: used[0], entryMemory: after[0].memory }
}

function percentile (gaps: Histogram, percent: number): number {
  return gaps.getValueAtPercentile(percent) / MICROSECONDS_PER_MILLISECOND
}

function createResult (direct: Side, relayed: Side, idleMemory: number, threads: string): BenchResult {
  const { measurement, entryCpu } = relayed
  const added = percentile(measurement.gaps, 95) - percentile(direct.measurement.gaps, 95)
  const busiest = Math.max(...[direct, relayed].flatMap(side => [side.measurement.highestUtilization, ...side.engineCpu]))
  return {
    figures: [
      { name: 'added_gap_p95', value: added, unit: 'ms', bound: ADDED_GAP_BOUND_MILLISECONDS },
      { name: 'events_per_second', value: measurement.events / TIMES.duration * 1000, unit: '1/s', bound: TARGET_EVENTS_PER_SECOND, isLowerBound: true },
      { name: 'open_streams', value: measurement.open, unit: '1', bound: TARGET_STREAMS, isLowerBound: true },
      { name: 'broken_streams', value: measurement.broken, unit: '1', bound: 0 },
      { name: 'busiest_load_producer', value: busiest, unit: 'cores', bound: PRODUCER_LIMIT }
    ],
    report: [
      `load average at the end: ${os.loadavg().map(load => load.toFixed(1)).join(' ')} on ${os.availableParallelism()} cores; data threads: ${threads}`,
      describeSide('direct', direct),
      describeSide('relayed', relayed),
      `entry: ${(entryCpu * 1000 / measurement.events).toFixed(1)} us CPU per event, ${(entryCpu / TIMES.duration).toFixed(2)} cores, ` +
        `${((relayed.entryMemory - idleMemory) / 1024 / TARGET_STREAMS).toFixed(1)} KiB per open stream (resident ${(relayed.entryMemory / 2 ** 20).toFixed(0)} MiB, idle ${(idleMemory / 2 ** 20).toFixed(0)} MiB)`
    ]
  }
}

function describeSide (name: string, { measurement, engineCpu }: Side): string {
  const gaps = [50, 95, 99, 99.9].map(percent => `p${percent} ${percentile(measurement.gaps, percent).toFixed(1)}`).join(', ')
  return `${name}: gaps in ms ${gaps}; ${(measurement.events / TIMES.duration * 1000).toFixed(0)} events/s; ` +
    `engines ${engineCpu.map(cpu => cpu.toFixed(2)).join(' ')} cores; busiest client thread ${measurement.highestUtilization.toFixed(2)}`
}
