/**
 * What answers tell about the new version of a rollout.
 *
 * Each instance counts outcomes by route; the counts of all instances are summed, and the new
 * version is bad when it fails much more often than the old one, over all routes or on one.
 */

import { EVIDENCE_SPAN, POOLED_RATE_OUTCOMES, SLOW_ANSWER_FACTOR, SLOW_ANSWER_MINIMUM, SLOW_ESTIMATE_FACTOR, SLOW_PAUSE_FACTOR, USUAL_TIME_WEIGHT, VERDICT_EXCESS_FAILURES, VERDICT_FAILURES, VERDICT_FAILURE_RATE, VERDICT_RATE_CEILING, VERDICT_RELATIVE_RATE } from './JayfallForwardingConstants'

/** Outcomes of one route: good and bad ones of the new version, good and bad ones of the old. */
export type RouteCounts = readonly [newGood: number, newBad: number, oldGood: number, oldBad: number]

/** Counts by route. */
export type EvidenceCounts = Readonly<Record<string, RouteCounts>>

const NO_COUNTS: RouteCounts = [0, 0, 0, 0]

/** How fast an answer was; undefined where it tells nothing. */
export interface AnswerPace {
  /** Milliseconds until the first event, or the whole answer. */
  readonly firstEvent: number | undefined
  /** Mean milliseconds between two events. */
  readonly pause: number | undefined
  /** Estimated milliseconds until the first event from the length of the prompt, without waiting; undefined for plain answers. */
  readonly expected?: number
}

interface Span {
  readonly startedAt: number
  counts: Record<string, RouteCounts>
}

/** Counts the recent outcomes of one rollout that this instance saw. */
export class VersionEvidence {
  /** The current span and the one before it. */
  private spans: readonly Span[] = []
  /** Usual times of the old version in milliseconds, by measure, route and model. */
  private readonly usualTimes = new Map<string, number>()
  private allNew = 0
  private allNewBad = 0

  /** Outcomes of the last one or two spans: what a version did long ago must not hide what it does now. */
  recent (now: number): EvidenceCounts {
    this.rotate(now)
    return sumEvidence(this.spans.map(({ counts }) => counts))
  }

  /** Outcomes of the new version since the order. */
  get newTotal (): number {
    return this.allNew
  }

  /** Failures of the new version since the order. */
  get newBad (): number {
    return this.allNewBad
  }

  /** Learns how fast the version in service usually is. */
  noteUsual (route: string, model: string | undefined, { firstEvent, pause }: AnswerPace): void {
    this.learn(`first/${route}/${model ?? ''}`, firstEvent)
    this.learn(`pause/${route}/${model ?? ''}`, pause)
  }

  noteOutcome (route: string, model: string | undefined, isNew: boolean, hasFailed: boolean, pace: AnswerPace, now: number): void {
    const isBad = hasFailed || this.isSlow(route, model, pace)
    if (!isNew && !isBad) this.noteUsual(route, model, pace)
    if (isNew) {
      this.allNew++
      this.allNewBad += Number(isBad)
    }
    this.rotate(now)
    const { counts } = this.spans[0]
    const [newGood, newBad, oldGood, oldBad] = counts[route] ?? NO_COUNTS
    counts[route] = isNew
      ? [newGood + Number(!isBad), newBad + Number(isBad), oldGood, oldBad]
      : [newGood, newBad, oldGood + Number(!isBad), oldBad + Number(isBad)]
  }

  /** Forgets the outcomes; usual times stay. */
  reset (): void {
    this.spans = []
    this.allNew = 0
    this.allNewBad = 0
  }

  private rotate (now: number): void {
    const kept = this.spans.filter(({ startedAt }) => now - startedAt < 2 * EVIDENCE_SPAN)
    const isCurrent = kept[0] !== undefined && now - kept[0].startedAt < EVIDENCE_SPAN
    this.spans = isCurrent ? kept : [{ startedAt: now, counts: {} }, ...kept.slice(0, 1)]
  }

  private learn (key: string, milliseconds: number | undefined): void {
    if (milliseconds === undefined) return
    const usual = this.usualTimes.get(key)
    this.usualTimes.set(key, usual === undefined ? milliseconds : usual + (milliseconds - usual) * USUAL_TIME_WEIGHT)
  }

  /** Whether an answer, or what has come of it, is several times slower than usual. */
  isSlow (route: string, model: string | undefined, { firstEvent, pause, expected = 0 }: AnswerPace): boolean {
    const usualFirst = this.usualTimes.get(`first/${route}/${model ?? ''}`)
    const usualPause = this.usualTimes.get(`pause/${route}/${model ?? ''}`)
    if (pause !== undefined && usualPause !== undefined && pause > usualPause * SLOW_PAUSE_FACTOR) return true
    return firstEvent !== undefined && usualFirst !== undefined && firstEvent > Math.max(SLOW_ANSWER_MINIMUM, usualFirst * SLOW_ANSWER_FACTOR, expected * SLOW_ESTIMATE_FACTOR)
  }
}

/** Sums the counts of several instances. */
export function sumEvidence (all: Iterable<EvidenceCounts>): EvidenceCounts {
  const sum: Record<string, RouteCounts> = {}
  for (const counts of all) {
    for (const [route, added] of Object.entries(counts)) {
      sum[route] = addCounts(sum[route] ?? NO_COUNTS, added)
    }
  }
  return sum
}

/** Whether the new version is bad over all routes, or on one of them. */
export function isBadVersion (counts: EvidenceCounts): boolean {
  const byRoute = Object.values(counts)
  const pooledRate = pooledRateOf(byRoute.reduce(addCounts, NO_COUNTS))
  const comparisons = byRoute.map(route => compare(route, pooledRate))
  return [comparisons.reduce(addComparisons, { failures: 0, total: 0, expected: 0 }), ...comparisons].some(isBad)
}

function addCounts (left: RouteCounts, right: RouteCounts): RouteCounts {
  return [left[0] + right[0], left[1] + right[1], left[2] + right[2], left[3] + right[3]]
}

/** Outcomes of the new version beside the failures that the old one would have had with the same requests. */
interface VersionComparison {
  readonly failures: number
  readonly total: number
  readonly expected: number
}

/** Routes are compared one by one: some fail with any version, and the versions get them in different parts. */
function compare (counts: RouteCounts, pooledRate: number): VersionComparison {
  const [newGood, newBad, oldGood, oldBad] = counts
  const total = newGood + newBad
  const oldRate = (oldBad + pooledRate * POOLED_RATE_OUTCOMES) / (oldGood + oldBad + POOLED_RATE_OUTCOMES)
  return { failures: newBad, total, expected: total * oldRate }
}

function addComparisons (left: VersionComparison, right: VersionComparison): VersionComparison {
  return { failures: left.failures + right.failures, total: left.total + right.total, expected: left.expected + right.expected }
}

/** The old version's failure rate over all routes; 0 while too little is known of it. */
function pooledRateOf ([, , oldGood, oldBad]: RouteCounts): number {
  return oldGood + oldBad >= VERDICT_FAILURES ? (oldBad + 1) / (oldGood + oldBad + 2) : 0
}

function isBad ({ failures, total, expected }: VersionComparison): boolean {
  if (failures < VERDICT_FAILURES || failures - expected < VERDICT_EXCESS_FAILURES) return false
  return failures > total * VERDICT_FAILURE_RATE && failures > Math.min(total * VERDICT_RATE_CEILING, expected * VERDICT_RELATIVE_RATE)
}
