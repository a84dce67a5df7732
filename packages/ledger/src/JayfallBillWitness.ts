/**
 * Copies of other instances' bills, kept until their origin has stored them.
 *
 * The witness writes a batch itself when the origin is dead or says nothing for long.
 * Writing is safe at any moment (see `writeBills`), so a wrong suspicion costs two store calls and no more.
 */

import { type ObjectStore } from '#jayfall/store'
import { type PeerDirectory } from '#jayfall/peers'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { Backoff } from './JayfallBackoff'
import { type Bill } from './JayfallBill'
import { type BillMemory } from './JayfallBillMemory'
import { writeBills, type BatchName } from './JayfallBillObjects'
import { BACKLOG_WRITE_INTERVAL_MILLISECONDS, BATCH_OVERHEAD_BYTES, OPEN_BILL_BYTES, WITNESS_PATIENCE_MILLISECONDS, WITNESS_SEAL_AGE_MILLISECONDS } from './JayfallLedgerConstants'
import { LedgerError } from './JayfallLedgerError'
import { SealedBills } from './JayfallSealedBills'

/** Bills of one batch that an origin sends to a witness. */
export interface ReplicatedBills extends BatchName {
  readonly instance: string
  /** Wall-clock milliseconds of the origin's start; a later start shows that the earlier process has ended. */
  readonly startedAt: number
  readonly bills: readonly Bill[]
}

interface HeldBatch extends BatchName {
  readonly instance: string
  readonly startedAt: number
  readonly openedAt: number
  readonly open: readonly Bill[]
  readonly sealed: readonly SealedBills[]
  /** Monotonic milliseconds of the last bills. */
  readonly lastAt: number
  readonly bytes: number
}

/** What an origin says when it has stored a batch. */
export interface StoredBatch extends BatchName {
  readonly instance: string
  /** All batches with a lower sequence are stored too, which makes up for confirmations that were lost. */
  readonly storedBelow: number
}

interface OriginContact {
  readonly startedAt: number
  /** Monotonic milliseconds of the last confirmation. */
  readonly confirmedAt: number
}

/** Holds copies for other instances. */
export class BillWitness {
  private readonly held = new Map<string, HeldBatch>()
  private readonly contacts = new Map<string, OriginContact>()
  private readonly backoff: Backoff
  private writing = false
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

  /** Takes copies. @throws LedgerError `backlog_full`; the origin then asks another witness. */
  replicate ({ instance, startedAt, origin, sequence, bills }: ReplicatedBills): void {
    if (this.memory.isFull) throw new LedgerError('backlog_full', 'no memory is left for copies of bills')
    const contact = this.contacts.get(instance)
    if (contact === undefined || startedAt > contact.startedAt) this.contacts.set(instance, { startedAt, confirmedAt: -Infinity })
    const batch = this.held.get(batchKey({ origin, sequence })) ??
      { instance, startedAt, origin, sequence, openedAt: this.clock.wall(), open: [], sealed: [], lastAt: 0, bytes: 0 }
    this.replace({ ...batch, open: [...batch.open, ...bills], lastAt: this.clock.monotonic() })
  }

  /** Drops the copies of batches that are stored. */
  confirm ({ instance, origin, sequence, storedBelow }: StoredBatch): void {
    const contact = this.contacts.get(instance)
    if (contact !== undefined) this.contacts.set(instance, { ...contact, confirmedAt: this.clock.monotonic() })
    for (const [key, batch] of this.held) {
      if (batch.origin === origin && (batch.sequence === sequence || batch.sequence < storedBelow)) this.drop(key)
    }
  }

  /** Compresses quiet batches and writes those of silent origins. */
  async tick (): Promise<void> {
    const now = this.clock.monotonic()
    for (const batch of this.held.values()) {
      if (batch.open.length > 0 && now - batch.lastAt >= WITNESS_SEAL_AGE_MILLISECONDS) this.replace({ ...batch, open: [], sealed: [...batch.sealed, new SealedBills(batch.open)] })
    }
    this.forgetContacts(now)
    if (this.writing || now < this.nextWriteAt || !this.backoff.isDue) return
    const due = [...this.held.values()].find(batch => this.isDue(batch, now))
    if (due === undefined) return
    this.nextWriteAt = now + BACKLOG_WRITE_INTERVAL_MILLISECONDS
    await this.write(due).catch(() => this.backoff.fail())
  }

  /** Writes everything that is held, at a planned stop. @throws PlatformError. */
  async flush (): Promise<void> {
    const batches = [...this.held.values()]
    const isDead = ({ instance }: HeldBatch): boolean => this.directory.isDead(instance)
    for (const batch of [...batches.filter(isDead), ...batches.filter(each => !isDead(each))]) await this.write(batch)
  }

  /** An origin that confirms other batches is working through its backlog, and needs no help. */
  private isDue ({ instance, startedAt, lastAt }: HeldBatch, now: number): boolean {
    const contact = this.contacts.get(instance)
    const isReplaced = startedAt < Math.max(contact?.startedAt ?? 0, this.directory.incarnationOf(instance) ?? 0)
    return isReplaced || this.directory.isDead(instance) || now - Math.max(lastAt, contact?.confirmedAt ?? -Infinity) >= WITNESS_PATIENCE_MILLISECONDS
  }

  private forgetContacts (now: number): void {
    if (this.held.size > 0) return
    for (const [instance, { confirmedAt }] of this.contacts) {
      if (now - confirmedAt >= WITNESS_PATIENCE_MILLISECONDS) this.contacts.delete(instance)
    }
  }

  private async write (batch: HeldBatch): Promise<void> {
    this.writing = true
    try {
      await writeBills(this.store, { ...batch, bills: readBills(batch) })
      this.backoff.succeed()
      // Bills that came during the write are not stored yet.
      if (this.held.get(batchKey(batch)) === batch) this.drop(batchKey(batch))
    } finally {
      this.writing = false
    }
  }

  private replace (batch: HeldBatch): void {
    const key = batchKey(batch)
    const bytes = BATCH_OVERHEAD_BYTES + batch.open.length * OPEN_BILL_BYTES + batch.sealed.reduce((sum, sealed) => sum + sealed.bytes, 0)
    this.memory.change(bytes - (this.held.get(key)?.bytes ?? 0))
    this.held.set(key, { ...batch, bytes })
  }

  private drop (key: string): void {
    this.memory.change(-(this.held.get(key)?.bytes ?? 0))
    this.held.delete(key)
  }
}

function readBills ({ open, sealed }: HeldBatch): readonly Bill[] {
  return [...sealed.flatMap(each => each.read()), ...open]
}

function batchKey ({ origin, sequence }: BatchName): string {
  return `${origin}/${sequence}`
}
