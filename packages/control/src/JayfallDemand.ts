/** Demands of workspaces: their averages, and their rounded form in messages. */

import { DEMAND_HYSTERESIS_STEPS, DEMAND_STEPS_PER_DOUBLING, MEMBER_AVERAGE_MILLISECONDS, REPORTED_DEMANDS, REPORTED_PREFERENCE } from './JayfallControlConstants'

/** What a workspace asked for in a second. */
export interface Demand {
  readonly requests: number
  readonly tokens: number
}

export type Demands = ReadonlyMap<string, Demand>

/** The step of a rate; 0 stands for none. */
export function toStep (rate: number): number {
  return rate < 0.1 ? 0 : Math.max(1, Math.round(Math.log2(rate * 16) * DEMAND_STEPS_PER_DOUBLING))
}

export function fromStep (step: number): number {
  return step === 0 ? 0 : 2 ** (step / DEMAND_STEPS_PER_DOUBLING) / 16
}

/**
 * `workspace:requests:tokens` with steps in base 36, joined by commas. A rate that is still close
 * to what `earlier` says keeps its step, as a rounded rate would flicker between two steps.
 */
export function packDemands (demands: Demands, earlier: Demands = new Map()): string {
  const parts: string[] = []
  for (const [workspace, { requests, tokens }] of [...demands].sort(([left], [right]) => left < right ? -1 : 1)) {
    const told = earlier.get(workspace)
    const steps = [settledStep(requests, told?.requests ?? 0), settledStep(tokens, told?.tokens ?? 0)]
    if (steps.some(step => step > 0)) parts.push(`${workspace}:${steps.map(step => step.toString(36)).join(':')}`)
  }
  return parts.join(',')
}

function settledStep (rate: number, told: number): number {
  const step = toStep(rate)
  if (step === 0 || told === 0) return step
  return Math.abs(Math.log2(rate / told)) * DEMAND_STEPS_PER_DOUBLING < DEMAND_HYSTERESIS_STEPS ? toStep(told) : step
}

export function unpackDemands (packed: string): Demands {
  if (packed === '') return new Map()
  return new Map(packed.split(',').map(part => {
    const [workspace, requests, tokens] = part.split(':')
    return [workspace, { requests: fromStep(parseInt(requests, 36) || 0), tokens: fromStep(parseInt(tokens, 36) || 0) }]
  }))
}

const unpacked = new WeakMap<object, Demands>()

/** The demands that a member's details or a zone's summary hold, read once for each. */
export function demandsOf (holder: { readonly demands: string }): Demands {
  const known = unpacked.get(holder)
  if (known !== undefined) return known
  const demands = unpackDemands(holder.demands)
  unpacked.set(holder, demands)
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

/** An exponential average of demands. */
export class DemandAverage {
  private averages: Demands = new Map()
  private age = 0

  constructor (private readonly timeConstant: number) {}

  /** Takes the demand over the last `milliseconds` and returns the average. */
  update (current: Demands, milliseconds: number): Demands {
    const before = this.averages
    this.age += milliseconds
    // The plain mean at first, so that a new instance does not take minutes to show its demand.
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

/** Averages the own demand and decides when its reported form changes. */
export class DemandMeter {
  private readonly average = new DemandAverage(MEMBER_AVERAGE_MILLISECONDS)
  private counts = new Map<string, Demand>()
  private reported = ''

  /** Counts work that was asked for, refused work included. */
  count (workspace: string, { requests, tokens }: Demand): void {
    const before = this.counts.get(workspace)
    this.counts.set(workspace, { requests: requests + (before?.requests ?? 0), tokens: tokens + (before?.tokens ?? 0) })
  }

  /** Ends a period of `milliseconds` and returns the demands to report. */
  endPeriod (milliseconds: number): string {
    const perSecond = 1000 / milliseconds
    const rates = new Map([...this.counts].map(([workspace, { requests, tokens }]) => [workspace, { requests: requests * perSecond, tokens: tokens * perSecond }]))
    this.counts = new Map()
    const averages = this.average.update(rates, milliseconds)
    const told = unpackDemands(this.reported)
    // Demands of about the same size would otherwise take each other's place in every report.
    const rank = ([workspace, { requests, tokens }]: [string, Demand]): number => (tokens + requests) * (told.has(workspace) ? REPORTED_PREFERENCE : 1)
    const largest = new Map([...averages].sort((left, right) => rank(right) - rank(left)).slice(0, REPORTED_DEMANDS))
    this.reported = packDemands(largest, told)
    return this.reported
  }
}
