/**
 * Copies of other instances' bills, kept until their origin has stored them.
 *
 * The witness writes a batch itself when its origin is dead or has been silent for `WITNESS_TAKEOVER_MILLISECONDS`.
 * Writing is safe at any time (see `writeBills`), so a wrong suspicion costs two store calls and nothing else.
 */

import { type ObjectStore } from '#jayfall/store'
import { type PeerDirectory } from '#jayfall/peers'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { Backoff } from './JayfallBackoff'
import { type Bill } from './JayfallBill'
import { type BillMemory } from './JayfallBillMemory'
import { writeBills, type BatchIdentifier } from './JayfallBillObjects'
import { BACKLOG_WRITE_INTERVAL_MILLISECONDS, BATCH_OVERHEAD_BYTES, UNCOMPRESSED_BILL_BYTES, WITNESS_TAKEOVER_MILLISECONDS, WITNESS_COMPRESSION_AGE_MILLISECONDS } from './JayfallLedgerConstants'
import { LedgerError } from './JayfallLedgerError'
import { CompressedBills } from './JayfallCompressedBills'

/** Bills of one batch that an origin sends to a witness. */
export interface ReplicatedBills extends BatchIdentifier {
  readonly instance: string
  /** Start of the origin's process, in wall-clock milliseconds; a later start shows that the earlier process has ended. */
  readonly startedAt: number
  readonly bills: readonly Bill[]
}

/** Copies of bills of one batch. */
interface HeldBatch extends BatchIdentifier {
  readonly instance: string
  readonly startedAt: number
  readonly openedAt: number
  readonly uncompressed: readonly Bill[]
  readonly compressed: readonly CompressedBills[]
  /** Time at which the last bills arrived, in monotonic milliseconds. */
  readonly lastReceivedAt: number
  /** Memory accounted for the batch. */
  readonly bytes: number
}

/** Tells a witness that the origin has stored a batch. */
export interface BatchConfirmation extends BatchIdentifier {
  readonly instance: string
  /** All batches with a lower sequence are stored too, which covers confirmations that were lost. */
  readonly storedBelow: number
}

/** The last contact with an instance whose bills the witness holds or held. */
interface OriginContact {
  readonly startedAt: number
  /** Time of the last confirmation, in monotonic milliseconds. */
  readonly confirmedAt: number
}

/** Holds copies of bills for other instances. */
export class BillWitness {
  private readonly held = new Map<string, HeldBatch>()
  private readonly contacts = new Map<string, OriginContact>()
  private readonly backoff: Backoff
  private isWriting = false
  private nextWriteAt = -Infinity

  constructor (
    private readonly store: ObjectStore,
    private readonly directory: PeerDirectory,
    private readonly memory: BillMemory,
    private readonly clock: Clock,
    random: RandomSource
  ) {
    this.backoff = new Backoff(clock, random)
  }

  get heldBatches (): number {
    return this.held.size
  }

  /** Accepts copies of bills. @throws LedgerError `backlog_full`; the origin then asks another witness. */
  replicate ({ instance, startedAt, origin, sequence, bills }: ReplicatedBills): void {
    if (this.memory.isFull) throw new LedgerError('backlog_full', 'no memory is left for copies of bills')
    const contact = this.contacts.get(instance)
    if (contact === undefined || startedAt > contact.startedAt) this.contacts.set(instance, { startedAt, confirmedAt: -Infinity })
    const batch = this.held.get(batchKey({ origin, sequence })) ??
      { instance, startedAt, origin, sequence, openedAt: this.clock.wall(), uncompressed: [], compressed: [], lastReceivedAt: 0, bytes: 0 }
    this.setBatch({ ...batch, uncompressed: [...batch.uncompressed, ...bills], lastReceivedAt: this.clock.monotonic() })
  }

  /** Removes the copies of batches that are stored. */
  confirm ({ instance, origin, sequence, storedBelow }: BatchConfirmation): void {
    const contact = this.contacts.get(instance)
    if (contact !== undefined) this.contacts.set(instance, { ...contact, confirmedAt: this.clock.monotonic() })
    for (const [key, batch] of this.held) {
      if (batch.origin === origin && (batch.sequence === sequence || batch.sequence < storedBelow)) this.removeBatch(key)
    }
  }

  /** Compresses batches that have stopped growing, and writes a batch whose origin is dead, replaced or silent. */
  async tick (): Promise<void> {
    const now = this.clock.monotonic()
    for (const batch of this.held.values()) {
      if (batch.uncompressed.length > 0 && now - batch.lastReceivedAt >= WITNESS_COMPRESSION_AGE_MILLISECONDS) this.setBatch({ ...batch, uncompressed: [], compressed: [...batch.compressed, new CompressedBills(batch.uncompressed)] })
    }
    this.pruneContacts(now)
    if (this.isWriting || now < this.nextWriteAt || !this.backoff.isDue) return
    const dueBatch = [...this.held.values()].find(batch => this.isTakeoverDue(batch, now))
    if (dueBatch === undefined) return
    this.nextWriteAt = now + BACKLOG_WRITE_INTERVAL_MILLISECONDS
    await this.write(dueBatch).catch(() => this.backoff.recordFailure())
  }

  /** Writes all held batches before a planned stop, those of dead origins first. @throws PlatformError. */
  async flush (): Promise<void> {
    const batches = [...this.held.values()]
    const isDead = ({ instance }: HeldBatch): boolean => this.directory.isDead(instance)
    for (const batch of [...batches.filter(isDead), ...batches.filter(each => !isDead(each))]) await this.write(batch)
  }

  /** An origin that confirms other batches is still writing its backlog, so its batches are not taken over. */
  private isTakeoverDue ({ instance, startedAt, lastReceivedAt }: HeldBatch, now: number): boolean {
    const contact = this.contacts.get(instance)
    const isReplaced = startedAt < Math.max(contact?.startedAt ?? 0, this.directory.incarnationOf(instance) ?? 0)
    return isReplaced || this.directory.isDead(instance) || now - Math.max(lastReceivedAt, contact?.confirmedAt ?? -Infinity) >= WITNESS_TAKEOVER_MILLISECONDS
  }

  private pruneContacts (now: number): void {
    if (this.held.size > 0) return
    for (const [instance, { confirmedAt }] of this.contacts) {
      if (now - confirmedAt >= WITNESS_TAKEOVER_MILLISECONDS) this.contacts.delete(instance)
    }
  }

  private async write (batch: HeldBatch): Promise<void> {
    this.isWriting = true
    try {
      await writeBills(this.store, { ...batch, bills: decompressBills(batch) })
      this.backoff.recordSuccess()
      // Bills that arrived during the write are not stored yet.
      if (this.held.get(batchKey(batch)) === batch) this.removeBatch(batchKey(batch))
    } finally {
      this.isWriting = false
    }
  }

  private setBatch (batch: HeldBatch): void {
    const key = batchKey(batch)
    const bytes = BATCH_OVERHEAD_BYTES + batch.uncompressed.length * UNCOMPRESSED_BILL_BYTES + batch.compressed.reduce((sum, compressedBills) => sum + compressedBills.bytes, 0)
    this.memory.adjust(bytes - (this.held.get(key)?.bytes ?? 0))
    this.held.set(key, { ...batch, bytes })
  }

  private removeBatch (key: string): void {
    this.memory.adjust(-(this.held.get(key)?.bytes ?? 0))
    this.held.delete(key)
  }
}

function decompressBills ({ uncompressed, compressed }: HeldBatch): readonly Bill[] {
  return [...compressed.flatMap(each => each.decompress()), ...uncompressed]
}

function batchKey ({ origin, sequence }: BatchIdentifier): string {
  return `${origin}/${sequence}`
}
