/** Demands of workspaces: their averages, and their rounded form in messages. */

import { DEMAND_AVERAGE_MILLISECONDS, DEMAND_HYSTERESIS_STEPS, DEMAND_STEPS_PER_DOUBLING, REPORTED_DEMANDS } from './JayfallControlConstants'

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

/** `workspace:requests:tokens` with steps in base 36, joined by commas. */
export function packDemands (demands: Demands): string {
  return [...demands]
    .filter(([, { requests, tokens }]) => toStep(requests) > 0 || toStep(tokens) > 0)
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([workspace, { requests, tokens }]) => `${workspace}:${toStep(requests).toString(36)}:${toStep(tokens).toString(36)}`)
    .join(',')
}

export function unpackDemands (packed: string): Demands {
  if (packed === '') return new Map()
  return new Map(packed.split(',').map(part => {
    const [workspace, requests, tokens] = part.split(':')
    return [workspace, { requests: fromStep(parseInt(requests, 36) || 0), tokens: fromStep(parseInt(tokens, 36) || 0) }]
  }))
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

/** Averages the own demand and decides when its reported form changes. */
export class DemandMeter {
  private averages = new Map<string, Demand>()
  private counts = new Map<string, Demand>()
  private reported = ''

  /** Counts work that was asked for, refused work included. */
  count (workspace: string, { requests, tokens }: Demand): void {
    const before = this.counts.get(workspace)
    this.counts.set(workspace, { requests: requests + (before?.requests ?? 0), tokens: tokens + (before?.tokens ?? 0) })
  }

  /** Ends a period of `milliseconds` and returns the demands to report. */
  roll (milliseconds: number): string {
    const weight = 1 - Math.exp(-milliseconds / DEMAND_AVERAGE_MILLISECONDS)
    const averages = new Map<string, Demand>()
    for (const workspace of new Set([...this.averages.keys(), ...this.counts.keys()])) {
      const before = this.averages.get(workspace) ?? { requests: 0, tokens: 0 }
      const counted = this.counts.get(workspace) ?? { requests: 0, tokens: 0 }
      const mean = (old: number, count: number) => old + weight * (count * 1000 / milliseconds - old)
      const average = { requests: mean(before.requests, counted.requests), tokens: mean(before.tokens, counted.tokens) }
      if (average.requests >= 0.01 || average.tokens >= 0.01) averages.set(workspace, average)
    }
    this.averages = averages
    this.counts = new Map()
    const largest = new Map([...averages].sort(([, left], [, right]) => right.tokens - left.tokens || right.requests - left.requests).slice(0, REPORTED_DEMANDS))
    if (this.isOff(largest)) this.reported = packDemands(largest)
    return this.reported
  }

  private isOff (current: Demands): boolean {
    const reported = unpackDemands(this.reported)
    return [...new Set([...current.keys(), ...reported.keys()])].some(workspace => {
      const now = current.get(workspace)
      const told = reported.get(workspace)
      return isStepOff(now?.requests ?? 0, told?.requests ?? 0) || isStepOff(now?.tokens ?? 0, told?.tokens ?? 0)
    })
  }
}

function isStepOff (now: number, told: number): boolean {
  const difference = Math.abs(toStep(now) - toStep(told))
  return difference >= DEMAND_HYSTERESIS_STEPS || (difference > 0 && (toStep(now) === 0 || toStep(told) === 0))
}
