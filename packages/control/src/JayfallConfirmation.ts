/**
 * The confirmation of the installed catalogue.
 *
 * `confirmedAt` is a time on this instance's monotonic clock such that no change accepted
 * before it is missing from the installed catalogue. It never falls.
 */

import { type Clock } from '#jayfall/shared'

/** The confirmation as a message states it. */
export interface ConfirmationReport {
  /** A catalogue at this revision or above is confirmed. */
  readonly revision: number
  /** Milliseconds. */
  readonly age: number
}

/** Holds `confirmedAt`. */
export class Confirmation {
  private at = -Infinity
  private revision = 0

  constructor (private readonly clock: Clock) {}

  get confirmedAt (): number {
    return this.at
  }

  /** Infinity before the first confirmation. */
  get age (): number {
    return this.clock.monotonic() - this.at
  }

  /** A read of the store that began at `startedAt` found `head`; ignored while a change is missing. */
  takeRead (startedAt: number, head: number, installed: number): void {
    if (installed >= head) this.confirm(startedAt, head)
  }

  /** A peer's reply to a request that began at `startedAt`; the peer's age counts from before that. */
  takeReply (startedAt: number, report: ConfirmationReport, installed: number): void {
    if (installed >= report.revision) this.confirm(startedAt - report.age, report.revision)
  }

  /** What to tell a peer; undefined before the first confirmation. */
  report (): ConfirmationReport | undefined {
    return this.at === -Infinity ? undefined : { revision: this.revision, age: Math.max(0, Math.ceil(this.age)) }
  }

  private confirm (at: number, revision: number): void {
    if (at <= this.at) return
    this.at = at
    this.revision = revision
  }
}
