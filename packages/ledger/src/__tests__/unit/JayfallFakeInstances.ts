/** Simulated instances in one process: each issues bills and is a witness for the others. */

import { PeerDirectory, type Peer } from '#jayfall/peers'
import { createRandomSource, type ManualClock } from '#jayfall/shared'

import { BillBatches } from '../../JayfallBillBatches'
import { BillMemory } from '../../JayfallBillMemory'
import { BillWitness, type ReplicatedBills, type BatchConfirmation } from '../../JayfallBillWitness'
import { type Bill } from '../../JayfallBill'
import { WitnessClient } from '../../JayfallLedgerPeers'
import { type FakeObjectStore } from './JayfallFakeStores'

export const BATCH_INTERVAL_MILLISECONDS = 5000

export function makeBill (index: number): Bill {
  return { key: `taller/request-${index}`, workspace: 'taller', source: 'guide-1', promptTokens: 10, outputTokens: index, amount: index / 1000 }
}

/**
 * - `cut`: calls do not reach the instance.
 * - `lost-reply`: calls reach the instance, but the reply is lost.
 */
export type PeerFault = 'none' | 'cut' | 'lost-reply'

/** One instance. A dead instance does nothing and answers no calls. */
export class FakeInstance {
  fault: PeerFault = 'none'
  isAlive = true
  readonly memory: BillMemory
  readonly directory: PeerDirectory
  readonly batches: BillBatches
  readonly witness: BillWitness

  constructor (readonly id: string, store: FakeObjectStore, clock: ManualClock, instances: ReadonlyMap<string, FakeInstance>, memoryLimit = 24 * 1024 * 1024) {
    this.memory = new BillMemory(memoryLimit)
    this.directory = new FakeDirectory(id, instances)
    const random = createRandomSource(1)
    this.batches = new BillBatches({ instance: id, startedAt: 1 }, BATCH_INTERVAL_MILLISECONDS, store, new FakeWitnessClient(instances), this.directory, this.memory, clock, random)
    this.witness = new BillWitness(store, this.directory, this.memory, clock, random)
  }

  async tick (): Promise<void> {
    if (!this.isAlive) return
    await Promise.all([this.batches.tick(), this.witness.tick()])
  }
}

class FakeDirectory extends PeerDirectory {
  constructor (private readonly ownId: string, private readonly instances: ReadonlyMap<string, FakeInstance>) {
    super()
  }

  /** Includes dead instances, because a real directory lags behind. */
  override livePeersOfZone (): readonly Peer[] {
    return [...this.instances.keys()].filter(id => id !== this.ownId).map(id => ({ id, zone: 'valdivia', address: id }))
  }

  override isDead (id: string): boolean {
    return this.instances.get(id)?.isAlive === false
  }
}

class FakeWitnessClient extends WitnessClient {
  constructor (private readonly instances: ReadonlyMap<string, FakeInstance>) {
    super()
  }

  override async replicate ({ id }: Peer, bills: ReplicatedBills): Promise<void> {
    await this.call(id, instance => instance.witness.replicate(bills))
  }

  override async confirm ({ id }: Peer, batch: BatchConfirmation): Promise<void> {
    await this.call(id, instance => instance.witness.confirm(batch))
  }

  private async call (id: string, work: (instance: FakeInstance) => void): Promise<void> {
    const instance = this.instances.get(id)
    await Promise.resolve()
    if (instance?.isAlive !== true || instance.fault === 'cut') throw new Error('no answer')
    work(instance)
    if (instance.fault === 'lost-reply') throw new Error('no answer')
  }
}
