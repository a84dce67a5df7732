/**
 * Bills of this instance: gathered in batches, copied to a witness, written to the object store.
 *
 * A bill is safe when a witness holds it or the store does. The end of an answer waits for that.
 */

import { type ObjectStore } from '#jayfall/store'
import { type Peer, type PeerDirectory } from '#jayfall/peers'
import { rendezvousRank, type Clock, type RandomSource } from '#jayfall/shared'

import { Backoff } from './JayfallBackoff'
import { type Bill } from './JayfallBill'
import { type BillMemory } from './JayfallBillMemory'
import { writeBills } from './JayfallBillObjects'
import { BACKLOG_WRITE_INTERVAL_MILLISECONDS, BATCH_OVERHEAD_BYTES, MAXIMUM_BILLS_PER_BATCH, OPEN_BILL_BYTES, WITNESSES_TRIED, WITNESS_PENALTY_MILLISECONDS } from './JayfallLedgerConstants'
import { type WitnessClient } from './JayfallLedgerPeers'
import { SealedBills } from './JayfallSealedBills'

/** Which process bills. */
export interface BillOrigin {
  readonly instance: string
  /** Wall-clock milliseconds of the process's start. */
  readonly startedAt: number
}

/** Waits for a batch to be written: `true` once it is, `false` when the store fails. */
type WriteWaiter = (isWritten: boolean) => void

interface OpenBatch {
  readonly sequence: number
  readonly openedAt: number
  /** Monotonic milliseconds. */
  readonly openedAtMonotonic: number
  readonly bills: Bill[]
  /** Instances that may hold copies, by address. */
  readonly witnesses: Map<string, Peer>
  readonly waiters: WriteWaiter[]
  /** Address of the witness that acknowledged last. */
  witness?: string
}

interface SealedBatch extends Pick<OpenBatch, 'sequence' | 'openedAt' | 'witnesses' | 'waiters'> {
  readonly bills: SealedBills
}

interface UnsafeBill {
  readonly bill: Bill
  readonly batch: OpenBatch
  readonly release: () => void
}

/** Gathers, copies and writes the bills of one process. */
export class BillBatches {
  private readonly originId: string
  private readonly backoff: Backoff
  private readonly sealed = new Map<number, SealedBatch>()
  private readonly failedWitnesses = new Map<string, number>()
  private open: OpenBatch
  private unsafe: readonly UnsafeBill[] = []
  private draining = false
  private copying = false
  private nextBacklogWriteAt = -Infinity
  private unreplicatedBills = 0

  /** @param batchInterval milliseconds after which a batch closes. */
  constructor (
    private readonly origin: BillOrigin,
    private readonly batchInterval: number,
    private readonly store: ObjectStore,
    private readonly witnesses: WitnessClient,
    private readonly directory: PeerDirectory,
    private readonly memory: BillMemory,
    private readonly clock: Clock,
    random: RandomSource
  ) {
    this.originId = `${origin.instance}.${origin.startedAt}`
    this.backoff = new Backoff(clock, random)
    this.open = this.openBatch(0)
  }

  /** Bills that were released while only this process held them. */
  get unreplicatedBillCount (): number {
    return this.unreplicatedBills
  }

  /** Bills that are not stored yet. */
  get isEmpty (): boolean {
    return this.open.bills.length === 0 && this.sealed.size === 0
  }

  /** Adds a bill. Resolves when it survives the death of this process, or when nothing can make it so. */
  record (bill: Bill): Promise<void> {
    return new Promise(resolve => {
      this.open.bills.push(bill)
      this.memory.change(OPEN_BILL_BYTES)
      this.unsafe = [...this.unsafe, { bill, batch: this.open, release: resolve }]
      if (this.open.bills.length >= MAXIMUM_BILLS_PER_BATCH) this.seal()
      if (!this.copying && this.directory.livePeersOfZone().length > 0) this.copyAtOnce()
    })
  }

  /** Copies new bills to a witness, closes the batch when it is due, and writes closed ones. */
  async tick (): Promise<void> {
    const copied = this.copyUnsafe()
    if (this.isCloseDue()) this.seal()
    await Promise.all([copied, this.drain()])
  }

  /** Writes everything, at a planned stop. @throws PlatformError. */
  async flush (): Promise<void> {
    await this.copyUnsafe()
    if (this.open.bills.length > 0) this.seal()
    for (const batch of [...this.sealed.values()]) await this.write(batch)
  }

  /** Sealing compresses, so a full memory closes the batch early. */
  private isCloseDue (): boolean {
    return this.open.bills.length > 0 && (this.memory.isFull || this.clock.monotonic() - this.open.openedAtMonotonic >= this.batchInterval)
  }

  /**
   * Copies without waiting for the next tick, one message at a time: the end of an answer waits
   * for it, and bills that come meanwhile share the next message. Without a witness bills wait
   * for the tick, as each copy is then a write of the store.
   */
  private copyAtOnce (): void {
    this.copying = true
    // Bills that are recorded in the same turn share the message.
    setImmediate(() => {
      this.copyUnsafe().catch(() => {}).finally(() => {
        this.copying = false
        if (this.unsafe.length > 0 && this.directory.livePeersOfZone().length > 0) this.copyAtOnce()
      })
    })
  }

  private async copyUnsafe (): Promise<void> {
    const unsafe = this.unsafe
    this.unsafe = []
    for (const batch of new Set(unsafe.map(each => each.batch))) await this.makeSafe(batch, unsafe.filter(each => each.batch === batch))
  }

  private async makeSafe (batch: OpenBatch, unsafe: readonly UnsafeBill[]): Promise<void> {
    const isSafe = await this.copyToWitness(batch, unsafe.map(({ bill }) => bill)) || await this.writeAtOnce(batch)
    if (!isSafe) this.unreplicatedBills += unsafe.length
    for (const { release } of unsafe) release()
  }

  private async copyToWitness (batch: OpenBatch, bills: readonly Bill[]): Promise<boolean> {
    let tried = 0
    for (const witness of this.candidates(batch)) {
      if (tried === WITNESSES_TRIED) return false
      tried++
      // Without an acknowledgement it may hold copies all the same, and must be told when they are stored.
      batch.witnesses.set(witness.address, witness)
      try {
        await this.witnesses.replicate(witness, { ...this.origin, origin: this.originId, sequence: batch.sequence, bills })
        batch.witness = witness.address
        return true
      } catch {
        this.failedWitnesses.set(witness.address, this.clock.monotonic() + WITNESS_PENALTY_MILLISECONDS)
      }
    }
    return false
  }

  /** Witnesses in the order in which they are asked: the batch's own first, those that failed lately last. */
  private * candidates ({ sequence, witness }: OpenBatch): Generator<Peer> {
    const peers = new Map(this.directory.livePeersOfZone().map(peer => [peer.address, peer]))
    const hasFailed = (address: string): boolean => (this.failedWitnesses.get(address) ?? -Infinity) > this.clock.monotonic()
    const own = witness === undefined || hasFailed(witness) ? undefined : peers.get(witness)
    if (own !== undefined) yield own
    // Ranking hashes each peer, which is too dear for every message.
    const ranked = rendezvousRank(`${this.originId}/${sequence}`, peers.keys()).filter(address => address !== own?.address)
    for (const address of [...ranked.filter(address => !hasFailed(address)), ...ranked.filter(hasFailed)]) yield peers.get(address) as Peer
  }

  /** Writes the batch without waiting for its time. False when the store is known to be down or fails now. */
  private async writeAtOnce (batch: OpenBatch): Promise<boolean> {
    const isStored = batch !== this.open && !this.sealed.has(batch.sequence)
    if (isStored || !this.backoff.isDue) return isStored
    const written = new Promise<boolean>(resolve => batch.waiters.push(resolve))
    this.drain().catch(() => {})
    return await written
  }

  /** Writes batches that somebody waits for, then the others at their pace, until the store fails. */
  private async drain (): Promise<void> {
    if (this.draining || !this.backoff.isDue) return
    this.draining = true
    try {
      for (let batch = this.nextToWrite(); batch !== undefined; batch = this.nextToWrite()) await this.write(batch)
    } catch {
      this.backoff.fail()
      for (const { waiters } of [this.open, ...this.sealed.values()]) waiters.splice(0).forEach(waiter => waiter(false))
    } finally {
      this.draining = false
    }
  }

  private nextToWrite (): SealedBatch | undefined {
    // Bills that came during the last write share one object.
    if (this.open.waiters.length > 0) this.seal()
    const batches = [...this.sealed.values()]
    const awaited = batches.find(({ waiters }) => waiters.length > 0)
    if (awaited !== undefined || batches.length === 0) return awaited
    const now = this.clock.monotonic()
    if (now < this.nextBacklogWriteAt) return undefined
    this.nextBacklogWriteAt = now + BACKLOG_WRITE_INTERVAL_MILLISECONDS
    return batches[0]
  }

  private async write (batch: SealedBatch): Promise<void> {
    const { sequence, openedAt, bills, witnesses, waiters } = batch
    await writeBills(this.store, { origin: this.originId, sequence, openedAt, bills: bills.read() })
    this.backoff.succeed()
    if (this.sealed.delete(sequence)) this.memory.change(-bills.bytes - BATCH_OVERHEAD_BYTES)
    waiters.splice(0).forEach(waiter => waiter(true))
    // A witness that misses this finds out from the store that nothing is left to write.
    const stored = { instance: this.origin.instance, origin: this.originId, sequence, storedBelow: Math.min(this.open.sequence, ...this.sealed.keys()) }
    for (const witness of witnesses.values()) this.witnesses.confirm(witness, stored).catch(() => {})
  }

  private seal (): void {
    const { sequence, openedAt, bills, witnesses, waiters } = this.open
    const sealed = new SealedBills(bills)
    this.sealed.set(sequence, { sequence, openedAt, bills: sealed, witnesses, waiters })
    this.memory.change(sealed.bytes + BATCH_OVERHEAD_BYTES - bills.length * OPEN_BILL_BYTES)
    this.open = this.openBatch(sequence + 1)
  }

  private openBatch (sequence: number): OpenBatch {
    return { sequence, openedAt: this.clock.wall(), openedAtMonotonic: this.clock.monotonic(), bills: [], witnesses: new Map(), waiters: [] }
  }
}
