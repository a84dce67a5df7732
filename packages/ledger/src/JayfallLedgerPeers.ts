/** Peer calls by which entry instances replicate bills to one another. */

import { createPeerRouter, PeerClients, PeerError, peerProcedure, type Peer } from '#jayfall/peers'
import * as z from 'zod'

import { type BillWitness, type ReplicatedBills, type BatchConfirmation } from './JayfallBillWitness'
import { MAXIMUM_BILLS_PER_BATCH, WITNESS_TIMEOUT_MILLISECONDS } from './JayfallLedgerConstants'

const billSchema = z.object({
  key: z.string(),
  workspace: z.string(),
  source: z.string(),
  promptTokens: z.number(),
  outputTokens: z.number(),
  amount: z.number()
})

const replicateSchema = z.object({
  instance: z.string(),
  startedAt: z.number(),
  origin: z.string(),
  sequence: z.number().int().nonnegative(),
  bills: z.array(billSchema).max(MAXIMUM_BILLS_PER_BATCH)
})

const confirmSchema = z.object({
  instance: z.string(),
  origin: z.string(),
  sequence: z.number().int().nonnegative(),
  storedBelow: z.number().int().nonnegative()
})

/** The procedures of a witness, for the router of the peer server. */
export function createLedgerRouter (witness: BillWitness) {
  return createPeerRouter({
    replicate: peerProcedure.input(replicateSchema).mutation(({ input }) => { witness.replicate(input) }),
    confirm: peerProcedure.input(confirmSchema).mutation(({ input }) => { witness.confirm(input) })
  })
}

export type LedgerRouter = ReturnType<typeof createLedgerRouter>

/** The part of another instance's router that the ledger calls. */
type RootRouter = ReturnType<typeof createPeerRouter<{ ledger: LedgerRouter }>>

/** Client for the witnesses on other instances. */
export abstract class WitnessClient {
  /** Resolves when the witness holds the bills; rejects when it has not acknowledged them in time. */
  abstract replicate (witness: Peer, bills: ReplicatedBills): Promise<void>
  /** Tells the witness that the batch is stored. */
  abstract confirm (witness: Peer, batch: BatchConfirmation): Promise<void>
}

/** Calls witnesses over tRPC. */
export class PeerWitnessClient extends WitnessClient {
  private readonly clients: PeerClients<RootRouter>

  constructor (localAddress: string) {
    super()
    this.clients = new PeerClients({ localAddress, timeout: WITNESS_TIMEOUT_MILLISECONDS })
  }

  override async replicate ({ address }: Peer, bills: ReplicatedBills): Promise<void> {
    try {
      await this.clients.clientFor(address).ledger.replicate.mutate({ ...bills, bills: [...bills.bills] })
    } catch (error) {
      throw new PeerError(`${address} did not acknowledge bills`, error)
    }
  }

  override async confirm ({ address }: Peer, batch: BatchConfirmation): Promise<void> {
    try {
      await this.clients.clientFor(address).ledger.confirm.mutate(batch)
    } catch (error) {
      throw new PeerError(`${address} did not take a confirmation`, error)
    }
  }

  close (): void {
    this.clients.close()
  }
}
