/** Reads the catalogue's head, and what is new, from the store while this instance is a reader. */

import { type CatalogueChange, type CatalogueSnapshot } from '#jayfall/catalogue'
import { type CatalogueStore } from '#jayfall/store'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { backoffDelay } from './JayfallBackoff'
import { STORE_READ_MILLISECONDS } from './JayfallControlConstants'
import { type ControlNode } from './JayfallControlNode'

/** The part of the store that is read; a fake takes its place in tests. */
export type CatalogueSource = Pick<CatalogueStore, 'readHead' | 'readChanges' | 'readSnapshot'>

/** Called with changes that a read has installed. */
export type ReadListener = (changes: readonly CatalogueChange[]) => void

/** Decides when to read, and reads. */
export class StoreReader {
  private nextReadAt = -Infinity
  private failures = 0
  private isReading = false

  constructor (
    private readonly node: ControlNode,
    private readonly source: CatalogueSource,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly onInstalled: ReadListener
  ) {}

  /** Reads when this instance is a reader and a read is due. Resolves when the read has ended; never rejects. */
  async tick (): Promise<void> {
    const now = this.clock.monotonic()
    if (this.isReading || now < this.nextReadAt || !this.node.isStoreReader) return
    this.isReading = true
    // Set before the read, so that a slow read does not lower the rate of reads.
    this.nextReadAt = now + STORE_READ_MILLISECONDS
    try {
      await this.read()
      this.failures = 0
    } catch {
      this.failures++
      this.nextReadAt = this.clock.monotonic() + backoffDelay(this.failures, this.random)
    } finally {
      this.isReading = false
    }
  }

  /** Reads once. @throws PlatformError */
  async read (): Promise<void> {
    const startedAt = this.clock.monotonic()
    const head = await this.source.readHead()
    const { revision } = this.node.catalogue
    if (head > revision) await this.fetch(revision)
    this.node.confirmRead(startedAt, head)
  }

  private async fetch (revision: number): Promise<void> {
    if (revision > 0) {
      const changes = await this.source.readChanges(revision)
      this.onInstalled(this.node.installChanges(changes))
    }
    // Nothing was installed yet, or the log no longer reaches back to the installed revision.
    if (this.node.catalogue.revision === revision) this.install(await this.source.readSnapshot())
  }

  private install (snapshot: CatalogueSnapshot): void {
    this.node.installSnapshot(snapshot)
  }
}
