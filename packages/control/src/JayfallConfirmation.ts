/**
 * Tracks how recently the installed catalogue was known to be complete.
 *
 * `confirmedAt` is a time on this instance's monotonic clock: the installed catalogue contains every
 * change that was accepted before it. The time never decreases.
 */

import { type Clock } from '#jayfall/shared'

/** The form of a confirmation in messages. */
export interface ConfirmationReport {
  /** The confirmation applies to catalogues at this revision or above. */
  readonly revision: number
  /** Time since `confirmedAt`, in milliseconds. */
  readonly age: number
}

/** The latest confirmation of the installed catalogue. */
export class Confirmation {
  private lastConfirmedAt = -Infinity
  private revision = 0

  constructor (private readonly clock: Clock) {}

  /** Monotonic milliseconds; -Infinity before the first confirmation. */
  get confirmedAt (): number {
    return this.lastConfirmedAt
  }

  /** Time since `confirmedAt`, in milliseconds; Infinity before the first confirmation. */
  get age (): number {
    return this.clock.monotonic() - this.lastConfirmedAt
  }

  /**
   * Confirms the catalogue by a read of the store that began at `startedAt` and returned the revision `head`.
   * The read has no effect when the revision `installed` is lower.
   */
  confirmByRead (startedAt: number, head: number, installed: number): void {
    if (installed >= head) this.confirm(startedAt, head)
  }

  /**
   * Confirms the catalogue by a peer's reply to a request that was sent at `startedAt`. The age in the reply is
   * subtracted from that earlier time, so the confirmation is never too recent.
   */
  confirmByReply (startedAt: number, report: ConfirmationReport, installed: number): void {
    if (installed >= report.revision) this.confirm(startedAt - report.age, report.revision)
  }

  /** The confirmation for a message to a peer; undefined before the first confirmation. */
  report (): ConfirmationReport | undefined {
    return this.lastConfirmedAt === -Infinity ? undefined : { revision: this.revision, age: Math.max(0, Math.ceil(this.age)) }
  }

  private confirm (confirmedAt: number, revision: number): void {
    if (confirmedAt <= this.lastConfirmedAt) return
    this.lastConfirmedAt = confirmedAt
    this.revision = revision
  }
}
