/**
 * Recovery of calls whose owner ended after it sent them.
 *
 * Recovery never gives up an owner's right to send: a row becomes `done` when the service knows
 * the request, else `unknown`. Each write is conditional on the row's revision, so that recovery
 * by several instances at once, or by a paused holder of the lease, does no harm.
 */

import { listRows, type TableRow } from '#jayfall/store'
import { type Clock } from '#jayfall/shared'

import { changeRow, createDoneRow, createRow, type CallOutcome, type CallRow, type OpenCall } from './JayfallCallRow'
import { CALLS_TABLE, OPEN_CALLS_TABLE, RECOVERY_CONCURRENCY, RECOVERY_AGE_MILLISECONDS, RECOVERY_LIMIT_MILLISECONDS } from './JayfallLedgerConstants'
import { type RowCommitter } from './JayfallRowCommitter'
import { type StoreGate } from './JayfallStoreGate'

/** Whether this instance does the recovery now; only a matter of cost, not of safety. */
export abstract class RecoveryRight {
  abstract isHeld (): boolean
}

/** Without a lease every instance recovers. */
export class SharedRecoveryRight extends RecoveryRight {
  override isHeld (): boolean {
    return true
  }
}

/** What a service says about a request. */
export type OutcomeAnswer =
  | { readonly kind: 'known', readonly outcome: CallOutcome }
  | { readonly kind: 'not-known' }
  /** A server that may know it does not answer. */
  | { readonly kind: 'unreachable' }
  /** The service answers no such questions. */
  | { readonly kind: 'unsupported' }

/** Asks services for outcomes. */
export abstract class OutcomeLookup {
  abstract find (call: CallRow): Promise<OutcomeAnswer>
}

interface SeenCall {
  readonly revision: number
  /** Monotonic milliseconds; wall clocks of different machines are not compared. */
  readonly firstSeenAt: number
}

/** Completes rows that have been `dispatched` for too long. */
export class CallRecovery {
  private seen: ReadonlyMap<string, SeenCall> = new Map()
  private running = false

  constructor (
    private readonly gate: StoreGate,
    private readonly committer: RowCommitter,
    private readonly lookup: OutcomeLookup,
    private readonly right: RecoveryRight,
    private readonly clock: Clock
  ) {}

  /** One pass over the open calls; returns the rows that it completed. @throws PlatformError. */
  async run (): Promise<readonly CallRow[]> {
    if (this.running || this.gate.isShut || !this.right.isHeld()) return []
    this.running = true
    try {
      return await this.recoverDue(await this.listDue())
    } finally {
      this.running = false
    }
  }

  private async listDue (): Promise<ReadonlyMap<string, number>> {
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

  private async recoverDue (ages: ReadonlyMap<string, number>): Promise<readonly CallRow[]> {
    const due = [...ages]
    const completed: CallRow[] = []
    // One service that does not answer must not hold up the rows of the others for long.
    for (let start = 0; start < due.length; start += RECOVERY_CONCURRENCY) {
      const group = await Promise.all(due.slice(start, start + RECOVERY_CONCURRENCY).map(([key, age]) => this.recoverRow(key, age)))
      completed.push(...group.flatMap(row => row ?? []))
    }
    return completed
  }

  private async recoverRow (key: string, age: number): Promise<CallRow | undefined> {
    const row = await this.gate.run(store => store.read<CallRow>(CALLS_TABLE, key))
    if (row?.value.state !== 'dispatched') return undefined
    const value = await this.decide(row.value, age)
    return value !== undefined && await this.replace(row, value) ? value : undefined
  }

  /** The row's next value, or undefined while the service is still to be asked. */
  private async decide (row: CallRow, age: number): Promise<CallRow | undefined> {
    const answer = await this.lookup.find(row)
    if (answer.kind === 'known') return createDoneRow(row, answer.outcome)
    const isOver = answer.kind === 'unsupported' || (answer.kind === 'not-known' && age >= RECOVERY_LIMIT_MILLISECONDS)
    return isOver ? createRow(row, 'unknown') : undefined
  }

  private async replace ({ revision }: TableRow<CallRow>, value: CallRow): Promise<boolean> {
    return (await this.committer.commit(changeRow(value, revision))).kind === 'written'
  }
}
