/**
 * Collects the bills of this instance in batches, replicates them to a witness and writes them to the object store.
 *
 * A bill is durable once a witness or the store holds it. The end of an answer is withheld until then.
 */

import { type ObjectStore } from '#jayfall/store'
import { type Peer, type PeerDirectory } from '#jayfall/peers'
import { rendezvousRank, type Clock, type RandomSource } from '#jayfall/shared'

import { Backoff } from './JayfallBackoff'
import { type Bill } from './JayfallBill'
import { type BillMemory } from './JayfallBillMemory'
import { writeBills } from './JayfallBillObjects'
import { BACKLOG_WRITE_INTERVAL_MILLISECONDS, BATCH_OVERHEAD_BYTES, MAXIMUM_BILLS_PER_BATCH, UNCOMPRESSED_BILL_BYTES, MAXIMUM_WITNESS_ATTEMPTS, WITNESS_PENALTY_MILLISECONDS } from './JayfallLedgerConstants'
import { type WitnessClient } from './JayfallLedgerPeers'
import { CompressedBills } from './JayfallCompressedBills'

/** Identifies the process that issues the bills. */
export interface BillOrigin {
  readonly instance: string
  /** Start of the process, in wall-clock milliseconds. */
  readonly startedAt: number
}

/** Is called with `true` once the batch is written, and with `false` when the store fails. */
type WriteWaiter = (isWritten: boolean) => void

/** The batch that new bills are added to. */
interface OpenBatch {
  readonly sequence: number
  /** Wall-clock milliseconds. */
  readonly openedAt: number
  /** Monotonic milliseconds. */
  readonly openedAtMonotonic: number
  readonly bills: Bill[]
  /** Witnesses that may hold copies of the bills, by address. */
  readonly witnesses: Map<string, Peer>
  readonly waiters: WriteWaiter[]
  /** Address of the witness that acknowledged the most recent bills. */
  lastWitnessAddress?: string
}

/** A batch that takes no more bills and waits to be written. */
interface ClosedBatch extends Pick<OpenBatch, 'sequence' | 'openedAt' | 'witnesses' | 'waiters'> {
  readonly bills: CompressedBills
}

/** A bill that is not durable yet; `release` lets the end of its answer go. */
interface PendingBill {
  readonly bill: Bill
  readonly batch: OpenBatch
  readonly release: () => void
}

/** Collects, replicates and writes the bills of one process. */
export class BillBatches {
  private readonly originId: string
  private readonly backoff: Backoff
  private readonly closed = new Map<number, ClosedBatch>()
  /** Monotonic milliseconds until which a witness that failed is ranked last, by address. */
  private readonly witnessPenaltyEnds = new Map<string, number>()
  private open: OpenBatch
  private pendingBills: readonly PendingBill[] = []
  private isDraining = false
  private isReplicating = false
  private nextBacklogWriteAt = -Infinity
  private unreplicatedCount = 0

  /** @param batchInterval milliseconds after which an open batch is closed. */
  constructor (
    private readonly origin: BillOrigin,
    private readonly batchInterval: number,
    private readonly store: ObjectStore,
    private readonly witnessClient: WitnessClient,
    private readonly directory: PeerDirectory,
    private readonly memory: BillMemory,
    private readonly clock: Clock,
    random: RandomSource
  ) {
    this.originId = `${origin.instance}.${origin.startedAt}`
    this.backoff = new Backoff(clock, random)
    this.open = this.createBatch(0)
  }

  /** Number of bills whose answers were released although neither a witness nor the store held them. */
  get unreplicatedBillCount (): number {
    return this.unreplicatedCount
  }

  /** Whether all bills are stored. */
  get isEmpty (): boolean {
    return this.open.bills.length === 0 && this.closed.size === 0
  }

  /** Adds a bill. Resolves once the bill is durable, or once replication and the store have both failed. */
  record (bill: Bill): Promise<void> {
    return new Promise(resolve => {
      this.open.bills.push(bill)
      this.memory.adjust(UNCOMPRESSED_BILL_BYTES)
      this.pendingBills = [...this.pendingBills, { bill, batch: this.open, release: resolve }]
      if (this.open.bills.length >= MAXIMUM_BILLS_PER_BATCH) this.closeOpenBatch()
      if (!this.isReplicating && this.directory.livePeersOfZone().length > 0) this.replicateImmediately()
    })
  }

  /** Replicates new bills, closes the open batch when it is due, and writes closed batches. */
  async tick (): Promise<void> {
    const copied = this.replicatePending()
    if (this.isCloseDue()) this.closeOpenBatch()
    await Promise.all([copied, this.writeDueBatches()])
  }

  /** Writes all bills before a planned stop. @throws PlatformError. */
  async flush (): Promise<void> {
    await this.replicatePending()
    if (this.open.bills.length > 0) this.closeOpenBatch()
    for (const batch of [...this.closed.values()]) await this.write(batch)
  }

  /** Closing a batch compresses its bills, so a full memory closes it early. */
  private isCloseDue (): boolean {
    return this.open.bills.length > 0 && (this.memory.isFull || this.clock.monotonic() - this.open.openedAtMonotonic >= this.batchInterval)
  }

  /**
   * Replicates new bills without waiting for the next tick, one message at a time. The end of an answer
   * waits for the acknowledgement, and bills recorded meanwhile share the next message. Without a live
   * witness, bills wait for the tick, because each replication is then a write to the store.
   */
  private replicateImmediately (): void {
    this.isReplicating = true
    // Bills recorded in the same turn of the event loop share one message.
    setImmediate(() => {
      this.replicatePending().catch(() => {}).finally(() => {
        this.isReplicating = false
        if (this.pendingBills.length > 0 && this.directory.livePeersOfZone().length > 0) this.replicateImmediately()
      })
    })
  }

  private async replicatePending (): Promise<void> {
    const pendingBills = this.pendingBills
    this.pendingBills = []
    for (const batch of new Set(pendingBills.map(each => each.batch))) await this.makeDurable(batch, pendingBills.filter(each => each.batch === batch))
  }

  private async makeDurable (batch: OpenBatch, pendingBills: readonly PendingBill[]): Promise<void> {
    const isDurable = await this.copyToWitness(batch, pendingBills.map(({ bill }) => bill)) || await this.writeImmediately(batch)
    if (!isDurable) this.unreplicatedCount += pendingBills.length
    for (const { release } of pendingBills) release()
  }

  private async copyToWitness (batch: OpenBatch, bills: readonly Bill[]): Promise<boolean> {
    let attempts = 0
    for (const witness of this.witnessCandidates(batch)) {
      if (attempts === MAXIMUM_WITNESS_ATTEMPTS) return false
      attempts++
      // A witness that does not acknowledge may still hold copies, so it must also be told when they are stored.
      batch.witnesses.set(witness.address, witness)
      try {
        await this.witnessClient.replicate(witness, { ...this.origin, origin: this.originId, sequence: batch.sequence, bills })
        batch.lastWitnessAddress = witness.address
        return true
      } catch {
        this.witnessPenaltyEnds.set(witness.address, this.clock.monotonic() + WITNESS_PENALTY_MILLISECONDS)
      }
    }
    return false
  }

  /** Witnesses in the order in which they are asked: first the one that last acknowledged bills of the batch, last those that failed recently. */
  private * witnessCandidates ({ sequence, lastWitnessAddress }: OpenBatch): Generator<Peer> {
    const peers = new Map(this.directory.livePeersOfZone().map(peer => [peer.address, peer]))
    const hasFailed = (address: string): boolean => (this.witnessPenaltyEnds.get(address) ?? -Infinity) > this.clock.monotonic()
    const preferred = lastWitnessAddress === undefined || hasFailed(lastWitnessAddress) ? undefined : peers.get(lastWitnessAddress)
    if (preferred !== undefined) yield preferred
    // Ranking hashes every peer, which is too expensive to do for every message.
    const ranked = rendezvousRank(`${this.originId}/${sequence}`, peers.keys()).filter(address => address !== preferred?.address)
    for (const address of [...ranked.filter(address => !hasFailed(address)), ...ranked.filter(hasFailed)]) yield peers.get(address) as Peer
  }

  /** Writes the batch before it is due. Resolves to false when the store is known to be down or the write fails. */
  private async writeImmediately (batch: OpenBatch): Promise<boolean> {
    const isStored = batch !== this.open && !this.closed.has(batch.sequence)
    if (isStored || !this.backoff.isDue) return isStored
    const written = new Promise<boolean>(resolve => batch.waiters.push(resolve))
    this.writeDueBatches().catch(() => {})
    return await written
  }

  /** Writes batches that have waiters at once, then the others at the backlog interval, until the store fails. */
  private async writeDueBatches (): Promise<void> {
    if (this.isDraining || !this.backoff.isDue) return
    this.isDraining = true
    try {
      for (let batch = this.nextBatchToWrite(); batch !== undefined; batch = this.nextBatchToWrite()) await this.write(batch)
    } catch {
      this.backoff.recordFailure()
      for (const { waiters } of [this.open, ...this.closed.values()]) waiters.splice(0).forEach(waiter => waiter(false))
    } finally {
      this.isDraining = false
    }
  }

  private nextBatchToWrite (): ClosedBatch | undefined {
    // Bills recorded during the last write share one object.
    if (this.open.waiters.length > 0) this.closeOpenBatch()
    const batches = [...this.closed.values()]
    const awaited = batches.find(({ waiters }) => waiters.length > 0)
    if (awaited !== undefined || batches.length === 0) return awaited
    const now = this.clock.monotonic()
    if (now < this.nextBacklogWriteAt) return undefined
    this.nextBacklogWriteAt = now + BACKLOG_WRITE_INTERVAL_MILLISECONDS
    return batches[0]
  }

  private async write (batch: ClosedBatch): Promise<void> {
    const { sequence, openedAt, bills, witnesses, waiters } = batch
    await writeBills(this.store, { origin: this.originId, sequence, openedAt, bills: bills.decompress() })
    this.backoff.recordSuccess()
    if (this.closed.delete(sequence)) this.memory.adjust(-bills.bytes - BATCH_OVERHEAD_BYTES)
    waiters.splice(0).forEach(waiter => waiter(true))
    // A witness that misses the confirmation finds in the store that nothing is left to write.
    const confirmation = { instance: this.origin.instance, origin: this.originId, sequence, storedBelow: Math.min(this.open.sequence, ...this.closed.keys()) }
    for (const witness of witnesses.values()) this.witnessClient.confirm(witness, confirmation).catch(() => {})
  }

  private closeOpenBatch (): void {
    const { sequence, openedAt, bills, witnesses, waiters } = this.open
    const compressedBills = new CompressedBills(bills)
    this.closed.set(sequence, { sequence, openedAt, bills: compressedBills, witnesses, waiters })
    this.memory.adjust(compressedBills.bytes + BATCH_OVERHEAD_BYTES - bills.length * UNCOMPRESSED_BILL_BYTES)
    this.open = this.createBatch(sequence + 1)
  }

  private createBatch (sequence: number): OpenBatch {
    return { sequence, openedAt: this.clock.wall(), openedAtMonotonic: this.clock.monotonic(), bills: [], witnesses: new Map(), waiters: [] }
  }
}
