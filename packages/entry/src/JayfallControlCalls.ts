/** Remote calls from a data thread to the control thread, with the types of their arguments and results. */

import { type Bill, type CallClaim, type CallOutcome, type CallRow, type ClaimResult, type CompletionResult } from '#jayfall/ledger'
import { JayfallError } from '#jayfall/shared'

import { type ControlMessage, type DataLinkEnd } from './JayfallControlLink'
import { type ThreadReport } from './JayfallThreadReportCollector'

/** The calls by name, with their arguments and results. */
export interface ControlCalls {
  readonly claim: { readonly argument: CallClaim, readonly result: ClaimResult }
  readonly complete: { readonly argument: { readonly claim: CallClaim, readonly revision: number, readonly outcome: CallOutcome }, readonly result: CompletionResult }
  readonly withdraw: { readonly argument: { readonly claim: CallClaim, readonly revision: number }, readonly result: undefined }
  readonly find: { readonly argument: { readonly workspace: string, readonly key: string }, readonly result: CallRow | undefined }
  /** Resolves when the bill is durable, so that a crash of this instance cannot lose it. */
  readonly bill: { readonly argument: Bill, readonly result: undefined }
  /** Offers a response for rating. */
  readonly offer: { readonly argument: { readonly offeredId: string, readonly version: string }, readonly result: undefined }
  /** Collects the reports of all data threads, with the spans of a trace if `traceId` is set. */
  readonly collect: { readonly argument: { readonly traceId?: string }, readonly result: readonly ThreadReport[] }
}

export type ControlCallName = keyof ControlCalls

/** The implementations of the calls in the control thread. */
export type CallHandlers = {
  readonly [Name in ControlCallName]: (argument: ControlCalls[Name]['argument']) => Promise<ControlCalls[Name]['result']>
}

/** A call to the control thread failed; `code` is the code of the original error. */
export class ControlCallError extends JayfallError {
  constructor (code: string, message: string) {
    super('ControlCallError', code, message)
  }
}

interface PendingCall {
  readonly resolve: (result: unknown) => void
  readonly reject: (error: Error) => void
}

/** Sends calls over a link and matches replies with calls by identifier. */
export class ControlClient {
  private readonly pendingCalls = new Map<number, PendingCall>()
  private lastId = 0

  constructor (private readonly link: DataLinkEnd) {}

  /** Sends a call and resolves with its result. @throws ControlCallError */
  call<Name extends ControlCallName> (name: Name, argument: ControlCalls[Name]['argument']): Promise<ControlCalls[Name]['result']> {
    this.lastId++
    const id = this.lastId
    return new Promise((resolve, reject) => {
      this.pendingCalls.set(id, { resolve: resolve as (result: unknown) => void, reject })
      this.link.post({ kind: 'call', id, name, argument })
    })
  }

  /** Settles the call that a reply belongs to. */
  handleReply (reply: Extract<ControlMessage, { kind: 'reply' }>): void {
    const pending = this.pendingCalls.get(reply.id)
    this.pendingCalls.delete(reply.id)
    if (reply.error === undefined) pending?.resolve(reply.result)
    else pending?.reject(new ControlCallError(reply.error.code, reply.error.message))
  }
}
