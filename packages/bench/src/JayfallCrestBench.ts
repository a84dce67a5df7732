/**
 * `crest`: all of a class starts within 2 s, with 6 times the mean load and above capacity for 20 s.
 *
 * Fair shares are max-min fair over the work that workspaces ask for during the peak and the
 * servers' nominal capacity; an answer that arrives after its deadline is useless. Goodput
 * after the peak is judged by the useful part of the requests that arrive in each second.
 */

import { computeFairShares } from '#jayfall/routing'
import { createRandomSource, meanOf, type RandomSource } from '#jayfall/shared'

import { type BenchFigure } from './JayfallBench'
import { aloneMilliseconds, capacityOf, type FakeServerSettings } from './JayfallFakeServer'
import { FleetBench, JAYFALL, ratiosToBest, ROUTERS, valuesOf, type Measures, type RunMeasures } from './JayfallFleetBench'
import { FleetRun, type FleetSettings } from './JayfallFleetRun'
import { arrivalInterval, drawArrivals, drawSize, meanWorkOf, pickWorkspace, WORKSPACES, type FleetOutcome, type FleetRequest } from './JayfallFleetWorkload'

const ENGINE: FakeServerSettings = { slots: 16, tokenInterval: 10, batchSlowdown: 0.02, promptTokenTime: 0.2, cacheBlocks: 4000, blockTokens: 16 }
/** The mean load; 6 times as much is 3 times the capacity. */
const MEAN_LOAD = 0.5
const PEAK_FACTOR = 6
const PEAK_AT = 30_000
const PEAK_RAMP = 2000
const PEAK_UNTIL = PEAK_AT + 20_000
const ARRIVALS_UNTIL = 70_000
const DURATION = 80_000
const DEADLINE = 3000
/** The class that starts: its workspace, and two smaller ones that share the course. */
const CLASS_WORKSPACES = [WORKSPACES[0], WORKSPACES[0], WORKSPACES[0], WORKSPACES[3], WORKSPACES[6]]
const WINDOW = 1000
/** The part of the useful answers before the peak that counts as its level. */
const RECOVERED_PART = 0.95

export class CrestBench extends FleetBench {
  override readonly name = 'crest'

  protected override measure (seed: number): RunMeasures {
    const settings: FleetSettings = { instances: 9, servers: 8, server: ENGINE, reportLag: 500, reportInterval: 1000, duration: DURATION, seed }
    const requests = drawRequests(seed, settings)
    return Object.fromEntries(Object.entries(ROUTERS).map(([name, create]) => [name, measureRun(new FleetRun(settings, create).run(requests).outcomes, settings)]))
  }

  protected override figures (runs: readonly RunMeasures[]): readonly BenchFigure[] {
    return [
      { name: 'useful-answers', value: meanOf(ratiosToBest(runs, 'useful-in-peak', 'higher')), unit: 'ratio', bound: 1.5, isLowerBound: true },
      { name: 'lowest-fair-share', value: Math.min(...valuesOf(runs, JAYFALL, 'lowest-fair-share')), unit: 'ratio', bound: 0.8, isLowerBound: true },
      { name: 'recovery', value: Math.max(...valuesOf(runs, JAYFALL, 'recovery-s')), unit: 's', bound: 5 },
      { name: 'latest-refusal', value: Math.max(...valuesOf(runs, JAYFALL, 'latest-refusal-ms')), unit: 'ms', bound: 50 }
    ]
  }
}

function measureRun (outcomes: readonly FleetOutcome[], { server, servers }: FleetSettings): Measures {
  const peak = outcomes.filter(({ request }) => request.at >= PEAK_AT && request.at < PEAK_UNTIL)
  const refusals = outcomes.flatMap(({ request, refusedAt }) => refusedAt === undefined ? [] : [refusedAt - request.at])
  return {
    'useful-in-peak': peak.filter(isUseful).length,
    'lowest-fair-share': lowestFairShare(peak, server, capacityOf(server) * servers * (PEAK_UNTIL - PEAK_AT)),
    'recovery-s': recoveryTime(outcomes) / 1000,
    'latest-refusal-ms': Math.max(0, ...refusals),
    'late-refusals': refusals.filter(delay => delay > 50).length,
    'unanswered-in-peak': peak.filter(({ abandonedAt }) => abandonedAt !== undefined).length
  }
}

function isUseful ({ request, finishedAt }: FleetOutcome): boolean {
  return finishedAt !== undefined && finishedAt <= request.at + request.deadline
}

function lowestFairShare (peak: readonly FleetOutcome[], server: FakeServerSettings, capacity: number): number {
  const workOf = (outcomes: readonly FleetOutcome[]) => outcomes.reduce((sum, { request }) => sum + aloneMilliseconds(server, request.promptTokens, request.outputTokens), 0)
  const byWorkspace = WORKSPACES.map(workspace => peak.filter(({ request }) => request.workspace === workspace)).filter(({ length }) => length > 0)
  const shares = computeFairShares(capacity, byWorkspace.map(workOf))
  return Math.min(...byWorkspace.map((outcomes, index) => workOf(outcomes.filter(isUseful)) / shares[index]))
}

/** Milliseconds after the peak until the useful part of arrivals is, and stays, at its level before the peak. */
function recoveryTime (outcomes: readonly FleetOutcome[]): number {
  const usefulPart = (from: number, until: number) => {
    const arrived = outcomes.filter(({ request }) => request.at >= from && request.at < until)
    return arrived.filter(isUseful).length / Math.max(1, arrived.length)
  }
  const level = usefulPart(PEAK_AT / 2, PEAK_AT) * RECOVERED_PART
  let recovered = ARRIVALS_UNTIL
  while (recovered > PEAK_UNTIL && usefulPart(recovered - WINDOW, recovered) >= level) recovered -= WINDOW
  return recovered - PEAK_UNTIL
}

export function drawRequests (seed: number, { server, servers }: FleetSettings): readonly FleetRequest[] {
  const random = createRandomSource(seed)
  const sample = Array.from({ length: 5000 }, () => drawRequest(random, 0, ''))
  const interval = arrivalInterval(server, servers, MEAN_LOAD, meanWorkOf(server, sample))
  const usual = [...drawArrivals(random, interval, ARRIVALS_UNTIL)].map(at => drawRequest(random, at, pickWorkspace(random)))
  const added = [...drawArrivals(random, interval / (PEAK_FACTOR - 1), PEAK_UNTIL - PEAK_AT)]
    // The class does not start in one instant: its load rises over the first two seconds.
    .filter(at => at >= PEAK_RAMP || random.chance(at / PEAK_RAMP))
    .map(at => drawRequest(random, PEAK_AT + at, random.pick(CLASS_WORKSPACES) ?? WORKSPACES[0]))
  return [...usual, ...added].sort((left, right) => left.at - right.at)
}

function drawRequest (random: RandomSource, at: number, workspace: string): FleetRequest {
  return {
    at, workspace, kind: 'short', promptTokens: drawSize(random, 200, 0.4), maximumOutputTokens: 512, outputTokens: Math.min(512, drawSize(random, 50, 0.4)), deadline: DEADLINE, prefixBlocks: []
  }
}
