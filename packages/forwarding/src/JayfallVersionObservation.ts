/**
 * The course of one attempt as far as it tells something about the version that it runs on.
 *
 * A slow attempt shows itself late, so attempts must not be counted when they show themselves: soon after a version
 * gets its first requests, the timely ones would be known and the slow ones not, or the other way round. Every attempt
 * is judged at the same age instead, or when it ends before.
 */

import { EVENT_GAP_SAMPLE_EVENTS } from './JayfallForwardingConstants'

export interface ObservedAttempt {
  readonly service: string
  readonly version: string
  readonly route: string
  readonly model: string | undefined
  /** Monotonic milliseconds. */
  readonly startedAt: number
  /** Milliseconds to the first event that the prompt and the known work of the server explain; undefined for plain answers. */
  readonly explainedTimeToFirstEvent: number | undefined
}

/** Times above which an attempt is slow, in milliseconds; Infinity where nothing is known to compare with. */
export interface SlowLimits {
  readonly timeToFirstEvent: number
  readonly meanEventGap: number
}

export class VersionObservation {
  private firstEventAt: number | undefined
  private lastEventAt = 0
  private events = 0
  private endedAt: number | undefined
  private wasMoved = false

  constructor (readonly attempt: ObservedAttempt) {}

  /** Milliseconds to the first event or to the whole answer; undefined before it. */
  get timeToFirstEvent (): number | undefined {
    return this.firstEventAt === undefined ? undefined : this.firstEventAt - this.attempt.startedAt
  }

  /** Mean milliseconds between two events; undefined when there are too few. */
  get meanEventGap (): number | undefined {
    return this.firstEventAt === undefined || this.events < EVENT_GAP_SAMPLE_EVENTS ? undefined : (this.lastEventAt - this.firstEventAt) / (this.events - 1)
  }

  get hasEnded (): boolean {
    return this.endedAt !== undefined
  }

  recordEvent (now: number, count = 1): void {
    this.firstEventAt ??= now
    this.lastEventAt = now
    this.events += count
  }

  /** A plain answer arrives with its end. */
  recordEnd (now: number): void {
    this.firstEventAt ??= now
    this.endedAt = now
  }

  /** The request was moved to another server before its first event, which a slow version would cause more often than the others. */
  recordMove (now: number): void {
    this.wasMoved = true
    this.endedAt = now
  }

  /** Whether the attempt is old enough to be judged, or has ended. */
  isDue (limits: SlowLimits, now: number): boolean {
    return this.hasEnded || now - this.attempt.startedAt >= judgedAge(limits)
  }

  /** Whether the attempt was slow up to the age at which it is judged. */
  isSlow (limits: SlowLimits, now: number): boolean {
    if (this.wasMoved) return Number.isFinite(limits.timeToFirstEvent)
    const end = Math.min(this.endedAt ?? now, now)
    if ((this.timeToFirstEvent ?? end - this.attempt.startedAt) > limits.timeToFirstEvent) return true
    return (this.meanEventGap ?? this.openEventGap(end)) > limits.meanEventGap
  }

  /** The least mean gap that the stream can still have when its sample of events is complete; 0 for a stream that has ended. */
  private openEventGap (now: number): number {
    return this.hasEnded || this.firstEventAt === undefined ? 0 : (now - this.firstEventAt) / (EVENT_GAP_SAMPLE_EVENTS - 1)
  }
}

/** Milliseconds after which both the first event and the gaps of a timely attempt are known. */
function judgedAge ({ timeToFirstEvent, meanEventGap }: SlowLimits): number {
  const sampleTime = Number.isFinite(meanEventGap) ? meanEventGap * (EVENT_GAP_SAMPLE_EVENTS - 1) : 0
  return Number.isFinite(timeToFirstEvent) ? timeToFirstEvent + sampleTime : Infinity
}
