/**
 * Claims of non-idempotent calls.
 *
 * An attempt may send a call only after its claim is the row's value in the table service,
 * and the right to send is never passed on, so that a call runs at most once however
 * long its sender is paused.
 */

import { TableStore, conflictsOf, isPlatformError, type PlatformError, type TableRow } from '#jayfall/platform'

import { type Bill } from './JayfallBill'
import { CALLS_TABLE } from './JayfallLedgerConstants'
import { LedgerError } from './JayfallLedgerError'

/** What an attempt says when it claims a call. */
export interface CallClaim {
  readonly workspace: string
  readonly key: string
  /** Identifies the attempt, so that it recognises its own row after a lost reply. */
  readonly attempt: string
  readonly requestId: string
  readonly instance: string
  readonly bodyHash: string
  readonly service: string
  readonly call: string
  /** Wall-clock milliseconds. */
  readonly claimedAt: number
}

/** The recorded answer of a call. */
export interface CallOutcome {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** A row of the `calls` table. */
export type CallRow =
  | CallClaim & { readonly state: 'dispatched' | 'not-run' | 'unknown' }
  | CallClaim & { readonly state: 'done', readonly outcome: CallOutcome, readonly bill: Bill }

/** The answer to a claim. */
export type ClaimResult =
  /** The attempt may send the call. */
  | { readonly kind: 'granted' }
  /** Another attempt has the row; its state tells what is known. */
  | { readonly kind: 'present', readonly row: CallRow }

/** Claims and outcomes in the table service. */
export class CallClaims {
  constructor (private readonly store: TableStore) {}

  /** @throws LedgerError `key_reused`, or `store_unavailable` when the attempt must not send. */
  async claim (claim: CallClaim): Promise<ClaimResult> {
    try {
      return await this.insert(claim, 0)
    } catch (error) {
      if (isPlatformError(error, 'conflict')) return await this.judge(claim, conflictsOf(error)[0] as TableRow<CallRow>)
      if (isPlatformError(error, 'outcome_unknown')) return await this.readBack(claim, error)
      throw storeUnavailable(error)
    }
  }

  /** Records the outcome and the bill in one write. @throws LedgerError `store_unavailable`. */
  async complete (claim: CallClaim, outcome: CallOutcome, bill: Bill): Promise<void> {
    await this.replaceOwn(claim, { ...claim, state: 'done', outcome, bill })
  }

  /** Gives up the right to send; only for a call that surely was not sent. */
  async withdraw (claim: CallClaim): Promise<void> {
    await this.replaceOwn(claim, { ...claim, state: 'not-run' })
  }

  /** What is known about a call, or undefined when nothing is. @throws LedgerError `store_unavailable`. */
  async find (workspace: string, key: string): Promise<CallRow | undefined> {
    try {
      return (await this.store.read<CallRow>(CALLS_TABLE, callKey({ workspace, key })))?.value
    } catch (error) {
      throw storeUnavailable(error)
    }
  }

  private async insert (claim: CallClaim, ifRevision: number): Promise<ClaimResult> {
    const value: CallRow = { ...claim, state: 'dispatched' }
    await this.store.transact([{ table: CALLS_TABLE, key: callKey(claim), value, ifRevision }])
    return { kind: 'granted' }
  }

  private async judge (claim: CallClaim, row: TableRow<CallRow>): Promise<ClaimResult> {
    if (row.value.bodyHash !== claim.bodyHash) throw new LedgerError('key_reused', 'the key was used for another body')
    if (row.value.state !== 'not-run') return { kind: 'present', row: row.value }
    try {
      return await this.insert(claim, row.revision)
    } catch (error) {
      if (isPlatformError(error, 'conflict')) return { kind: 'present', row: conflictsOf(error)[0].value as CallRow }
      throw storeUnavailable(error)
    }
  }

  private async readBack (claim: CallClaim, cause: PlatformError): Promise<ClaimResult> {
    let row: TableRow<CallRow> | undefined
    try {
      row = await this.store.read<CallRow>(CALLS_TABLE, callKey(claim))
    } catch (error) {
      throw storeUnavailable(error)
    }
    // An absent row proves nothing: the claim may still be on its way.
    if (row === undefined) throw storeUnavailable(cause)
    if (row.value.attempt === claim.attempt) return { kind: 'granted' }
    return await this.judge(claim, row)
  }

  private async replaceOwn (claim: CallClaim, value: CallRow): Promise<void> {
    try {
      const row = await this.store.read<CallRow>(CALLS_TABLE, callKey(claim))
      if (row?.value.state === 'done' || (row !== undefined && row.value.attempt !== claim.attempt)) return
      await this.store.transact([{ table: CALLS_TABLE, key: callKey(claim), value, ifRevision: row?.revision ?? 0 }])
    } catch (error) {
      throw storeUnavailable(error)
    }
  }
}

function callKey ({ workspace, key }: Pick<CallClaim, 'workspace' | 'key'>): string {
  return `${workspace}/${key}`
}

function storeUnavailable (cause: unknown): LedgerError {
  return new LedgerError('store_unavailable', 'the platform\'s store gives no answer', cause)
}
