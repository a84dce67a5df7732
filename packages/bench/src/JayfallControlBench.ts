/**
 * What control costs a node: `npm run bench -- control --nodes 9,18,36,72 --servers 15,60,240`.
 *
 * Runs of the real control code on loopback sockets vary one size at a time: the members of a
 * zone, the servers in the catalogue, and the number of zones. Lines through the runs
 * give the cost at the target size.
 */

import { Bench, type BenchOptions, type BenchResult } from './JayfallBench'
import { fitLine, type Fit } from './JayfallControlBenchFit'
import { measureIdleMemory, measurePlatformCalls, runControl, type ControlRunResult } from './JayfallControlBenchRun'
import { measureSteps } from './JayfallControlBenchSteps'

const BUDGETS = { cpu: 11, memory: 64e6, bytes: 13_000 } as const
type Measure = keyof typeof BUDGETS
const MEASURES: readonly { readonly name: Measure, readonly unit: string, readonly scale: number }[] = [
  { name: 'cpu', unit: 'thousandths of a core', scale: 1 },
  { name: 'memory', unit: 'MB', scale: 1e-6 },
  { name: 'bytes', unit: 'bytes/s', scale: 1 }
]

const TARGET = { members: 56, servers: 10_000, zones: 16 } as const
/** Zones of the runs that vary members and servers. */
const ZONES = 2
const DEFAULT_DURATION_MILLISECONDS = 8000

/** Runs along one size. */
interface Axis {
  readonly name: string
  readonly base: number
  readonly target: number
  readonly points: readonly { readonly x: number, readonly result: ControlRunResult }[]
}

export class ControlBench extends Bench {
  override readonly name = 'control'
  override readonly isDeterministic = false

  override async run ({ seed, parameters }: BenchOptions): Promise<BenchResult> {
    const nodes = readList(parameters.nodes ?? '9,18,36,72')
    const servers = readList(parameters.servers ?? '15,60,240')
    const duration = Number(parameters.duration ?? DEFAULT_DURATION_MILLISECONDS)
    const idleMemory = await measureIdleMemory()
    const results: ControlRunResult[] = []
    const run = async (nodeCount: number, zones: number, serverCount: number): Promise<ControlRunResult> => {
      const found = results.find(({ settings }) => settings.nodes === nodeCount && settings.zones === zones && settings.servers === serverCount)
      if (found !== undefined) return found
      const result = await runControl({ nodes: nodeCount, zones, servers: serverCount, seed, duration }, idleMemory)
      results.push(result)
      return result
    }
    const middleNodes = nodes[Math.floor((nodes.length - 1) / 2)]
    const middleServers = servers[Math.floor((servers.length - 1) / 2)] * ZONES
    const axes: readonly Axis[] = [
      { name: 'members per zone', base: middleNodes / ZONES, target: TARGET.members, points: await along(nodes, async count => ({ x: count / ZONES, result: await run(count, ZONES, middleServers) })) },
      { name: 'servers', base: middleServers, target: TARGET.servers, points: await along([...servers.map(count => count * ZONES), TARGET.servers], async count => ({ x: count, result: await run(middleNodes, ZONES, count) })) },
      {
        name: 'zones',
        base: ZONES,
        target: TARGET.zones,
        points: await along([ZONES, TARGET.zones], async zones => ({ x: zones, result: await run(nodes[0] / ZONES * zones, zones, middleServers) }))
      }
    ]
    const base = await run(middleNodes, ZONES, middleServers)
    // The heap's free part depends on when garbage is collected and follows no size, so the largest of all runs counts in full.
    const freeHeap = Math.max(...results.map(result => result.freeHeap))
    const estimates = MEASURES.map(({ name }) => estimate(name, base, axes, name === 'memory' ? freeHeap : 0))
    return {
      figures: [{ name: 'worst_budget_ratio', value: Math.max(...estimates.map(({ ratio }) => ratio)), unit: 'ratio', bound: 1 }],
      report: [...describeRuns(results), ...estimates.flatMap((one, index) => describeEstimate(one, MEASURES[index])), ...describeSteps(), ...describeCalls(await measurePlatformCalls())]
    }
  }
}

interface Estimate {
  readonly value: number
  readonly error: number
  readonly ratio: number
  readonly fits: readonly { readonly axis: Axis, readonly fit: Fit }[]
}

/** The base run, moved along each axis by its slope, and `added`. */
function estimate (measure: Measure, base: ControlRunResult, axes: readonly Axis[], added: number): Estimate {
  const fits = axes.map(axis => ({ axis, fit: fitLine(axis.points.map(({ x, result }) => ({ x, y: result[measure] })), axis.target) }))
  const value = fits.reduce((sum, { axis, fit }) => sum + fit.slope * (axis.target - axis.base), base[measure] + added)
  const error = Math.sqrt(fits.reduce((sum, { fit }) => sum + fit.errorAtTarget ** 2, 0))
  return { value, error, ratio: value / BUDGETS[measure], fits }
}

function describeEstimate ({ value, error, ratio, fits }: Estimate, { name, unit, scale }: typeof MEASURES[number]): readonly string[] {
  return [
    `target measure=${name} value=${round(value * scale)} error=${round(error * scale)} unit="${unit}" budget=${BUDGETS[name] * scale} ratio=${round(ratio)}`,
    ...fits.map(({ axis, fit }) => `slope measure=${name} axis="${axis.name}" slope=${round(fit.slope * scale)} from=${axis.base} to=${axis.target} adds=${round(fit.slope * (axis.target - axis.base) * scale)} error=${round(fit.errorAtTarget * scale)} points=${axis.points.length}`)
  ]
}

function describeRuns (results: readonly ControlRunResult[]): readonly string[] {
  return results.flatMap(({ settings, cpu, bytes, memory, freeHeap, storeReads, storeWrites, storeBytes, kinds, delays, changes }) => {
    const sorted = [...delays].sort((left, right) => left - right)
    const spread = sorted.length === 0 ? 'none' : `median=${round(sorted[Math.floor(sorted.length / 2)])} worst=${round(sorted[sorted.length - 1])}`
    const size = `nodes=${settings.nodes} zones=${settings.zones} servers=${settings.servers}`
    return [
      `run ${size} cpu=${round(cpu)} bytes=${round(bytes)} memory_mb=${round(memory / 1e6)} free_heap_mb=${round(freeHeap / 1e6)} store_reads=${round(storeReads)} store_writes=${round(storeWrites)} store_bytes=${round(storeBytes)} changes=${changes} in_force_ms ${spread}`,
      ...[...kinds].map(([kind, counts]) => `messages ${size} kind=${kind} per_second=${round(counts.messages)} request_bytes=${round(counts.requestBytes)} reply_bytes=${round(counts.replyBytes)}`)
    ]
  })
}

function describeSteps (): readonly string[] {
  return measureSteps(TARGET.members, TARGET.zones).map(({ name, microseconds, perSecond }) =>
    `step name="${name}" microseconds=${round(microseconds)} per_second=${perSecond} thousandths_of_a_core=${round(microseconds * perSecond / 1000)}`)
}

function describeCalls (costs: Readonly<Record<string, number>>): readonly string[] {
  return Object.entries(costs).map(([name, microseconds]) => `call name="${name}" microseconds=${round(microseconds)}`)
}

async function along<Value> (sizes: readonly number[], measure: (size: number) => Promise<Value>): Promise<readonly Value[]> {
  const values: Value[] = []
  for (const size of sizes) values.push(await measure(size))
  return values
}

function readList (text: string): readonly number[] {
  return text.split(',').map(Number)
}

function round (value: number): number {
  return Number(value.toPrecision(4))
}
