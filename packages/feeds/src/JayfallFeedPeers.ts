/** Calls between instances of a zone about the store's changes. */

import { createPeerRouter, PeerClients, peerProcedure } from '#jayfall/peers'
import { type TableChanges } from '#jayfall/store'
import { z } from 'zod'

import { MAXIMUM_TABLES_PER_CALL, PEER_TIMEOUT, PEER_WAIT } from './JayfallFeedConstants'
import { type FeedInstance } from './JayfallReaderChoice'
import { unpackChange, type RelayedChange } from './JayfallRelayedChange'

const revision = z.number().nonnegative()

const changesRequest = z.object({
  /** The revisions up to which the caller knows its tables. */
  tables: z.record(z.string(), revision).refine(tables => Object.keys(tables).length <= MAXIMUM_TABLES_PER_CALL),
  wait: z.number().min(0).max(PEER_WAIT)
}).readonly()

export type ChangesRequest = z.infer<typeof changesRequest>

/** Why a reader is of no use for a table. */
export type RefusalReason =
  /** It does not follow the table, or no longer has all changes that the caller lacks. */
  | 'not_kept'
  /** There are changes, but too many bytes of them for its link; the store has more. */
  | 'too_large'
  /** It has not heard from the store lately, or is about to end. */
  | 'stale'

export type TableReply =
  /** `age`: milliseconds since the reader heard from the store. */
  | { readonly kind: 'changes', readonly reading: TableChanges & { readonly changes: readonly RelayedChange[] }, readonly age: number }
  | { readonly kind: 'refused', readonly reason: RefusalReason }

export type ChangesReply = Readonly<Record<string, TableReply>>

/** Answers instances that read from this one. */
export abstract class ChangesSource {
  abstract answer (request: ChangesRequest): Promise<ChangesReply>
}

/** The procedures of a reader, for the router of the peer server. */
export function createFeedRouter (source: ChangesSource) {
  return createPeerRouter({ feeds: createPeerRouter({ changes: peerProcedure.input(changesRequest).mutation(({ input }) => source.answer(input)) }) })
}

type FeedRouter = ReturnType<typeof createFeedRouter>

/** Calls readers over trpc. */
export class FeedPeerClient {
  private readonly clients: PeerClients<FeedRouter>

  constructor (localAddress: string) {
    this.clients = new PeerClients({ localAddress, timeout: PEER_TIMEOUT })
  }

  async changes (reader: FeedInstance, request: ChangesRequest): Promise<ChangesReply> {
    const reply = await this.clients.clientFor(reader.address).feeds.changes.mutate(request)
    // JSON leaves the undefined values of removed rows out, which reads alike.
    return Object.fromEntries(Object.entries(reply as ChangesReply).map(([table, sent]) => [table, unpackReply(sent)]))
  }

  close (): void {
    this.clients.close()
  }
}

function unpackReply (reply: TableReply): TableReply {
  return reply.kind === 'refused' ? reply : { ...reply, reading: { ...reply.reading, changes: reply.reading.changes.map(unpackChange) } }
}
