/**
 * `blocking`: short requests mixed with a few that run 50 times longer, at 80 % of capacity.
 *
 * The wait of a request is the time from its arrival to a slot; a request that was never
 * started counts as having waited until its deadline.
 */

import { createRandomSource, meanOf, quantileOf, type RandomSource } from '#jayfall/shared'

import { type BenchFigure } from './JayfallBench'
import { type FakeServerSettings } from './JayfallFakeServer'
import { FleetBench, ratiosToBest, ROUTERS, type RunMeasures } from './JayfallFleetBench'
import { FleetRun, type FleetSettings } from './JayfallFleetRun'
import { arrivalInterval, drawArrivals, drawSize, meanWorkOf, pickWorkspace, type FleetOutcome, type FleetRequest } from './JayfallFleetWorkload'

export const ENGINE: FakeServerSettings = { slots: 8, tokenInterval: 10, batchSlowdown: 0.02, promptTokenTime: 0.2, cacheBlocks: 4000, blockTokens: 16 }

const DURATION = 120_000
const ARRIVALS_UNTIL = 90_000
const WARM_UP = 30_000
const DEADLINE = 60_000
const SHORT_OUTPUT_TOKENS = 30
/** The part of short requests whose callers ask for as many tokens as long ones. */
const SHORT_WITH_LARGE_MAXIMUM = 0.02

export class BlockingBench extends FleetBench {
  override readonly name = 'blocking'

  protected override measure (seed: number): RunMeasures {
    const settings: FleetSettings = { instances: 9, servers: 8, server: ENGINE, reportLag: 500, reportInterval: 1000, duration: DURATION, seed }
    const requests = drawRequests(seed, settings)
    return Object.fromEntries(Object.entries(ROUTERS).map(([name, create]) => {
      const outcomes = new FleetRun(settings, create).run(requests).outcomes.filter(({ request }) => request.at >= WARM_UP)
      const short = outcomes.filter(({ request }) => request.kind === 'short').map(waitOf)
      const long = outcomes.filter(({ request }) => request.kind === 'long').map(completionOf)
      return [name, { 'short-wait-p50-ms': quantileOf(short, 0.5), 'short-wait-p99-ms': quantileOf(short, 0.99), 'long-completion-ms': meanOf(long), refused: outcomes.filter(({ finishedAt }) => finishedAt === undefined).length }]
    }))
  }

  protected override figures (runs: readonly RunMeasures[]): readonly BenchFigure[] {
    return [
      { name: 'short-wait-p99', value: meanOf(ratiosToBest(runs, 'short-wait-p99-ms', 'lower')), unit: 'ratio', bound: 1 / 3 },
      { name: 'long-completion', value: meanOf(ratiosToBest(runs, 'long-completion-ms', 'lower')), unit: 'ratio', bound: 1.15 }
    ]
  }
}

function waitOf ({ request, startedAt }: FleetOutcome): number {
  return startedAt === undefined ? request.deadline : startedAt - request.at
}

function completionOf ({ request, finishedAt }: FleetOutcome): number {
  return finishedAt === undefined ? request.deadline : finishedAt - request.at
}

export function drawRequests (seed: number, { server, servers }: FleetSettings): readonly FleetRequest[] {
  const random = createRandomSource(seed)
  // 2 to 5 % of requests, a different part on each seed.
  const longPart = 0.02 + 0.03 * random.uniform()
  const sample = Array.from({ length: 5000 }, () => drawRequest(random, 0, longPart))
  const interval = arrivalInterval(server, servers, 0.8, meanWorkOf(server, sample))
  return [...drawArrivals(random, interval, ARRIVALS_UNTIL)].map(at => drawRequest(random, at, longPart))
}

function drawRequest (random: RandomSource, at: number, longPart: number): FleetRequest {
  const common = { at, workspace: pickWorkspace(random), deadline: DEADLINE, prefixBlocks: [] }
  if (random.chance(longPart)) {
    return { ...common, kind: 'long', promptTokens: drawSize(random, 900, 0.3), maximumOutputTokens: 2048, outputTokens: Math.min(2048, drawSize(random, SHORT_OUTPUT_TOKENS * 50, 0.15)) }
  }
  const maximumOutputTokens = random.chance(SHORT_WITH_LARGE_MAXIMUM) ? 2048 : 512
  return { ...common, kind: 'short', promptTokens: drawSize(random, 100, 0.6), maximumOutputTokens, outputTokens: Math.min(512, drawSize(random, SHORT_OUTPUT_TOKENS, 0.4)) }
}
