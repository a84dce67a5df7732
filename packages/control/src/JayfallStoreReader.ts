/** Reads the catalogue revision and newer changes from the store while the instance has the reader role. */

import { type CatalogueChange, type CatalogueSnapshot } from '#jayfall/catalogue'
import { type CatalogueStore } from '#jayfall/store'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { backoffDelay } from './JayfallBackoff'
import { STORE_READ_INTERVAL_MILLISECONDS } from './JayfallControlConstants'
import { type ControlNode } from './JayfallControlNode'

/** The read operations of the catalogue store. Tests replace them. */
export type CatalogueSource = Pick<CatalogueStore, 'readHead' | 'readChanges' | 'readSnapshot'>

/** Called with the changes that a read has installed. */
export type ReadListener = (changes: readonly CatalogueChange[]) => void

/** Schedules and performs reads of the store. */
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

  /** Reads the store when this instance has the reader role and a read is due. Resolves when the read has ended; never rejects. */
  async tick (): Promise<void> {
    const now = this.clock.monotonic()
    if (this.isReading || now < this.nextReadAt || !this.node.isStoreReader) return
    this.isReading = true
    // The time is set before the read, so that slow reads do not lower the rate of reads.
    this.nextReadAt = now + STORE_READ_INTERVAL_MILLISECONDS
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

  /**
   * Reads the store once and installs newer changes.
   * @throws PlatformError
   */
  async read (): Promise<void> {
    const startedAt = this.clock.monotonic()
    const head = await this.source.readHead()
    const { revision } = this.node.catalogue
    if (head > revision) await this.installNewer(revision)
    this.node.confirmRead(startedAt, head)
  }

  private async installNewer (revision: number): Promise<void> {
    if (revision > 0) {
      const changes = await this.source.readChanges(revision)
      this.onInstalled(this.node.installChanges(changes))
    }
    // Either no catalogue was installed yet, or the change log no longer contains the changes after the installed revision.
    if (this.node.catalogue.revision === revision) this.installSnapshot(await this.source.readSnapshot())
  }

  private installSnapshot (snapshot: CatalogueSnapshot): void {
    this.node.installSnapshot(snapshot)
  }
}
