/**
 * Recovery of calls whose owner (the instance that claimed them) ended after it sent them.
 *
 * Recovery never gives up an owner's right to send: a row becomes `done` when the service knows the request,
 * and `unknown` otherwise. Each write is conditional on the row's revision, so concurrent recovery by several
 * instances, or by a paused holder of the lease, does no harm.
 */

import { listRows, type TableRow } from '#jayfall/store'
import { type Clock } from '#jayfall/shared'

import { createRowChange, createDoneRow, createRow, type CallOutcome, type CallRow, type OpenCall } from './JayfallCallRow'
import { CALLS_TABLE, OPEN_CALLS_TABLE, RECOVERY_CONCURRENCY, RECOVERY_AGE_MILLISECONDS, RECOVERY_LIMIT_MILLISECONDS } from './JayfallLedgerConstants'
import { type RowCommitter } from './JayfallRowCommitter'
import { type StoreGate } from './JayfallStoreGate'

/** Decides whether this instance performs recovery now. This limits the cost; safety does not depend on it. */
export abstract class RecoveryRight {
  abstract isHeld (): boolean
}

/** Lets every instance perform recovery, without a lease. */
export class SharedRecoveryRight extends RecoveryRight {
  override isHeld (): boolean {
    return true
  }
}

/** A service's answer about the outcome of a request. */
export type OutcomeAnswer =
  | { readonly kind: 'known', readonly outcome: CallOutcome }
  | { readonly kind: 'not-known' }
  /** A server that may know the request does not answer. */
  | { readonly kind: 'unreachable' }
  /** The service offers no lookup of outcomes. */
  | { readonly kind: 'unsupported' }

/** Looks up the outcomes of requests at their services. */
export abstract class OutcomeLookup {
  abstract find (call: CallRow): Promise<OutcomeAnswer>
}

interface SeenCall {
  readonly revision: number
  /** Time at which this revision was first read, in monotonic milliseconds; wall clocks of different machines are not compared. */
  readonly firstSeenAt: number
}

/** Completes rows that have remained `dispatched` for `RECOVERY_AGE_MILLISECONDS`. */
export class CallRecovery {
  private seen: ReadonlyMap<string, SeenCall> = new Map()
  private isRunning = false

  constructor (
    private readonly gate: StoreGate,
    private readonly committer: RowCommitter,
    private readonly lookup: OutcomeLookup,
    private readonly right: RecoveryRight,
    private readonly clock: Clock
  ) {}

  /** Makes one pass over the open calls and returns the rows that it completed. @throws PlatformError. */
  async run (): Promise<readonly CallRow[]> {
    if (this.isRunning || this.gate.isShut || !this.right.isHeld()) return []
    this.isRunning = true
    try {
      return await this.recoverDueCalls(await this.listDueCalls())
    } finally {
      this.isRunning = false
    }
  }

  private async listDueCalls (): Promise<ReadonlyMap<string, number>> {
    const now = this.clock.monotonic()
    const seen = new Map<string, SeenCall>()
    for await (const { key, value, revision } of listRows<OpenCall>(this.gate.store, OPEN_CALLS_TABLE, '')) {
      if (value.state !== 'dispatched') continue
      const before = this.seen.get(key)
      seen.set(key, before?.revision === revision ? before : { revision, firstSeenAt: now })
    }
    this.seen = seen
    return new Map([...seen].map(([key, { firstSeenAt }]) => [key, now - firstSeenAt] as const).filter(([, age]) => age >= RECOVERY_AGE_MILLISECONDS))
  }

  private async recoverDueCalls (ages: ReadonlyMap<string, number>): Promise<readonly CallRow[]> {
    const due = [...ages]
    const completed: CallRow[] = []
    // A service that does not answer must not delay the rows of other services for long.
    for (let start = 0; start < due.length; start += RECOVERY_CONCURRENCY) {
      const group = await Promise.all(due.slice(start, start + RECOVERY_CONCURRENCY).map(([key, age]) => this.recoverRow(key, age)))
      completed.push(...group.flatMap(row => row ?? []))
    }
    return completed
  }

  private async recoverRow (key: string, age: number): Promise<CallRow | undefined> {
    const row = await this.gate.run(store => store.read<CallRow>(CALLS_TABLE, key))
    if (row?.value.state !== 'dispatched') return undefined
    const value = await this.determineNextValue(row.value, age)
    return value !== undefined && await this.replace(row, value) ? value : undefined
  }

  /** Returns the row's next value, or undefined while the service must be asked again. */
  private async determineNextValue (row: CallRow, age: number): Promise<CallRow | undefined> {
    const answer = await this.lookup.find(row)
    if (answer.kind === 'known') return createDoneRow(row, answer.outcome)
    const isUnrecoverable = answer.kind === 'unsupported' || (answer.kind === 'not-known' && age >= RECOVERY_LIMIT_MILLISECONDS)
    return isUnrecoverable ? createRow(row, 'unknown') : undefined
  }

  private async replace ({ revision }: TableRow<CallRow>, value: CallRow): Promise<boolean> {
    return (await this.committer.commit(createRowChange(value, revision))).kind === 'written'
  }
}
