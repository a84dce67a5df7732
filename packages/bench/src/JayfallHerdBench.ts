/**
 * `herd`: 9 and then 60 entry instances share the same servers on lagging reports.
 *
 * A server's load is what runs or waits on it. The loads are averaged over windows of the
 * report lag, as instances that follow the same late report swing with that period; the
 * figure is the mean over windows of the ratio of the highest to the mean load.
 */

import { createRandomSource, meanOf, type RandomSource } from '#jayfall/shared'

import { type BenchFigure } from './JayfallBench'
import { type FakeServerSettings } from './JayfallFakeServer'
import { FleetBench, JAYFALL, ROUTERS, valuesOf, type RunMeasures } from './JayfallFleetBench'
import { FleetRun, LOAD_SAMPLE_MILLISECONDS, type FleetSettings } from './JayfallFleetRun'
import { arrivalInterval, drawArrivals, drawSize, meanWorkOf, pickWorkspace, type FleetRequest } from './JayfallFleetWorkload'

/** At the target size a server has about 9 requests/s of 400 tokens, with tens of milliseconds between tokens: some hundred streams. */
const ENGINE: FakeServerSettings = { slots: 200, tokenInterval: 16, batchSlowdown: 0.01, promptTokenTime: 0.2, cacheBlocks: 4000, blockTokens: 16 }
const SERVERS = 12
const LOAD = 0.75
const REPORT_LAG = 1000
const WARM_UP = 30_000
const DURATION = 75_000
const DEADLINE = 120_000
const FEW = 9
const MANY = 60

export class HerdBench extends FleetBench {
  override readonly name = 'herd'

  protected override measure (seed: number): RunMeasures {
    return Object.fromEntries(Object.entries(ROUTERS).map(([name, create]) => [name, Object.fromEntries([FEW, MANY].map(instances => {
      const settings: FleetSettings = { instances, servers: SERVERS, server: ENGINE, reportLag: REPORT_LAG, reportInterval: 1000, duration: DURATION, seed }
      return [`highest-to-mean-${instances}`, highestToMean(new FleetRun(settings, create).run(drawRequests(seed, settings)).loads)]
    }))]))
  }

  protected override figures (runs: readonly RunMeasures[]): readonly BenchFigure[] {
    const few = meanOf(valuesOf(runs, JAYFALL, `highest-to-mean-${FEW}`))
    const many = meanOf(valuesOf(runs, JAYFALL, `highest-to-mean-${MANY}`))
    return [
      { name: `highest-to-mean-${FEW}`, value: few, unit: 'ratio', bound: 1.2 },
      { name: `highest-to-mean-${MANY}`, value: many, unit: 'ratio', bound: 1.2 },
      { name: 'many-to-few', value: many / few, unit: 'ratio', bound: 1 }
    ]
  }
}

function highestToMean (samples: readonly (readonly number[])[]): number {
  const perWindow = REPORT_LAG / LOAD_SAMPLE_MILLISECONDS
  const ratios: number[] = []
  for (let start = WARM_UP / LOAD_SAMPLE_MILLISECONDS; start + perWindow <= samples.length; start += perWindow) {
    const window = samples.slice(start, start + perWindow)
    const loads = window[0].map((_, server) => meanOf(window.map(sample => sample[server])))
    ratios.push(Math.max(...loads) / meanOf(loads))
  }
  return meanOf(ratios)
}

function drawRequests (seed: number, { server, servers }: FleetSettings): readonly FleetRequest[] {
  const random = createRandomSource(seed)
  const sample = Array.from({ length: 5000 }, () => drawRequest(random, 0))
  const interval = arrivalInterval(server, servers, LOAD, meanWorkOf(server, sample))
  return [...drawArrivals(random, interval, DURATION)].map(at => drawRequest(random, at))
}

function drawRequest (random: RandomSource, at: number): FleetRequest {
  return {
    at,
    workspace: pickWorkspace(random),
    kind: 'short',
    promptTokens: drawSize(random, 200, 0.6),
    maximumOutputTokens: 2048,
    outputTokens: Math.min(2048, drawSize(random, 340, 0.6)),
    deadline: DEADLINE,
    prefixBlocks: []
  }
}
