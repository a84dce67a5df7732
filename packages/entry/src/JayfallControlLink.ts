/**
 * The messages between the control thread and the data threads of one instance, and the links that carry them.
 *
 * All messages can be copied by the structured clone algorithm, so that a link may connect two threads.
 */

import { type CatalogueChange, type CatalogueSnapshot } from '#jayfall/catalogue'
import { type QualitySnapshot } from '#jayfall/rollout'
import { type WorkspaceShare } from '#jayfall/routing'

import { type ThreadReport } from './JayfallThreadReportCollector'

/** Keys that can be replaced while an instance runs. */
export interface ReplaceableKeys {
  /** SHA-256 hashes of the operators' keys, in hexadecimal. */
  readonly operatorHashes: readonly string[]
  /** Passwords for session and stream tokens as `identifier:password`, newest first. */
  readonly sealPasswords: readonly string[]
}

/** A message from the control thread to a data thread. */
export type ControlMessage =
  | { readonly kind: 'catalogue-changes', readonly changes: readonly CatalogueChange[] }
  | { readonly kind: 'catalogue-snapshot', readonly snapshot: CatalogueSnapshot }
  /** `confirmedAt`: monotonic milliseconds at which the catalogue was last confirmed as current; see `findVersionRefusal`. */
  | { readonly kind: 'confirmation', readonly confirmedAt: number }
  | { readonly kind: 'limit-shares', readonly shares: readonly WorkspaceShare[] }
  /** Ratings of all cascades, by cascade identifier. */
  | { readonly kind: 'cascade-quality', readonly quality: Readonly<Record<string, QualitySnapshot>> }
  | { readonly kind: 'leaving-servers', readonly servers: readonly string[] }
  /** While the backlog of bills is full, no new billable work is accepted. */
  | { readonly kind: 'billing-backlog', readonly full: boolean }
  | { readonly kind: 'keys', readonly keys: ReplaceableKeys }
  | { readonly kind: 'lifecycle', readonly state: 'serving' | 'leaving' }
  /** Requests a report, with the spans of a trace if `traceId` is set. */
  | { readonly kind: 'collect', readonly id: number, readonly traceId?: string }
  /** The reply to the `call` with the same identifier. */
  | { readonly kind: 'reply', readonly id: number, readonly result?: unknown, readonly error?: { readonly code: string, readonly message: string } }

/** A message from a data thread to the control thread. */
export type DataMessage =
  /** A call, to which the control thread responds with a `reply`. */
  | { readonly kind: 'call', readonly id: number, readonly name: string, readonly argument: unknown }
  /** Work that callers requested since the last message. */
  | { readonly kind: 'demand', readonly demands: readonly WorkspaceDemand[] }
  /** A server announced in a response that it is leaving. */
  | { readonly kind: 'server-leaving', readonly server: string }
  /** The report that `collect` with the same identifier requested. */
  | { readonly kind: 'collected', readonly id: number, readonly report: ThreadReport }
  | { readonly kind: 'state', readonly openRequests: number }

/** Requests and tokens that a workspace requested, including refused requests. */
export interface WorkspaceDemand {
  readonly workspace: string
  readonly requests: number
  readonly tokens: number
}

/** One end of a bidirectional link. */
export abstract class MessageLink<Outgoing, Incoming> {
  private receiver: ((message: Incoming) => void) | undefined

  /** Sends a message to the other end. */
  abstract post (message: Outgoing): void

  /** Registers the receiver of incoming messages, in place of any earlier one. */
  onMessage (receiver: (message: Incoming) => void): void {
    this.receiver = receiver
  }

  /** Passes an incoming message to the receiver. */
  deliver (message: Incoming): void {
    this.receiver?.(message)
  }
}

/** A link within one thread. Messages arrive asynchronously, in a later microtask, as they do between threads. */
class LocalLink<Outgoing, Incoming> extends MessageLink<Outgoing, Incoming> {
  otherEnd: MessageLink<Incoming, Outgoing> | undefined

  override post (message: Outgoing): void {
    queueMicrotask(() => this.otherEnd?.deliver(message))
  }
}

export type ControlLinkEnd = MessageLink<ControlMessage, DataMessage>
export type DataLinkEnd = MessageLink<DataMessage, ControlMessage>

/** Creates the two ends of a link within one thread. */
export function createLocalLink (): { readonly control: ControlLinkEnd, readonly data: DataLinkEnd } {
  const control = new LocalLink<ControlMessage, DataMessage>()
  const data = new LocalLink<DataMessage, ControlMessage>()
  control.otherEnd = data
  data.otherEnd = control
  return { control, data }
}
