/** Demands of workspaces: their averages, and their rounded form in messages. */

import { DEMAND_HYSTERESIS_STEPS, DEMAND_STEPS_PER_DOUBLING, MEMBER_AVERAGE_MILLISECONDS, REPORTED_DEMANDS, ZONE_AVERAGE_MILLISECONDS } from './JayfallControlConstants'

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

/** An exponential average of demands. */
export class DemandAverage {
  private averages: Demands | undefined

  constructor (private readonly timeConstant: number, private readonly startsAtFirst: boolean) {}

  /** Takes the demand over the last `milliseconds` and returns the average. */
  update (current: Demands, milliseconds: number): Demands {
    const before = this.averages ?? (this.startsAtFirst ? current : new Map<string, Demand>())
    const weight = 1 - Math.exp(-milliseconds / this.timeConstant)
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

/** The average of a zone's demand; a member that has just started begins at what it first sees. */
export function createZoneAverage (): DemandAverage {
  return new DemandAverage(ZONE_AVERAGE_MILLISECONDS, true)
}

/** Averages the own demand and decides when its reported form changes. */
export class DemandMeter {
  private readonly average = new DemandAverage(MEMBER_AVERAGE_MILLISECONDS, false)
  private counts = new Map<string, Demand>()
  private reported = ''

  /** Counts work that was asked for, refused work included. */
  count (workspace: string, { requests, tokens }: Demand): void {
    const before = this.counts.get(workspace)
    this.counts.set(workspace, { requests: requests + (before?.requests ?? 0), tokens: tokens + (before?.tokens ?? 0) })
  }

  /** Ends a period of `milliseconds` and returns the demands to report. */
  roll (milliseconds: number): string {
    const perSecond = 1000 / milliseconds
    const rates = new Map([...this.counts].map(([workspace, { requests, tokens }]) => [workspace, { requests: requests * perSecond, tokens: tokens * perSecond }]))
    this.counts = new Map()
    const averages = this.average.update(rates, milliseconds)
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

/** Compares the rate itself with the reported step, as the rounded rate would flicker between two steps. */
function isStepOff (now: number, told: number): boolean {
  if ((toStep(now) === 0) !== (told === 0)) return true
  return told > 0 && Math.abs(Math.log2(now / told)) * DEMAND_STEPS_PER_DOUBLING >= DEMAND_HYSTERESIS_STEPS
}
