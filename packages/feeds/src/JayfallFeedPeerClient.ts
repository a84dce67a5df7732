/** The calls by which instances of a zone read the store's changes from the zone's reader. */

import { createPeerRouter, PeerClients, peerProcedure } from '#jayfall/peers'
import { type TableChanges } from '#jayfall/store'
import * as z from 'zod'

import { MAXIMUM_TABLES_PER_CALL, PEER_TIMEOUT_MILLISECONDS, PEER_POLL_WAIT_MILLISECONDS } from './JayfallFeedConstants'
import { type FeedInstance } from './JayfallReaderSelector'
import { decodeChange, type RelayedChange } from './JayfallRelayedChange'

const revision = z.number().nonnegative()

const changesRequest = z.object({
  /** The revision of each table up to which the caller knows the changes. */
  tables: z.record(z.string(), revision).refine(tables => Object.keys(tables).length <= MAXIMUM_TABLES_PER_CALL),
  /** Time to wait for changes, in milliseconds. */
  wait: z.number().min(0).max(PEER_POLL_WAIT_MILLISECONDS),
  /** IP address and port to which the reader sends notices of its readings. */
  notify: z.string().optional()
}).readonly()

export type ChangesRequest = z.infer<typeof changesRequest>

/** The reason why a reader cannot serve a table. */
export type RefusalReason =
  /** The reader does not follow the table, or no longer has all changes that the caller lacks. */
  | 'not_kept'
  /** The changes are too large for the link of the reader; the caller reads them from the store, which has more bandwidth. */
  | 'too_large'
  /** The reader has not read from the store recently, or is about to stop. */
  | 'stale'

/** The reply for one table. */
export type TableReply =
  /** `age`: milliseconds since the last read of the table from the store. */
  | { readonly kind: 'changes', readonly reading: TableChanges & { readonly changes: readonly RelayedChange[] }, readonly age: number }
  | { readonly kind: 'refused', readonly reason: RefusalReason }

/** The replies by table name. */
export type ChangesReply = Readonly<Record<string, TableReply>>

/** Answers the calls of instances that read from this one. */
export abstract class ChangesSource {
  abstract answer (request: ChangesRequest): Promise<ChangesReply>
}

/** Creates the router with the trpc procedures of a reader. */
export function createFeedRouter (source: ChangesSource) {
  return createPeerRouter({ feeds: createPeerRouter({ changes: peerProcedure.input(changesRequest).mutation(({ input }) => source.answer(input)) }) })
}

type FeedRouter = ReturnType<typeof createFeedRouter>

/** Calls the procedures of readers over trpc. */
export class FeedPeerClient {
  private readonly clients: PeerClients<FeedRouter>

  constructor (localAddress: string) {
    this.clients = new PeerClients({ localAddress, timeout: PEER_TIMEOUT_MILLISECONDS })
  }

  async changes (reader: FeedInstance, request: ChangesRequest): Promise<ChangesReply> {
    const reply = await this.clients.clientFor(reader.address).feeds.changes.mutate(request)
    // JSON omits the undefined values of removed rows, and a missing value means the same.
    return Object.fromEntries(Object.entries(reply as ChangesReply).map(([table, tableReply]) => [table, decodeReply(tableReply)]))
  }

  close (): void {
    this.clients.close()
  }
}

function decodeReply (reply: TableReply): TableReply {
  return reply.kind === 'refused' ? reply : { ...reply, reading: { ...reply.reading, changes: reply.reading.changes.map(decodeChange) } }
}
