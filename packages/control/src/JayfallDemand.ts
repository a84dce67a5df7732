/** The demands of workspaces: their averages and their quantized encoding in messages. */

import { DEMAND_HYSTERESIS_STEPS, DEMAND_STEPS_PER_DOUBLING, MEMBER_AVERAGE_TIME_CONSTANT_MILLISECONDS, MAXIMUM_REPORTED_DEMANDS, REPORTED_DEMAND_PREFERENCE } from './JayfallControlConstants'

/** The work that callers of a workspace request, in requests and tokens per second. */
export interface Demand {
  readonly requests: number
  readonly tokens: number
}

/** Demands by workspace identifier. */
export type Demands = ReadonlyMap<string, Demand>

/** The quantization step of a rate per second; rates below 0.1 have step 0. */
export function rateToStep (rate: number): number {
  return rate < 0.1 ? 0 : Math.max(1, Math.round(Math.log2(rate * 16) * DEMAND_STEPS_PER_DOUBLING))
}

/** The rate per second that a quantization step represents. */
export function stepToRate (step: number): number {
  return step === 0 ? 0 : 2 ** (step / DEMAND_STEPS_PER_DOUBLING) / 16
}

/**
 * Encodes demands as `workspace:requests:tokens` with quantization steps in base 36, joined by commas.
 * A rate that is still close to the one in `previouslyReported` keeps its step, so that it does not alternate between two steps.
 */
export function packDemands (demands: Demands, previouslyReported: Demands = new Map()): string {
  const parts: string[] = []
  for (const [workspace, { requests, tokens }] of [...demands].sort(([left], [right]) => left < right ? -1 : 1)) {
    const reported = previouslyReported.get(workspace)
    const steps = [stepWithHysteresis(requests, reported?.requests ?? 0), stepWithHysteresis(tokens, reported?.tokens ?? 0)]
    if (steps.some(step => step > 0)) parts.push(`${workspace}:${steps.map(step => step.toString(36)).join(':')}`)
  }
  return parts.join(',')
}

/** The step of `rate`, or that of `reportedRate` while the two differ by less than the hysteresis. */
function stepWithHysteresis (rate: number, reportedRate: number): number {
  const step = rateToStep(rate)
  if (step === 0 || reportedRate === 0) return step
  return Math.abs(Math.log2(rate / reportedRate)) * DEMAND_STEPS_PER_DOUBLING < DEMAND_HYSTERESIS_STEPS ? rateToStep(reportedRate) : step
}

/** Decodes demands that `packDemands` encoded. */
export function unpackDemands (packed: string): Demands {
  if (packed === '') return new Map()
  return new Map(packed.split(',').map(part => {
    const [workspace, requests, tokens] = part.split(':')
    return [workspace, { requests: stepToRate(parseInt(requests, 36) || 0), tokens: stepToRate(parseInt(tokens, 36) || 0) }]
  }))
}

/** Decoded demands of each holder, so that each text is decoded only once. */
const unpackedByHolder = new WeakMap<object, Demands>()

/** The decoded demands of a member's details or of a zone's summary. */
export function demandsOf (holder: { readonly demands: string }): Demands {
  const cached = unpackedByHolder.get(holder)
  if (cached !== undefined) return cached
  const demands = unpackDemands(holder.demands)
  unpackedByHolder.set(holder, demands)
  return demands
}

/** Adds up demands by workspace. */
export function sumDemands (all: Iterable<Demands>): Demands {
  const sum = new Map<string, Demand>()
  for (const demands of all) {
    for (const [workspace, { requests, tokens }] of demands) {
      const before = sum.get(workspace)
      sum.set(workspace, { requests: requests + (before?.requests ?? 0), tokens: tokens + (before?.tokens ?? 0) })
    }
  }
  return sum
}

/** Exponential moving average of demands. */
export class DemandAverage {
  private averages: Demands = new Map()
  /** Milliseconds over which the average has been taken so far. */
  private age = 0

  /** @param timeConstant time constant of the average, in milliseconds. */
  constructor (private readonly timeConstant: number) {}

  /** Adds the demand over the last `milliseconds` and returns the new average. */
  update (current: Demands, milliseconds: number): Demands {
    const before = this.averages
    this.age += milliseconds
    // The average starts as an arithmetic mean, so that the demand of a new instance shows without a delay of minutes.
    const weight = Math.max(milliseconds / this.age, 1 - Math.exp(-milliseconds / this.timeConstant))
    const averages = new Map<string, Demand>()
    for (const workspace of new Set([...before.keys(), ...current.keys()])) {
      const old = before.get(workspace) ?? { requests: 0, tokens: 0 }
      const now = current.get(workspace) ?? { requests: 0, tokens: 0 }
      const average = { requests: old.requests + weight * (now.requests - old.requests), tokens: old.tokens + weight * (now.tokens - old.tokens) }
      if (average.requests >= 0.01 || average.tokens >= 0.01) averages.set(workspace, average)
    }
    this.averages = averages
    return averages
  }
}

/** Averages this instance's demand and determines when the reported form changes. */
export class DemandMeter {
  private readonly average = new DemandAverage(MEMBER_AVERAGE_TIME_CONSTANT_MILLISECONDS)
  private counts = new Map<string, Demand>()
  private reported = ''

  /** Counts requested work, including refused requests. */
  count (workspace: string, { requests, tokens }: Demand): void {
    const before = this.counts.get(workspace)
    this.counts.set(workspace, { requests: requests + (before?.requests ?? 0), tokens: tokens + (before?.tokens ?? 0) })
  }

  /** Ends a counting period of `milliseconds` and returns the encoded demands to report. */
  endPeriod (milliseconds: number): string {
    const perSecond = 1000 / milliseconds
    const rates = new Map([...this.counts].map(([workspace, { requests, tokens }]) => [workspace, { requests: requests * perSecond, tokens: tokens * perSecond }]))
    this.counts = new Map()
    const averages = this.average.update(rates, milliseconds)
    const previouslyReported = unpackDemands(this.reported)
    // Without this preference, demands of about the same size would replace each other in every report.
    const rankingWeight = ([workspace, { requests, tokens }]: [string, Demand]): number => (tokens + requests) * (previouslyReported.has(workspace) ? REPORTED_DEMAND_PREFERENCE : 1)
    const largest = new Map([...averages].sort((left, right) => rankingWeight(right) - rankingWeight(left)).slice(0, MAXIMUM_REPORTED_DEMANDS))
    this.reported = packDemands(largest, previouslyReported)
    return this.reported
  }
}
