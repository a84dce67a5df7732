/**
 * Claims of non-idempotent calls.
 *
 * An attempt may send a call only after its claim is the row's value in the table service,
 * and the right to send is never passed on, so that a call runs at most once however
 * long its sender is paused.
 */

import { isPlatformError, type TableRow } from '#jayfall/store'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { CALLS_TABLE, MAXIMUM_WRITE_ROUNDS } from './JayfallLedgerConstants'
import { callKey, changeRow, createDoneRow, createRow, type CallClaim, type CallOutcome, type CallRow } from './JayfallCallRow'
import { LedgerError } from './JayfallLedgerError'
import { PendingRows } from './JayfallPendingRows'
import { type RowCommitter } from './JayfallRowCommitter'
import { type StoreGate } from './JayfallStoreGate'

/** The answer to a claim. */
export type ClaimResult =
  /** The attempt may send the call; `revision` is that of its row. */
  | { readonly kind: 'granted', readonly revision: number }
  /** Another attempt has the row; its state tells what is known. */
  | { readonly kind: 'present', readonly row: CallRow }

/** Whether an outcome is in the store, or waits in this instance's memory for the store. */
export type CompletionResult = 'recorded' | 'deferred'

/** Claims and outcomes in the table service. */
export class CallClaims {
  private readonly pending: PendingRows

  constructor (private readonly gate: StoreGate, private readonly committer: RowCommitter, clock: Clock, random: RandomSource) {
    this.pending = new PendingRows(clock, random, (value, revision) => this.replaceOwn(value, revision))
  }

  /** Rows that wait for the store. */
  get pendingRows (): number {
    return this.pending.size
  }

  /** @throws LedgerError `key_reused`, or `store_unavailable` when the attempt must not send. */
  async claim (claim: CallClaim): Promise<ClaimResult> {
    let revision = 0
    let mayBeWritten = false
    try {
      for (let round = 0; round < MAXIMUM_WRITE_ROUNDS; round++) {
        const judged = judge(claim, await this.tryClaim(claim, revision, () => { mayBeWritten = true }))
        if (typeof judged !== 'number') return judged
        revision = judged
      }
      throw new LedgerError('store_unavailable', 'the row changed with each try')
    } catch (error) {
      // The claim may be in the store, or may yet arrive there; it must not stay `dispatched`.
      if (mayBeWritten) this.pending.add(createRow(claim, 'not-run'), 0)
      throw storeUnavailable(error)
    }
  }

  /**
   * Records the outcome and the bill in one write. When the store does not answer,
   * the outcome is kept and written later.
   * @throws LedgerError `backlog_full` when it can be neither written nor kept.
   */
  async complete (claim: CallClaim, revision: number, outcome: CallOutcome): Promise<CompletionResult> {
    const value = createDoneRow(claim, outcome)
    try {
      await this.replaceOwn(value, revision)
      return 'recorded'
    } catch (error) {
      if (this.pending.add(value, revision)) return 'deferred'
      throw new LedgerError('backlog_full', 'no memory is left for outcomes that are not stored yet', error)
    }
  }

  /** Gives up the right to send, for a call that surely was not sent. Returns once the row is written or kept for later. */
  async withdraw (claim: CallClaim, revision: number): Promise<void> {
    const value = createRow(claim, 'not-run')
    try {
      await this.replaceOwn(value, revision)
    } catch {
      // Without memory for it the row stays `dispatched`, and recovery reports it as unknown.
      this.pending.add(value, revision)
    }
  }

  /** What is known about a call, or undefined when nothing is. @throws LedgerError `store_unavailable`. */
  async find (workspace: string, key: string): Promise<CallRow | undefined> {
    try {
      return (await this.gate.run(store => store.read<CallRow>(CALLS_TABLE, callKey({ workspace, key }))))?.value
    } catch (error) {
      throw storeUnavailable(error)
    }
  }

  /** Probes a store that was down and writes what waits. Called at short intervals. */
  async retryPending (): Promise<void> {
    await this.gate.probe()
    if (!this.gate.isShut) await this.pending.retry()
  }

  /** Writes the claim once and returns the row that the store has afterwards. @throws PlatformError when that is not known. */
  private async tryClaim (claim: CallClaim, ifRevision: number, onUnknown: () => void): Promise<TableRow<CallRow> | undefined> {
    const value = createRow(claim, 'dispatched')
    const key = callKey(claim)
    try {
      const result = await this.committer.commit(changeRow(value, ifRevision))
      if (result.kind === 'written') return { key, value, revision: result.revision }
      return result.row.revision === 0 ? undefined : { key, value: result.row.value as CallRow, revision: result.row.revision }
    } catch (error) {
      if (!isPlatformError(error, 'outcome_unknown', 'malformed')) throw error
      onUnknown()
      return await this.gate.run(store => store.read<CallRow>(CALLS_TABLE, key))
    }
  }

  /**
   * Replaces the attempt's own row, whatever state recovery has given it, unless it is `done`.
   * @throws PlatformError when the store gave no answer.
   */
  private async replaceOwn (value: CallRow, knownRevision: number): Promise<void> {
    let revision = knownRevision
    for (let round = 0; round < MAXIMUM_WRITE_ROUNDS; round++) {
      const result = await this.committer.commit(changeRow(value, revision))
      if (result.kind === 'written') return
      const current = result.row.value as CallRow | null
      const isReplaceable = current === null || (current.attempt === value.attempt ? current.state !== 'done' && current.state !== value.state : isGivenUpTwice(current, value))
      if (!isReplaceable) return
      revision = result.row.revision
    }
    throw new LedgerError('store_unavailable', 'the row changed with each try')
  }
}

/**
 * A claim on top of another attempt's `not-run` row may still be on its way.
 * Writing `not-run` once more changes the revision that the claim expects, so that it cannot take effect later.
 */
function isGivenUpTwice (current: CallRow, value: CallRow): boolean {
  return value.state === 'not-run' && current.state === 'not-run'
}

/** A final answer, or the revision at which the row may be claimed. @throws LedgerError `key_reused`. */
function judge (claim: CallClaim, row: TableRow<CallRow> | undefined): ClaimResult | number {
  if (row === undefined) return 0
  const { value, revision } = row
  if (value.attempt === claim.attempt && (value.state === 'dispatched' || value.state === 'unknown')) return { kind: 'granted', revision }
  if (value.bodyHash !== claim.bodyHash) throw new LedgerError('key_reused', 'the key was used for another body')
  return value.state === 'not-run' && value.attempt !== claim.attempt ? revision : { kind: 'present', row: value }
}

function storeUnavailable (cause: unknown): LedgerError {
  return cause instanceof LedgerError ? cause : new LedgerError('store_unavailable', 'the platform\'s store gives no answer', cause)
}
