/** Counts what one instance observes of both versions of a service during a rollout. */

import { BASELINE_TIME_WEIGHT, EVIDENCE_WINDOW_MILLISECONDS, MINIMUM_SLOW_ANSWER_MILLISECONDS, SLOW_ANSWER_FACTOR, SLOW_ESTIMATE_FACTOR, SLOW_EVENT_GAP_FACTOR } from './JayfallForwardingConstants'
import { type SlowLimits, type VersionObservation } from './JayfallVersionObservation'
import { countOutcome, sumVersionCounts, type VersionCounts } from './JayfallVersionVerdict'

interface CountingWindow {
  readonly startedAt: number
  counts: VersionCounts
}

const NO_COUNTS: VersionCounts = { outcomes: {}, speeds: {} }

/** Counts the recent outcomes of one rollout that this instance observed. */
export class VersionEvidence {
  /** The current window and the one before it, the current one first. */
  private windows: readonly CountingWindow[] = []
  /** Attempts whose speed is not judged yet, and whether they run on the new version. */
  private readonly openObservations = new Map<VersionObservation, boolean>()
  /** Moving averages of the old version's times in milliseconds, by measure, route and model. */
  private readonly baselineTimes = new Map<string, number>()
  private totalNewOutcomes = 0
  private totalNewBad = 0

  /** Counts of the last one or two windows. Older ones are dropped, because they would hide the current behaviour of a version. */
  recentCounts (now: number): VersionCounts {
    this.judgeDueObservations(now)
    this.rotateWindows(now)
    return sumVersionCounts(this.windows.map(({ counts }) => counts))
  }

  /** Judged attempts of the new version since the order. */
  get newOutcomeCount (): number {
    return this.totalNewOutcomes
  }

  /** Failures and slow attempts of the new version since the order. */
  get newBadCount (): number {
    return this.totalNewBad
  }

  /** Begins to observe the speed of an attempt. */
  observe (observation: VersionObservation, isNew: boolean): void {
    this.openObservations.set(observation, isNew)
  }

  /** Ends the observation of an attempt that ended for reasons that have nothing to do with its version, unless it was due before. */
  forget (observation: VersionObservation, now: number): void {
    const isNew = this.openObservations.get(observation)
    if (isNew !== undefined && observation.isDue(this.limitsFor(observation), now)) this.judge(observation, isNew, now)
    this.openObservations.delete(observation)
  }

  /** Records that an attempt has ended with an answer, or has failed. */
  recordOutcome (observation: VersionObservation, isNew: boolean, hasFailed: boolean, now: number): void {
    observation.recordEnd(now)
    this.rotateWindows(now)
    const [window] = this.windows
    window.counts = { ...window.counts, outcomes: countOutcome(window.counts.outcomes, observation.attempt.route, isNew, hasFailed) }
    this.totalNewBad += Number(isNew && hasFailed)
    // The speed of a failure says nothing.
    if (hasFailed) this.openObservations.delete(observation)
    else this.judge(observation, isNew, now)
  }

  /** Records that an attempt was moved to another server, which counts as slow whatever the version. */
  recordMove (observation: VersionObservation, isNew: boolean, now: number): void {
    observation.recordMove(now)
    this.judge(observation, isNew, now)
  }

  /** Updates the baseline times with an answer of the version in service. */
  recordBaseline ({ attempt: { route, model }, timeToFirstEvent, meanEventGap }: VersionObservation): void {
    this.updateBaseline(`first/${route}/${model ?? ''}`, timeToFirstEvent)
    this.updateBaseline(`pause/${route}/${model ?? ''}`, meanEventGap)
  }

  /** Drops the counts and keeps the baseline times. */
  reset (): void {
    this.windows = []
    this.openObservations.clear()
    this.totalNewOutcomes = 0
    this.totalNewBad = 0
  }

  private judgeDueObservations (now: number): void {
    for (const [observation, isNew] of this.openObservations) if (observation.isDue(this.limitsFor(observation), now)) this.judge(observation, isNew, now)
  }

  private judge (observation: VersionObservation, isNew: boolean, now: number): void {
    if (!this.openObservations.delete(observation)) return
    const isSlow = observation.isSlow(this.limitsFor(observation), now)
    if (!isNew && !isSlow && observation.hasEnded) this.recordBaseline(observation)
    this.rotateWindows(now)
    const [window] = this.windows
    window.counts = { ...window.counts, speeds: countOutcome(window.counts.speeds, observation.attempt.route, isNew, isSlow) }
    this.totalNewOutcomes += Number(isNew)
    this.totalNewBad += Number(isNew && isSlow)
  }

  /** An attempt is slow when it takes several times as long as the old version, and longer than its prompt and the work before it explain. */
  private limitsFor ({ attempt: { route, model, explainedTimeToFirstEvent = 0 } }: VersionObservation): SlowLimits {
    const baselineTimeToFirstEvent = this.baselineTimes.get(`first/${route}/${model ?? ''}`)
    const baselineEventGap = this.baselineTimes.get(`pause/${route}/${model ?? ''}`)
    return {
      timeToFirstEvent: baselineTimeToFirstEvent === undefined ? Infinity : Math.max(MINIMUM_SLOW_ANSWER_MILLISECONDS, baselineTimeToFirstEvent * SLOW_ANSWER_FACTOR, explainedTimeToFirstEvent * SLOW_ESTIMATE_FACTOR),
      meanEventGap: baselineEventGap === undefined ? Infinity : baselineEventGap * SLOW_EVENT_GAP_FACTOR
    }
  }

  private rotateWindows (now: number): void {
    const kept = this.windows.filter(({ startedAt }) => now - startedAt < 2 * EVIDENCE_WINDOW_MILLISECONDS)
    const isCurrent = kept[0] !== undefined && now - kept[0].startedAt < EVIDENCE_WINDOW_MILLISECONDS
    this.windows = isCurrent ? kept : [{ startedAt: now, counts: NO_COUNTS }, ...kept.slice(0, 1)]
  }

  private updateBaseline (key: string, milliseconds: number | undefined): void {
    if (milliseconds === undefined) return
    const baseline = this.baselineTimes.get(key)
    this.baselineTimes.set(key, baseline === undefined ? milliseconds : baseline + (milliseconds - baseline) * BASELINE_TIME_WEIGHT)
  }
}
