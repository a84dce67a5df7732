/**
 * Finds which prompt parts crash the servers that answer them, from reports of crashes and of answers that began.
 *
 * Several requests wait at a server when it crashes, and at most one of them is the cause. It is the one that waits at
 * the next server that crashes too; so is, now and then, a sound request that was repeated at the same servers. What
 * counts is therefore a set of parts: in how many crashes was there a request that held all of them. A set is never
 * wider than what the requests have in common, so that sound requests with some of its parts are still served.
 *
 * A part is cleared of all crashes before an answer to a prompt with it began. Until it has had an answer it is
 * unproven, and fewer crashes suffice to suspect it. Where servers crash by themselves, more are needed.
 */

import { halfLifeWeight } from '#jayfall/shared'
import { LRUCache } from 'lru-cache'

import {
  COINCIDENCE_PROBABILITY, CRASH_RATE_HALF_LIFE_MILLISECONDS, CRASH_RATE_PRIOR, CRASH_RATE_PRIOR_ATTEMPTS, CRASH_REPORT_LIFETIME_MILLISECONDS, MAXIMUM_CRASH_REPORTS, MAXIMUM_REQUIRED_CRASHES, MAXIMUM_TRACKED_PROMPT_PARTS, MINIMUM_KNOWN_ANSWERS, MINIMUM_REQUIRED_CRASHES,
  PART_PROOF_LIFETIME_MILLISECONDS, SAME_CRASH_MILLISECONDS, SHARED_PARTS_SETTLING_MILLISECONDS
} from './JayfallForwardingConstants'

/** A request waited for its first event at a server that crashed. */
export interface CrashReport {
  readonly fingerprint: string
  /** Identifiers of the parts that the request may share with others, without repetitions. */
  readonly parts: readonly string[]
  readonly server: string
  /** Monotonic milliseconds. */
  readonly at: number
  /** Whether this instance sent the request. */
  readonly isOwn: boolean
}

/** Parts that crash servers when a prompt holds all of them. */
export interface CrashFinding {
  readonly parts: readonly string[]
  readonly crashes: number
  readonly firstCrashAt: number
}

interface Incident {
  readonly server: string
  readonly at: number
}

export class CrashEvidence {
  private reports: readonly CrashReport[] = []
  /** Monotonic milliseconds at which an answer to a prompt with the part began last. */
  private readonly begunAt = new LRUCache<string, number>({ max: MAXIMUM_TRACKED_PROMPT_PARTS })
  /** Monotonic milliseconds at which the part was proven last, here or at another instance. */
  private readonly provenAt = new LRUCache<string, number>({ max: MAXIMUM_TRACKED_PROMPT_PARTS })
  /** Attempts of this instance with prompts, each weighted by its age, as of `attemptsAt`. */
  private attempts = 0
  /** Answers of this instance that have begun. */
  private answers = 0
  private attemptsAt = 0

  /** @param explain returns the request that is known to have crashed the server at that time. */
  constructor (private readonly explain: (server: string, at: number) => string | undefined) {}

  recordAttempt (now: number): void {
    this.attempts = this.attemptsOf(now) + 1
    this.attemptsAt = now
  }

  /** Records that an answer to a prompt of this instance began. */
  recordAnswer (): void {
    this.answers++
  }

  /** Records that an answer to a prompt with the part began. */
  recordBegun (part: string, at: number): void {
    this.begunAt.set(part, Math.max(at, this.begunAt.get(part) ?? -Infinity))
    this.recordProven(part, at)
  }

  /** Records that another instance has seen answers to prompts with the part, at a time that is not known. */
  recordProven (part: string, at: number): void {
    this.provenAt.set(part, Math.max(at, this.provenAt.get(part) ?? -Infinity))
  }

  /** Whether an answer to a prompt with the part began later than the given time. */
  hasBegunSince (part: string, time: number): boolean {
    return (this.begunAt.get(part) ?? -Infinity) > time
  }

  /** Whether answers to prompts with the part began recently. */
  isProven (part: string, now: number): boolean {
    return (this.provenAt.get(part) ?? -Infinity) > now - PART_PROOF_LIFETIME_MILLISECONDS
  }

  /** The parts of a request that was reported. */
  partsOf (fingerprint: string): readonly string[] {
    return this.reports.findLast(report => report.fingerprint === fingerprint)?.parts ?? []
  }

  /** Adds a report and yields what it proves. */
  * add (report: CrashReport, now: number): Generator<CrashFinding> {
    const recent = this.reports.filter(({ at }) => now - at < CRASH_REPORT_LIFETIME_MILLISECONDS)
    if (recent.some(other => isSameCrash(other, report) && keyOf(other.parts) === keyOf(report.parts))) return
    this.reports = [...recent, report].slice(-MAXIMUM_CRASH_REPORTS)
    const parts = this.suspectPartsOf(report)
    const candidates = new Map([parts, ...recent.map(other => intersect(parts, this.suspectPartsOf(other)))].map(candidate => [keyOf(candidate), candidate]))
    for (const candidate of candidates.values()) {
      const finding = candidate.length === 0 ? undefined : this.evaluate(candidate, now)
      if (finding !== undefined) yield finding
    }
  }

  private evaluate (candidate: readonly string[], now: number): CrashFinding | undefined {
    const matching = this.reports.map(report => ({ report, parts: this.suspectPartsOf(report) })).filter(({ parts }) => isSubset(candidate, parts))
    const reports = matching.map(({ report }) => report)
    const crashes = this.countCrashes(reports)
    const isOneKind = this.isOneKindOfRequest(reports, crashes)
    // An instance that has just started cannot tell what crashed prompts have in common from what all prompts have in common.
    if (!isOneKind && this.answers < MINIMUM_KNOWN_ANSWERS) return undefined
    const unproven = candidate.filter(part => !this.isProven(part, now))
    const firstCrashAt = Math.min(...reports.map(({ at }) => at))
    // What many requests have in common is in many crashes. If it is sound, the next answers clear it.
    if (unproven.length === 0 && !isOneKind && now - firstCrashAt < SHARED_PARTS_SETTLING_MILLISECONDS) return undefined
    const required = this.requiredCrashes(report => !isSubset(candidate, report.parts), now) + Number(!isOneKind) + Number(unproven.length === 0)
    if (crashes < required) return undefined
    return { parts: unproven.length === 0 ? candidate : unproven, crashes, firstCrashAt }
  }

  /** The number of crashes that a sound request hardly ever meets in a row, at the rate at which other requests meet them. */
  requiredCrashes (isOther: (report: CrashReport) => boolean, now: number): number {
    const others = this.reports.filter(report => report.isOwn && isOther(report))
    const crashes = others.reduce((sum, { at }) => sum + halfLifeWeight(now - at, CRASH_RATE_HALF_LIFE_MILLISECONDS), 0)
    const rate = (crashes + CRASH_RATE_PRIOR * CRASH_RATE_PRIOR_ATTEMPTS) / (this.attemptsOf(now) + CRASH_RATE_PRIOR_ATTEMPTS)
    const required = rate >= 1 ? Infinity : Math.ceil(Math.log(COINCIDENCE_PROBABILITY) / Math.log(rate))
    return Math.min(MAXIMUM_REQUIRED_CRASHES, Math.max(MINIMUM_REQUIRED_CRASHES, required))
  }

  /** The parts of the request that have had no answer since the crash. */
  private suspectPartsOf ({ parts, at }: CrashReport): readonly string[] {
    return parts.filter(part => !this.hasBegunSince(part, at))
  }

  /** Whether there was a request with exactly the same parts in each crash, as when one request is repeated. */
  private isOneKindOfRequest (reports: readonly CrashReport[], crashes: number): boolean {
    const kinds = new Set(reports.map(({ parts }) => keyOf(parts)))
    return [...kinds].some(kind => this.countCrashes(reports.filter(({ parts }) => keyOf(parts) === kind)) === crashes)
  }

  /** The number of crashes, as far as they speak against parts. One request alone, however often it is repeated, says no more than its first crash. */
  private countCrashes (reports: readonly CrashReport[]): number {
    const causes = new Set<string>()
    const incidents = groupByCrash(reports).filter(({ server, at }) => {
      const cause = this.explain(server, at)
      const isRepeated = cause !== undefined && causes.has(cause)
      if (cause !== undefined) causes.add(cause)
      return !isRepeated
    })
    return new Set(reports.map(({ fingerprint }) => fingerprint)).size < 2 ? Math.min(1, incidents.length) : incidents.length
  }

  private attemptsOf (now: number): number {
    return this.attempts * halfLifeWeight(now - this.attemptsAt, CRASH_RATE_HALF_LIFE_MILLISECONDS)
  }
}

/** Identifies a set of parts. */
export function keyOf (parts: readonly string[]): string {
  return [...parts].sort().join(' ')
}

export function isSubset (parts: readonly string[], others: readonly string[]): boolean {
  return parts.every(part => others.includes(part))
}

function intersect (parts: readonly string[], others: readonly string[]): readonly string[] {
  return parts.filter(part => others.includes(part))
}

/** Requests that wait at a server when it crashes notice it within a short time. */
function isSameCrash (left: Incident, right: Incident): boolean {
  return left.server === right.server && Math.abs(left.at - right.at) < SAME_CRASH_MILLISECONDS
}

function groupByCrash (reports: readonly CrashReport[]): readonly Incident[] {
  const incidents: Incident[] = []
  for (const report of reports) {
    if (!incidents.some(incident => isSameCrash(incident, report))) incidents.push(report)
  }
  return incidents
}
