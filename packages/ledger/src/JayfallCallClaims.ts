/**
 * Claims, by which non-idempotent calls run at most once.
 *
 * An attempt may send a call only after the table service holds its claim as the value of the call's row.
 * The right to send is never transferred to another attempt, so a call runs at most once however long its
 * sender is paused.
 */

import { isPlatformError, type TableRow } from '#jayfall/store'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { CALLS_TABLE, MAXIMUM_WRITE_ROUNDS } from './JayfallLedgerConstants'
import { callKey, createRowChange, createDoneRow, createRow, type CallClaim, type CallOutcome, type CallRow } from './JayfallCallRow'
import { LedgerError } from './JayfallLedgerError'
import { PendingRows } from './JayfallPendingRows'
import { type RowCommitter } from './JayfallRowCommitter'
import { type StoreGate } from './JayfallStoreGate'

/** The result of a claim. */
export type ClaimResult =
  /** The attempt may send the call; `revision` is that of its row. */
  | { readonly kind: 'granted', readonly revision: number }
  /** The call cannot be claimed; the state of its row says what is known about it. */
  | { readonly kind: 'present', readonly row: CallRow }

/** Whether an outcome is stored, or kept in this instance's memory until the store accepts it. */
export type CompletionResult = 'recorded' | 'deferred'

/** Writes claims and outcomes to the table service. */
export class CallClaims {
  private readonly unwrittenRows: PendingRows

  constructor (private readonly gate: StoreGate, private readonly committer: RowCommitter, clock: Clock, random: RandomSource) {
    this.unwrittenRows = new PendingRows(clock, random, (value, revision) => this.replaceOwnRow(value, revision))
  }

  /** Number of rows that are kept in memory until the store accepts them. */
  get pendingRows (): number {
    return this.unwrittenRows.size
  }

  /** Claims the right to send a call. @throws LedgerError `key_reused`, or `store_unavailable`; the attempt must then not send. */
  async claim (claim: CallClaim): Promise<ClaimResult> {
    let revision = 0
    let mayBeWritten = false
    try {
      for (let round = 0; round < MAXIMUM_WRITE_ROUNDS; round++) {
        const evaluation = evaluateClaim(claim, await this.tryClaim(claim, revision, () => { mayBeWritten = true }))
        if (typeof evaluation !== 'number') return evaluation
        revision = evaluation
      }
      throw new LedgerError('store_unavailable', 'the row changed with each try')
    } catch (error) {
      // The claim may be stored already or may still arrive at the store; it must not remain `dispatched`.
      if (mayBeWritten) this.unwrittenRows.add(createRow(claim, 'not-run'), 0)
      throw toStoreUnavailableError(error)
    }
  }

  /**
   * Records the outcome and the bill in one write. When the store does not answer,
   * the outcome is kept in memory and written later.
   * @throws LedgerError `backlog_full` when it can be neither written nor kept.
   */
  async complete (claim: CallClaim, revision: number, outcome: CallOutcome): Promise<CompletionResult> {
    const value = createDoneRow(claim, outcome)
    try {
      await this.replaceOwnRow(value, revision)
      return 'recorded'
    } catch (error) {
      if (this.unwrittenRows.add(value, revision)) return 'deferred'
      throw new LedgerError('backlog_full', 'no memory is left for outcomes that are not stored yet', error)
    }
  }

  /** Gives up the right to send a call that was certainly not sent. Resolves once the row is written or kept for a later write. */
  async withdraw (claim: CallClaim, revision: number): Promise<void> {
    const value = createRow(claim, 'not-run')
    try {
      await this.replaceOwnRow(value, revision)
    } catch {
      // If there is no memory for the row, it remains `dispatched` and recovery reports it as unknown.
      this.unwrittenRows.add(value, revision)
    }
  }

  /** Returns the row of a call, or undefined when there is none. @throws LedgerError `store_unavailable`. */
  async find (workspace: string, key: string): Promise<CallRow | undefined> {
    try {
      return (await this.gate.run(store => store.read<CallRow>(CALLS_TABLE, callKey({ workspace, key }))))?.value
    } catch (error) {
      throw toStoreUnavailableError(error)
    }
  }

  /** Probes a store that was down, and writes the rows kept in memory. Must be called at short intervals. */
  async retryPending (): Promise<void> {
    await this.gate.probe()
    if (!this.gate.isShut) await this.unwrittenRows.retry()
  }

  /** Writes the claim once and returns the row that the store holds afterwards. @throws PlatformError when that is not known. */
  private async tryClaim (claim: CallClaim, ifRevision: number, onUnknown: () => void): Promise<TableRow<CallRow> | undefined> {
    const value = createRow(claim, 'dispatched')
    const key = callKey(claim)
    try {
      const result = await this.committer.commit(createRowChange(value, ifRevision))
      if (result.kind === 'written') return { key, value, revision: result.revision }
      return result.row.revision === 0 ? undefined : { key, value: result.row.value as CallRow, revision: result.row.revision }
    } catch (error) {
      if (!isPlatformError(error, 'outcome_unknown', 'malformed')) throw error
      onUnknown()
      return await this.gate.run(store => store.read<CallRow>(CALLS_TABLE, key))
    }
  }

  /**
   * Replaces the attempt's own row unless it is `done`, whatever other state recovery has given it.
   * @throws PlatformError when the store did not answer.
   */
  private async replaceOwnRow (value: CallRow, knownRevision: number): Promise<void> {
    let revision = knownRevision
    for (let round = 0; round < MAXIMUM_WRITE_ROUNDS; round++) {
      const result = await this.committer.commit(createRowChange(value, revision))
      if (result.kind === 'written') return
      const current = result.row.value as CallRow | null
      const isReplaceable = current === null || (current.attempt === value.attempt ? current.state !== 'done' && current.state !== value.state : isNotRunRewrite(current, value))
      if (!isReplaceable) return
      revision = result.row.revision
    }
    throw new LedgerError('store_unavailable', 'the row changed with each try')
  }
}

/**
 * Whether `not-run` is written over the `not-run` row of another attempt. A claim that replaces that row may still
 * be in flight. Writing `not-run` once more changes the revision that the claim expects, so it cannot take effect later.
 */
function isNotRunRewrite (current: CallRow, value: CallRow): boolean {
  return value.state === 'not-run' && current.state === 'not-run'
}

/** Returns the result of the claim, or the revision at which the row may be claimed. @throws LedgerError `key_reused`. */
function evaluateClaim (claim: CallClaim, row: TableRow<CallRow> | undefined): ClaimResult | number {
  if (row === undefined) return 0
  const { value, revision } = row
  if (value.attempt === claim.attempt && (value.state === 'dispatched' || value.state === 'unknown')) return { kind: 'granted', revision }
  if (value.bodyHash !== claim.bodyHash) throw new LedgerError('key_reused', 'the key was used for another body')
  return value.state === 'not-run' && value.attempt !== claim.attempt ? revision : { kind: 'present', row: value }
}

function toStoreUnavailableError (cause: unknown): LedgerError {
  return cause instanceof LedgerError ? cause : new LedgerError('store_unavailable', 'the platform\'s store gives no answer', cause)
}
