/**
 * The messages between the control thread and the data threads of one instance.
 *
 * All messages are structured-clonable, so that a link may cross threads.
 */

import { type CatalogueChange, type CatalogueSnapshot } from '#jayfall/catalogue'
import { type QualitySnapshot } from '#jayfall/rollout'
import { type WorkspaceShare } from '#jayfall/routing'

import { type ThreadReport } from './JayfallThreadReports'

/** Keys that may change while an instance runs. */
export interface ReplaceableKeys {
  /** SHA-256 of operators' keys in hexadecimal. */
  readonly operatorHashes: readonly string[]
  /** `identifier:password`, newest first. */
  readonly sealPasswords: readonly string[]
}

/** From the control thread to a data thread. */
export type ControlMessage =
  | { readonly kind: 'catalogue-changes', readonly changes: readonly CatalogueChange[] }
  | { readonly kind: 'catalogue-snapshot', readonly snapshot: CatalogueSnapshot }
  /** `confirmedAt`: monotonic milliseconds, see `findVersionRefusal`. */
  | { readonly kind: 'confirmation', readonly confirmedAt: number }
  | { readonly kind: 'limit-shares', readonly shares: readonly WorkspaceShare[] }
  /** Ratings of all cascades, by cascade. */
  | { readonly kind: 'cascade-quality', readonly quality: Readonly<Record<string, QualitySnapshot>> }
  | { readonly kind: 'leaving-servers', readonly servers: readonly string[] }
  /** While the backlog of bills is full no new billable work is taken. */
  | { readonly kind: 'billing-backlog', readonly full: boolean }
  | { readonly kind: 'keys', readonly keys: ReplaceableKeys }
  | { readonly kind: 'lifecycle', readonly state: 'serving' | 'leaving' }
  /** Asks for a report, with the spans of a trace. */
  | { readonly kind: 'collect', readonly id: number, readonly traceId?: string }
  | { readonly kind: 'reply', readonly id: number, readonly result?: unknown, readonly error?: { readonly code: string, readonly message: string } }

/** From a data thread to the control thread. */
export type DataMessage =
  /** A call that the control thread answers with `reply`. */
  | { readonly kind: 'call', readonly id: number, readonly name: string, readonly argument: unknown }
  /** Work admitted since the last message. */
  | { readonly kind: 'demand', readonly demands: readonly WorkspaceDemand[] }
  | { readonly kind: 'server-leaving', readonly server: string }
  | { readonly kind: 'collected', readonly id: number, readonly report: ThreadReport }
  | { readonly kind: 'state', readonly openRequests: number }

/** What a workspace asked for, refused requests included. */
export interface WorkspaceDemand {
  readonly workspace: string
  readonly requests: number
  readonly tokens: number
}

/** One end of a link. */
export abstract class MessageLink<Outgoing, Incoming> {
  private receiver: ((message: Incoming) => void) | undefined

  abstract post (message: Outgoing): void

  /** Sets the receiver of incoming messages. */
  receive (receiver: (message: Incoming) => void): void {
    this.receiver = receiver
  }

  /** Hands an incoming message to the receiver. */
  deliver (message: Incoming): void {
    this.receiver?.(message)
  }
}

/** A link whose ends are in one thread. Messages arrive in a later microtask, as they do across threads. */
class LocalLink<Outgoing, Incoming> extends MessageLink<Outgoing, Incoming> {
  other: MessageLink<Incoming, Outgoing> | undefined

  override post (message: Outgoing): void {
    queueMicrotask(() => this.other?.deliver(message))
  }
}

export type ControlLinkEnd = MessageLink<ControlMessage, DataMessage>
export type DataLinkEnd = MessageLink<DataMessage, ControlMessage>

/** Creates the two ends of a link within one thread. */
export function createLocalLink (): { readonly control: ControlLinkEnd, readonly data: DataLinkEnd } {
  const control = new LocalLink<ControlMessage, DataMessage>()
  const data = new LocalLink<DataMessage, ControlMessage>()
  control.other = data
  data.other = control
  return { control, data }
}
