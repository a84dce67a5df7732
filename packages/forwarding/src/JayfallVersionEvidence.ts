/**
 * What answers tell about the new version of a rollout.
 *
 * Each instance counts outcomes by route; the counts of all instances are summed, and the new
 * version is bad when it fails much more often than the old one, over all routes or on one.
 */

import { SLOW_ANSWER_FACTOR, SLOW_ANSWER_MINIMUM, USUAL_TIME_WEIGHT, VERDICT_FAILURES, VERDICT_FAILURE_RATE, VERDICT_RELATIVE_RATE } from './JayfallForwardingConstants'

/** Outcomes of one route: good and bad ones of the new version, good and bad ones of the old. */
export type RouteCounts = readonly [newGood: number, newBad: number, oldGood: number, oldBad: number]

/** Counts by route. */
export type EvidenceCounts = Readonly<Record<string, RouteCounts>>

const NO_COUNTS: RouteCounts = [0, 0, 0, 0]

/** Counts the outcomes of one rollout that this instance saw. */
export class VersionEvidence {
  private counts: Record<string, RouteCounts> = {}
  /** Usual times of the old version in milliseconds, by route and model. */
  private readonly usualTimes = new Map<string, number>()

  get current (): EvidenceCounts {
    return this.counts
  }

  get newBad (): number {
    return Object.values(this.counts).reduce((sum, [, bad]) => sum + bad, 0)
  }

  get newTotal (): number {
    return Object.values(this.counts).reduce((sum, [good, bad]) => sum + good + bad, 0)
  }

  /** Learns the usual time of answers while no rollout is under way. */
  noteUsual (route: string, model: string | undefined, milliseconds: number): void {
    const key = `${route}/${model ?? ''}`
    const usual = this.usualTimes.get(key)
    this.usualTimes.set(key, usual === undefined ? milliseconds : usual + (milliseconds - usual) * USUAL_TIME_WEIGHT)
  }

  /** @param milliseconds until the first event or the answer; undefined when there was none. */
  noteOutcome (route: string, model: string | undefined, isNew: boolean, hasFailed: boolean, milliseconds: number | undefined): void {
    const isBad = hasFailed || (milliseconds !== undefined && this.isSlow(route, model, milliseconds))
    if (!isNew && !isBad && milliseconds !== undefined) this.noteUsual(route, model, milliseconds)
    const [newGood, newBad, oldGood, oldBad] = this.counts[route] ?? NO_COUNTS
    this.counts = {
      ...this.counts,
      [route]: isNew
        ? [newGood + Number(!isBad), newBad + Number(isBad), oldGood, oldBad]
        : [newGood, newBad, oldGood + Number(!isBad), oldBad + Number(isBad)]
    }
  }

  /** Forgets the counts; usual times stay. */
  reset (): void {
    this.counts = {}
  }

  private isSlow (route: string, model: string | undefined, milliseconds: number): boolean {
    const usual = this.usualTimes.get(`${route}/${model ?? ''}`)
    return usual !== undefined && milliseconds > Math.max(SLOW_ANSWER_MINIMUM, usual * SLOW_ANSWER_FACTOR)
  }
}

/** Sums the counts of several instances. */
export function sumEvidence (all: Iterable<EvidenceCounts>): EvidenceCounts {
  const sum: Record<string, RouteCounts> = {}
  for (const counts of all) {
    for (const [route, added] of Object.entries(counts)) {
      const known = sum[route] ?? NO_COUNTS
      sum[route] = [known[0] + added[0], known[1] + added[1], known[2] + added[2], known[3] + added[3]]
    }
  }
  return sum
}

/** Whether the new version is bad over all routes, or on one of them. */
export function isBadVersion (counts: EvidenceCounts): boolean {
  const all = Object.values(counts).reduce<RouteCounts>((sum, each) => [sum[0] + each[0], sum[1] + each[1], sum[2] + each[2], sum[3] + each[3]], NO_COUNTS)
  return [all, ...Object.values(counts)].some(isBad)
}

function isBad ([newGood, newBad, oldGood, oldBad]: RouteCounts): boolean {
  if (newBad < VERDICT_FAILURES) return false
  const rate = newBad / (newGood + newBad)
  const oldRate = (oldBad + 1) / (oldGood + oldBad + 2)
  const isOldKnown = oldGood + oldBad >= VERDICT_FAILURES
  return rate > VERDICT_FAILURE_RATE && (!isOldKnown || rate > Math.min(0.9, oldRate * VERDICT_RELATIVE_RATE))
}
