/**
 * Decides from the outcomes of both versions whether the new one is bad.
 *
 * The counts of all instances are summed, and each measure is compared with the same measure of the old version in
 * the same seconds, over all routes together and on each. Failures and slow answers are judged apart: a version hardly
 * ever fails without a fault of its own, whereas answers are also late because of the load, which the new version
 * may have to carry nearly alone.
 */

import { BAD_VERSION_FAILURE_RATE, BAD_VERSION_FAILURE_RATE_CEILING, BAD_VERSION_FAILURE_RATIO, MINIMUM_BAD_VERSION_FAILURES, MINIMUM_EXCESS_FAILURES, MINIMUM_EXCESS_SLOW_ANSWERS, MINIMUM_SLOW_ANSWERS, POOLED_RATE_PRIOR_OUTCOMES, SLOW_VERSION_RATE } from './JayfallForwardingConstants'

/** Counts of one route: good and bad outcomes of the new version, then of the old one. */
export type RouteCounts = readonly [newGood: number, newBad: number, oldGood: number, oldBad: number]

/** Counts by route. */
export type CountsByRoute = Readonly<Record<string, RouteCounts>>

/** What is known of both versions. */
export interface VersionCounts {
  /** Answered and failed attempts. */
  readonly outcomes: CountsByRoute
  /** Timely and slow attempts. */
  readonly speeds: CountsByRoute
}

/** From when on a measure shows that the new version is bad. */
interface BadnessLimits {
  readonly minimumBad: number
  /** Minimum number of bad outcomes beyond those expected from the old version. */
  readonly minimumExcess: number
  readonly rate: number
}

const NO_COUNTS: RouteCounts = [0, 0, 0, 0]
const FAILURE_LIMITS: BadnessLimits = { minimumBad: MINIMUM_BAD_VERSION_FAILURES, minimumExcess: MINIMUM_EXCESS_FAILURES, rate: BAD_VERSION_FAILURE_RATE }
const SLOWNESS_LIMITS: BadnessLimits = { minimumBad: MINIMUM_SLOW_ANSWERS, minimumExcess: MINIMUM_EXCESS_SLOW_ANSWERS, rate: SLOW_VERSION_RATE }

/** Counts one outcome. */
export function countOutcome (counts: CountsByRoute, route: string, isNew: boolean, isBad: boolean): CountsByRoute {
  const [good, bad] = [Number(!isBad), Number(isBad)]
  return { ...counts, [route]: addCounts(counts[route] ?? NO_COUNTS, isNew ? [good, bad, 0, 0] : [0, 0, good, bad]) }
}

/** Sums the counts of several instances or times. */
export function sumVersionCounts (all: Iterable<VersionCounts>): VersionCounts {
  const list = [...all]
  return { outcomes: sumCounts(list.map(({ outcomes }) => outcomes)), speeds: sumCounts(list.map(({ speeds }) => speeds)) }
}

/** Whether the new version fails or is slow much more often than the old one, over all routes together or on one of them. */
export function isBadVersion ({ outcomes, speeds }: VersionCounts): boolean {
  return isWorse(outcomes, FAILURE_LIMITS) || isWorse(speeds, SLOWNESS_LIMITS)
}

function sumCounts (all: Iterable<CountsByRoute>): CountsByRoute {
  const sum: Record<string, RouteCounts> = {}
  for (const counts of all) for (const [route, added] of Object.entries(counts)) sum[route] = addCounts(sum[route] ?? NO_COUNTS, added)
  return sum
}

function addCounts (left: RouteCounts, right: RouteCounts): RouteCounts {
  return [left[0] + right[0], left[1] + right[1], left[2] + right[2], left[3] + right[3]]
}

function isWorse (counts: CountsByRoute, limits: BadnessLimits): boolean {
  const byRoute = Object.values(counts)
  const pooledRate = estimatePooledRate(byRoute.reduce(addCounts, NO_COUNTS))
  const comparisons = byRoute.map(route => compareVersions(route, pooledRate))
  return [comparisons.reduce(addComparisons, { bad: 0, all: 0, expectedBad: 0 }), ...comparisons].some(comparison => hasExcess(comparison, limits))
}

/** Bad outcomes of the new version, and how many the old one would be expected to have with the same requests. */
interface VersionComparison {
  readonly bad: number
  readonly all: number
  readonly expectedBad: number
}

/** Routes are compared separately: some fail with any version, and the versions receive different shares of their requests. */
function compareVersions ([newGood, newBad, oldGood, oldBad]: RouteCounts, pooledRate: number): VersionComparison {
  const all = newGood + newBad
  const oldRate = (oldBad + pooledRate * POOLED_RATE_PRIOR_OUTCOMES) / (oldGood + oldBad + POOLED_RATE_PRIOR_OUTCOMES)
  return { bad: newBad, all, expectedBad: all * oldRate }
}

function addComparisons (left: VersionComparison, right: VersionComparison): VersionComparison {
  return { bad: left.bad + right.bad, all: left.all + right.all, expectedBad: left.expectedBad + right.expectedBad }
}

/** The old version's rate of bad outcomes over all routes; 0 while it has too few outcomes. */
function estimatePooledRate ([, , oldGood, oldBad]: RouteCounts): number {
  return oldGood + oldBad >= MINIMUM_BAD_VERSION_FAILURES ? (oldBad + 1) / (oldGood + oldBad + 2) : 0
}

function hasExcess ({ bad, all, expectedBad }: VersionComparison, { minimumBad, minimumExcess, rate }: BadnessLimits): boolean {
  if (bad < minimumBad || bad - expectedBad < minimumExcess) return false
  return bad > all * rate && bad > Math.min(all * BAD_VERSION_FAILURE_RATE_CEILING, expectedBad * BAD_VERSION_FAILURE_RATIO)
}
