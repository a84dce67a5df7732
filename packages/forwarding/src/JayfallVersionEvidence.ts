/**
 * Counts the outcomes of requests during a rollout and decides whether the new version is bad.
 *
 * Each instance counts outcomes by route, and the counts of all instances are summed. The new version is
 * bad when it fails much more often than the old one, over all routes together or on a single one.
 */

import { EVIDENCE_WINDOW_MILLISECONDS, POOLED_RATE_PRIOR_OUTCOMES, SLOW_ANSWER_FACTOR, MINIMUM_SLOW_ANSWER_MILLISECONDS, SLOW_ESTIMATE_FACTOR, SLOW_EVENT_GAP_FACTOR, BASELINE_TIME_WEIGHT, MINIMUM_EXCESS_FAILURES, MINIMUM_BAD_VERSION_FAILURES, BAD_VERSION_FAILURE_RATE, BAD_VERSION_FAILURE_RATE_CEILING, BAD_VERSION_FAILURE_RATIO } from './JayfallForwardingConstants'

/** Outcomes of one route: successes and failures of the new version, then of the old one. */
export type RouteOutcomeCounts = readonly [newSuccesses: number, newFailures: number, oldSuccesses: number, oldFailures: number]

/** Outcome counts by route. */
export type OutcomeCounts = Readonly<Record<string, RouteOutcomeCounts>>

const NO_COUNTS: RouteOutcomeCounts = [0, 0, 0, 0]

/** The speed of an answer; undefined values are not known. */
export interface AnswerTiming {
  /** Milliseconds to the first event, or to the whole answer. */
  readonly timeToFirstEvent: number | undefined
  /** Mean milliseconds between two events. */
  readonly meanEventGap: number | undefined
  /** Milliseconds to the first event estimated from the length of the prompt, without queueing; undefined for plain answers. */
  readonly expectedTimeToFirstEvent?: number
}

interface CountingWindow {
  readonly startedAt: number
  counts: Record<string, RouteOutcomeCounts>
}

/** Counts the recent outcomes of one rollout that this instance observed. */
export class VersionEvidence {
  /** The current window and the one before it, the current one first. */
  private windows: readonly CountingWindow[] = []
  /** Moving averages of the old version's times in milliseconds, by measure, route and model. */
  private readonly baselineTimes = new Map<string, number>()
  private totalNewOutcomes = 0
  private totalNewFailures = 0

  /** Outcomes of the last one or two windows. Older outcomes are dropped, because they would hide the current behaviour of a version. */
  recentCounts (now: number): OutcomeCounts {
    this.rotateWindows(now)
    return sumOutcomeCounts(this.windows.map(({ counts }) => counts))
  }

  /** Outcomes of the new version since the order. */
  get newOutcomeCount (): number {
    return this.totalNewOutcomes
  }

  /** Failures of the new version since the order. */
  get newFailureCount (): number {
    return this.totalNewFailures
  }

  /** Updates the baseline times of the version in service. */
  recordBaseline (route: string, model: string | undefined, { timeToFirstEvent, meanEventGap }: AnswerTiming): void {
    this.updateBaseline(`first/${route}/${model ?? ''}`, timeToFirstEvent)
    this.updateBaseline(`pause/${route}/${model ?? ''}`, meanEventGap)
  }

  recordOutcome (route: string, model: string | undefined, isNew: boolean, hasFailed: boolean, timing: AnswerTiming, now: number): void {
    const isBad = hasFailed || this.isSlow(route, model, timing)
    if (!isNew && !isBad) this.recordBaseline(route, model, timing)
    if (isNew) {
      this.totalNewOutcomes++
      this.totalNewFailures += Number(isBad)
    }
    this.rotateWindows(now)
    const { counts } = this.windows[0]
    const [newSuccesses, newFailures, oldSuccesses, oldFailures] = counts[route] ?? NO_COUNTS
    counts[route] = isNew
      ? [newSuccesses + Number(!isBad), newFailures + Number(isBad), oldSuccesses, oldFailures]
      : [newSuccesses, newFailures, oldSuccesses + Number(!isBad), oldFailures + Number(isBad)]
  }

  /** Drops the outcomes and keeps the baseline times. */
  reset (): void {
    this.windows = []
    this.totalNewOutcomes = 0
    this.totalNewFailures = 0
  }

  private rotateWindows (now: number): void {
    const kept = this.windows.filter(({ startedAt }) => now - startedAt < 2 * EVIDENCE_WINDOW_MILLISECONDS)
    const isCurrent = kept[0] !== undefined && now - kept[0].startedAt < EVIDENCE_WINDOW_MILLISECONDS
    this.windows = isCurrent ? kept : [{ startedAt: now, counts: {} }, ...kept.slice(0, 1)]
  }

  private updateBaseline (key: string, milliseconds: number | undefined): void {
    if (milliseconds === undefined) return
    const baseline = this.baselineTimes.get(key)
    this.baselineTimes.set(key, baseline === undefined ? milliseconds : baseline + (milliseconds - baseline) * BASELINE_TIME_WEIGHT)
  }

  /** Whether an answer, or the part of it received so far, is several times slower than the baseline. */
  isSlow (route: string, model: string | undefined, { timeToFirstEvent, meanEventGap, expectedTimeToFirstEvent = 0 }: AnswerTiming): boolean {
    const baselineTimeToFirstEvent = this.baselineTimes.get(`first/${route}/${model ?? ''}`)
    const baselineEventGap = this.baselineTimes.get(`pause/${route}/${model ?? ''}`)
    if (meanEventGap !== undefined && baselineEventGap !== undefined && meanEventGap > baselineEventGap * SLOW_EVENT_GAP_FACTOR) return true
    return timeToFirstEvent !== undefined && baselineTimeToFirstEvent !== undefined && timeToFirstEvent > Math.max(MINIMUM_SLOW_ANSWER_MILLISECONDS, baselineTimeToFirstEvent * SLOW_ANSWER_FACTOR, expectedTimeToFirstEvent * SLOW_ESTIMATE_FACTOR)
  }
}

/** Sums the outcome counts of several instances. */
export function sumOutcomeCounts (all: Iterable<OutcomeCounts>): OutcomeCounts {
  const sum: Record<string, RouteOutcomeCounts> = {}
  for (const counts of all) {
    for (const [route, added] of Object.entries(counts)) {
      sum[route] = addCounts(sum[route] ?? NO_COUNTS, added)
    }
  }
  return sum
}

/** Whether the new version is bad over all routes together, or on one of them. */
export function isBadVersion (counts: OutcomeCounts): boolean {
  const byRoute = Object.values(counts)
  const pooledFailureRate = estimatePooledFailureRate(byRoute.reduce(addCounts, NO_COUNTS))
  const comparisons = byRoute.map(route => compareVersions(route, pooledFailureRate))
  return [comparisons.reduce(addComparisons, { failures: 0, outcomes: 0, expectedFailures: 0 }), ...comparisons].some(hasFailureExcess)
}

function addCounts (left: RouteOutcomeCounts, right: RouteOutcomeCounts): RouteOutcomeCounts {
  return [left[0] + right[0], left[1] + right[1], left[2] + right[2], left[3] + right[3]]
}

/** Outcomes of the new version, and the failures that the old one would be expected to have with the same requests. */
interface VersionComparison {
  readonly failures: number
  readonly outcomes: number
  readonly expectedFailures: number
}

/** Routes are compared separately: some fail with any version, and the versions receive different shares of their requests. */
function compareVersions (counts: RouteOutcomeCounts, pooledFailureRate: number): VersionComparison {
  const [newSuccesses, newFailures, oldSuccesses, oldFailures] = counts
  const outcomes = newSuccesses + newFailures
  const oldFailureRate = (oldFailures + pooledFailureRate * POOLED_RATE_PRIOR_OUTCOMES) / (oldSuccesses + oldFailures + POOLED_RATE_PRIOR_OUTCOMES)
  return { failures: newFailures, outcomes, expectedFailures: outcomes * oldFailureRate }
}

function addComparisons (left: VersionComparison, right: VersionComparison): VersionComparison {
  return { failures: left.failures + right.failures, outcomes: left.outcomes + right.outcomes, expectedFailures: left.expectedFailures + right.expectedFailures }
}

/** The old version's failure rate over all routes; 0 while it has too few outcomes. */
function estimatePooledFailureRate ([, , oldSuccesses, oldFailures]: RouteOutcomeCounts): number {
  return oldSuccesses + oldFailures >= MINIMUM_BAD_VERSION_FAILURES ? (oldFailures + 1) / (oldSuccesses + oldFailures + 2) : 0
}

function hasFailureExcess ({ failures, outcomes, expectedFailures }: VersionComparison): boolean {
  if (failures < MINIMUM_BAD_VERSION_FAILURES || failures - expectedFailures < MINIMUM_EXCESS_FAILURES) return false
  return failures > outcomes * BAD_VERSION_FAILURE_RATE && failures > Math.min(outcomes * BAD_VERSION_FAILURE_RATE_CEILING, expectedFailures * BAD_VERSION_FAILURE_RATIO)
}
