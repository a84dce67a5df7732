/** Rows of the `calls` table, and the writes that change them. */

import { type TableRow } from '#jayfall/store'

import { type Bill } from './JayfallBill'
import { CALLS_TABLE, OPEN_CALLS_TABLE } from './JayfallLedgerConstants'
import { type RowChange } from './JayfallRowCommitter'

/** The data with which an attempt claims a call. */
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
  /** Price at the time of the claim, so that the bill does not depend on who writes it. */
  readonly price: number
  /** Time of the claim, in wall-clock milliseconds. */
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

/** A row of the `calls-open` table. */
export interface OpenCall {
  readonly state: 'dispatched' | 'unknown'
  readonly attempt: string
}

/** Returns the key of a call's row in both tables. */
export function callKey ({ workspace, key }: Pick<CallClaim, 'workspace' | 'key'>): string {
  return `${workspace}/${key}`
}

/** Creates the row of a call whose outcome is known, with its bill. A call that the service refused costs nothing. */
export function createDoneRow (claim: CallClaim, outcome: CallOutcome): CallRow {
  const { workspace, service, call, price } = claim
  const bill: Bill = { key: callKey(claim), workspace, source: `${service}/${call}`, promptTokens: 0, outputTokens: 0, amount: outcome.status < 400 ? price : 0 }
  return { ...pickClaim(claim), state: 'done', outcome, bill }
}

/** Creates the row of a call without an outcome. */
export function createRow (claim: CallClaim, state: 'dispatched' | 'not-run' | 'unknown'): CallRow {
  return { ...pickClaim(claim), state }
}

/** Creates the change that replaces the row at `ifRevision` and updates the `calls-open` table in the same transaction. */
export function createRowChange (value: CallRow, ifRevision: number): RowChange {
  const key = callKey(value)
  const openCall: OpenCall | null = value.state === 'dispatched' || value.state === 'unknown' ? { state: value.state, attempt: value.attempt } : null
  return {
    row: { table: CALLS_TABLE, key, value, ifRevision },
    accompanyingWrites: [{ table: OPEN_CALLS_TABLE, key, value: openCall }]
  }
}

/** A row of the `calls` table as it was read, with its revision. */
export type StoredCall = TableRow<CallRow>

function pickClaim ({ workspace, key, attempt, requestId, instance, bodyHash, service, call, price, claimedAt }: CallClaim): CallClaim {
  return { workspace, key, attempt, requestId, instance, bodyHash, service, call, price, claimedAt }
}
