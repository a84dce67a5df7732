/** Requests of a fleet run, drawn from a seed before the run, so that every router gets the same. */

import { type RefusalCode } from '#jayfall/routing'
import { type RandomSource } from '#jayfall/shared'

import { aloneMilliseconds, capacityOf, type FakeServerSettings } from './JayfallFakeServer'

/** One request as its caller knows it, and its answer's length, which only the server knows. */
export interface FleetRequest {
  /** Milliseconds from the start of the run. */
  readonly at: number
  readonly workspace: string
  readonly kind: 'short' | 'long'
  readonly promptTokens: number
  readonly maximumOutputTokens: number
  readonly outputTokens: number
  /** Milliseconds after `at`. */
  readonly deadline: number
  readonly session?: string
  readonly prefixBlocks: readonly string[]
}

/** What became of a request. Times are milliseconds from the start of the run. */
export interface FleetOutcome {
  readonly request: FleetRequest
  readonly attempts: number
  readonly hedges: number
  /** When the answer's attempt got a slot. */
  readonly startedAt?: number
  readonly firstTokenAt?: number
  readonly finishedAt?: number
  readonly refusedAt?: number
  readonly refusal?: RefusalCode
  readonly abandonedAt?: number
}

/** A time at which a server is `factor` times slower. */
export interface SlowMoment {
  readonly server: number
  readonly from: number
  readonly until: number
  readonly factor: number
}

export const WORKSPACES: readonly string[] = Array.from({ length: 10 }, (_, index) => `workspace-${index}`)

/** A few workspaces are large: weights fall by a third from one to the next. */
export function pickWorkspace (random: RandomSource): string {
  let index = 0
  while (index < WORKSPACES.length - 1 && random.chance(1 / 3)) index++
  return WORKSPACES[(index * 3 + (random.chance(0.3) ? random.integer(0, 9) : 0)) % WORKSPACES.length]
}

/** A positive number around `median`, with a tail. */
export function drawSize (random: RandomSource, median: number, deviation: number): number {
  return Math.max(1, Math.round(median * Math.exp(random.normal(0, deviation))))
}

/** Milliseconds between arrivals so that requests of `meanWork` use `load` of the servers. */
export function arrivalInterval (server: FakeServerSettings, servers: number, load: number, meanWork: number): number {
  return meanWork / (capacityOf(server) * servers * load)
}

/** Mean work of requests in milliseconds of a server on which they run alone. */
export function meanWorkOf (server: FakeServerSettings, requests: readonly FleetRequest[]): number {
  return requests.reduce((sum, { promptTokens, outputTokens }) => sum + aloneMilliseconds(server, promptTokens, outputTokens), 0) / requests.length
}

/** Arrival times of a Poisson process up to `until`. */
export function * drawArrivals (random: RandomSource, interval: number, until: number): Generator<number> {
  for (let at = random.exponential(interval); at < until; at += random.exponential(interval)) yield at
}
