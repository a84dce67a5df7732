/** The calls by which instances of a zone read the store's changes from the zone's reader. */

import { createPeerRouter, PeerClients, peerProcedure } from '#jayfall/peers'
import { type TableChanges, type TablePosition } from '#jayfall/store'
import * as z from 'zod'

import { MAXIMUM_TABLES_PER_CALL, PEER_TIMEOUT_MILLISECONDS, PEER_POLL_WAIT_MILLISECONDS } from './JayfallFeedConstants'
import { type FeedInstance } from './JayfallReaderSelector'
import { decodeChange, type RelayedChange } from './JayfallRelayedChange'

const countByTable = z.record(z.string(), z.number().nonnegative()).refine(tables => Object.keys(tables).length <= MAXIMUM_TABLES_PER_CALL).readonly()

const changesRequest = z.object({
  /** The revision of each table up to which the caller knows the changes. */
  tables: countByTable,
  /** The eras of the store in which these revisions count; older versions send none. */
  eras: countByTable.prefault({}),
  /** Time to wait for changes, in milliseconds. */
  wait: z.number().min(0).max(PEER_POLL_WAIT_MILLISECONDS),
  /** IP address and port to which the reader sends notices of its readings. */
  notify: z.string().optional(),
  /** The latest era of the store that the caller has heard of. */
  latestEra: z.number().nonnegative().prefault(0),
  /** Whether the caller takes all rows of a table when changes are not kept, because the store does not answer it. */
  acceptsRows: z.boolean().prefault(false)
}).readonly()

type ReceivedRequest = z.infer<typeof changesRequest>

/** A position up to which a caller knows the changes; callers of older versions name no era. */
export type RequestedPosition = Pick<TablePosition, 'revision'> & Partial<TablePosition>

/** A request for the changes of several tables. */
export interface ChangesRequest extends Omit<ReceivedRequest, 'tables' | 'eras'> {
  readonly tables: Readonly<Record<string, RequestedPosition>>
}

/** The reason why a reader cannot serve a table. */
export type RefusalReason =
  /** The reader does not follow the table, or no longer has all changes that the caller lacks. */
  | 'not_kept'
  /** The changes are too large for the link of the reader; the caller reads them from the store, which has more bandwidth. */
  | 'too_large'
  /** The reader has not read from the store recently, or not in the caller's era of it, or is about to stop. */
  | 'stale'

/** Changes as they are sent to another instance. */
export interface RelayedChanges {
  readonly changes: readonly RelayedChange[]
  readonly revision: number
  /** Era of the store in which the revision counts; older versions send none. */
  readonly era?: number
  /** Estimated time of the store's clock at the answer, in milliseconds. */
  readonly storeTime: number
}

/** The reply for one table. */
export type TableReply =
  /** `age`: milliseconds since the last read of the table from the store. */
  | { readonly kind: 'changes', readonly reading: RelayedChanges, readonly age: number }
  /** All rows of the table, for a caller that accepts them. */
  | { readonly kind: 'rows', readonly reading: RelayedChanges, readonly age: number }
  | { readonly kind: 'refused', readonly reason: RefusalReason }

/** The replies by table name. */
export type ChangesReply = Readonly<Record<string, TableReply>>

/** Answers the calls of instances that read from this one. */
export abstract class ChangesSource {
  abstract answer (request: ChangesRequest): Promise<ChangesReply>
}

/** Creates the router with the trpc procedures of a reader. */
export function createFeedRouter (source: ChangesSource) {
  return createPeerRouter({ feeds: createPeerRouter({ changes: peerProcedure.input(changesRequest).mutation(({ input }) => source.answer(decodeRequest(input))) }) })
}

type FeedRouter = ReturnType<typeof createFeedRouter>

/** Calls the procedures of readers over trpc. */
export class FeedPeerClient {
  private readonly clients: PeerClients<FeedRouter>

  constructor (localAddress: string) {
    this.clients = new PeerClients({ localAddress, timeout: PEER_TIMEOUT_MILLISECONDS })
  }

  async changes (reader: FeedInstance, { tables, ...request }: ChangesRequest): Promise<ChangesReply> {
    const positions = Object.entries(tables)
    return await this.clients.clientFor(reader.address).feeds.changes.mutate({
      ...request,
      tables: Object.fromEntries(positions.map(([table, { revision }]) => [table, revision])),
      eras: Object.fromEntries(positions.map(([table, { era = 0 }]) => [table, era]))
    }) as ChangesReply
  }

  close (): void {
    this.clients.close()
  }
}

/** Decodes changes that another instance sent. */
export function decodeReading ({ changes, revision, era = 0, storeTime }: RelayedChanges): TableChanges {
  return { changes: changes.map(decodeChange), position: { era, revision }, storeTime, isRelayed: true }
}

function decodeRequest ({ tables, eras, ...request }: ReceivedRequest): ChangesRequest {
  return { ...request, tables: Object.fromEntries(Object.entries(tables).map(([table, revision]) => [table, { revision, era: eras[table] }])) }
}
