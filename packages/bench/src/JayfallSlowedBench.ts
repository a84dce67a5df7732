/**
 * `slowed`: 2 of 13 servers are 8 times slower for seconds at a time; reports are 3 s late.
 *
 * Latency is the time from a request's arrival to its last token.
 */

import { createRandomSource, meanOf, quantileOf, type RandomSource } from '#jayfall/shared'

import { type BenchFigure } from './JayfallBench'
import { type FakeServerSettings } from './JayfallFakeServer'
import { FleetBench, JAYFALL, ratiosToBest, ROUTERS, valuesOf, type RunMeasures } from './JayfallFleetBench'
import { FleetRun, type FleetSettings } from './JayfallFleetRun'
import { arrivalInterval, drawArrivals, drawSize, meanWorkOf, pickWorkspace, type FleetOutcome, type FleetRequest, type SlowMoment } from './JayfallFleetWorkload'

const ENGINE: FakeServerSettings = { slots: 16, tokenInterval: 10, batchSlowdown: 0.02, promptTokenTime: 0.2, cacheBlocks: 4000, blockTokens: 16 }
export const SLOWED_SERVERS = 13
const SLOWED_AT_ONCE = 2
const SLOW_FACTOR = 8
const SHORTEST_MOMENT = 4000
const LONGEST_MOMENT = 8000
/** Mean time between the starts of two moments. */
const MOMENT_INTERVAL = 12_000
const LOAD = 0.6
const WARM_UP = 10_000
const ARRIVALS_UNTIL = 75_000
const DURATION = 100_000
const DEADLINE = 30_000
/** The name of jayfall's run without slowed servers. */
const CLEAN = 'jayfall-clean'

export class SlowedBench extends FleetBench {
  override readonly name = 'slowed'

  protected override measure (seed: number): RunMeasures {
    const clean: FleetSettings = { instances: 9, servers: SLOWED_SERVERS, server: ENGINE, reportLag: 3000, reportInterval: 1000, duration: DURATION, seed }
    const slowed = { ...clean, slowMoments: drawSlowMoments(seed, SLOWED_SERVERS, ARRIVALS_UNTIL) }
    const requests = drawRequests(seed, clean)
    const measures = Object.entries(ROUTERS).map(([name, create]) => {
      const { outcomes, extraWork } = new FleetRun(slowed, create).run(requests)
      return [name, { ...measureLatency(outcomes), 'extra-work': extraWork }]
    })
    const { outcomes, extraWork } = new FleetRun(clean, ROUTERS[JAYFALL]).run(requests)
    return Object.fromEntries([...measures, [CLEAN, { ...measureLatency(outcomes), 'extra-work': extraWork }]])
  }

  protected override figures (runs: readonly RunMeasures[]): readonly BenchFigure[] {
    const toClean = runs.map(run => run[JAYFALL]['latency-p99-ms'] / run[CLEAN]['latency-p99-ms'])
    return [
      { name: 'p99-to-clean', value: meanOf(toClean), unit: 'ratio', bound: 1.25 },
      { name: 'p99-to-best-baseline', value: meanOf(ratiosToBest(runs, 'latency-p99-ms', 'lower')), unit: 'ratio', bound: 1 / 3 },
      { name: 'extra-work', value: Math.max(...valuesOf(runs, JAYFALL, 'extra-work')), unit: 'part', bound: 0.03 }
    ]
  }
}

function measureLatency (outcomes: readonly FleetOutcome[]): { readonly 'latency-p50-ms': number, readonly 'latency-p99-ms': number } {
  const latencies = outcomes.filter(({ request }) => request.at >= WARM_UP).map(({ request, finishedAt }) => finishedAt === undefined ? request.deadline : finishedAt - request.at)
  return { 'latency-p50-ms': quantileOf(latencies, 0.5), 'latency-p99-ms': quantileOf(latencies, 0.99) }
}

/** Moments at which two servers, others each time, are slow together. */
export function drawSlowMoments (seed: number, servers: number, until: number): readonly SlowMoment[] {
  const random = createRandomSource(seed + 1_000_000)
  const moments: SlowMoment[] = []
  const indexes = Array.from({ length: servers }, (_, index) => index)
  for (let from = MOMENT_INTERVAL * random.uniform(); from < until; from += MOMENT_INTERVAL * (0.7 + 0.6 * random.uniform())) {
    const length = SHORTEST_MOMENT + (LONGEST_MOMENT - SHORTEST_MOMENT) * random.uniform()
    for (const server of random.sample(indexes, SLOWED_AT_ONCE)) moments.push({ server, from, until: from + length, factor: SLOW_FACTOR })
  }
  return moments
}

function drawRequests (seed: number, { server, servers }: FleetSettings): readonly FleetRequest[] {
  const random = createRandomSource(seed)
  const sample = Array.from({ length: 5000 }, () => drawRequest(random, 0))
  const interval = arrivalInterval(server, servers, LOAD, meanWorkOf(server, sample))
  return [...drawArrivals(random, interval, ARRIVALS_UNTIL)].map(at => drawRequest(random, at))
}

function drawRequest (random: RandomSource, at: number): FleetRequest {
  return {
    at,
    workspace: pickWorkspace(random),
    kind: 'short',
    promptTokens: drawSize(random, 200, 0.4),
    maximumOutputTokens: 512,
    outputTokens: Math.min(512, drawSize(random, 30, 0.3)),
    deadline: DEADLINE,
    prefixBlocks: []
  }
}
