/**
 * `affinity`: sessions with shared prefixes over limited cache memory; cache events come late
 * and with gaps. The same sessions run again on slowed servers, where latency must not be lost.
 */

import { createRandomSource, meanOf, quantileOf, type RandomSource } from '#jayfall/shared'

import { type BenchFigure } from './JayfallBench'
import { type FakeServerSettings } from './JayfallFakeServer'
import { FleetBench, ratiosToBest, ROUTERS, type RunMeasures } from './JayfallFleetBench'
import { FleetRun, type FleetResult, type FleetSettings } from './JayfallFleetRun'
import { drawSize, WORKSPACES, type FleetRequest } from './JayfallFleetWorkload'
import { drawSlowMoments, SLOWED_SERVERS } from './JayfallSlowedBench'

const BLOCK_TOKENS = 16
/** All caches together hold most of the prompts of the open sessions once, so copies on several servers do not fit. */
const ENGINE: FakeServerSettings = { slots: 16, tokenInterval: 10, batchSlowdown: 0.02, promptTokenTime: 0.4, cacheBlocks: 1500, blockTokens: BLOCK_TOKENS }
const SESSIONS = 900
const ARRIVALS_UNTIL = 60_000
const DURATION = 85_000
const WARM_UP = 10_000
const DEADLINE = 30_000
const SHARED_BLOCKS = 32
/** Milliseconds between two turns of a session. */
const THINKING = 8000

export class AffinityBench extends FleetBench {
  override readonly name = 'affinity'

  protected override measure (seed: number): RunMeasures {
    const clean: FleetSettings = { instances: 9, servers: SLOWED_SERVERS, server: ENGINE, reportLag: 3000, reportInterval: 1000, duration: DURATION, seed }
    const slowed = { ...clean, slowMoments: drawSlowMoments(seed, SLOWED_SERVERS, ARRIVALS_UNTIL) }
    const requests = drawSessions(seed)
    return Object.fromEntries(Object.entries(ROUTERS).map(([name, create]) => {
      const usual = new FleetRun(clean, create).run(requests)
      return [name, {
        'recomputed-tokens': usual.recomputedTokens,
        'latency-p99-ms': latencyP99(usual),
        'slowed-p99-ms': latencyP99(new FleetRun(slowed, create).run(requests))
      }]
    }))
  }

  protected override figures (runs: readonly RunMeasures[]): readonly BenchFigure[] {
    return [
      { name: 'recomputed-tokens', value: meanOf(ratiosToBest(runs, 'recomputed-tokens', 'lower')), unit: 'ratio', bound: 0.6 },
      { name: 'slowed-p99', value: meanOf(ratiosToBest(runs, 'slowed-p99-ms', 'lower')), unit: 'ratio', bound: 1 }
    ]
  }
}

function latencyP99 ({ outcomes }: FleetResult): number {
  return quantileOf(outcomes.filter(({ request }) => request.at >= WARM_UP).map(({ request, finishedAt }) => finishedAt === undefined ? request.deadline : finishedAt - request.at), 0.99)
}

function drawSessions (seed: number): readonly FleetRequest[] {
  const random = createRandomSource(seed)
  return Array.from({ length: SESSIONS }, (_, index) => [...drawTurns(random, `session-${index}`)]).flat().sort((left, right) => left.at - right.at)
}

/** The turns of one session: each prompt holds the workspace's shared prefix and all earlier turns. */
function * drawTurns (random: RandomSource, session: string): Generator<FleetRequest> {
  const workspace = random.pick(WORKSPACES) ?? WORKSPACES[0]
  const blocks = Array.from({ length: SHARED_BLOCKS }, (_, index) => `${workspace}/${index}`)
  // Sessions start throughout, and some were open before the run began.
  for (let at = random.uniform() * ARRIVALS_UNTIL; at < ARRIVALS_UNTIL && random.chance(0.85); at += THINKING * (0.5 + random.uniform())) {
    const outputTokens = Math.min(512, drawSize(random, 50, 0.5))
    const added = Math.ceil((drawSize(random, 120, 0.5) + outputTokens) / BLOCK_TOKENS)
    for (let count = 0; count < added; count++) blocks.push(`${session}/${blocks.length}`)
    yield {
      at,
      workspace,
      kind: 'short',
      promptTokens: blocks.length * BLOCK_TOKENS,
      maximumOutputTokens: 512,
      outputTokens,
      deadline: DEADLINE,
      session,
      prefixBlocks: [...blocks]
    }
  }
}
