/**
 * Registers this instance in the store and lists the registered instances.
 *
 * Each instance writes its row at its start and at regular intervals, removes it when it stops, and lists
 * all rows at intervals that grow with their number. Rows that have not been written for longer than their
 * lifetime belong to instances that ended abruptly; every instance that lists such a row removes it.
 */

import { messageOf, type Clock, type RandomSource } from '#jayfall/shared'
import { isPlatformError, listRows, type TableRow, type TableStore } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'
import * as z from 'zod'

import { FIRST_LISTING_DELAY_MILLISECONDS, INSTANCES_TABLE, LISTING_INTERVAL_MILLISECONDS, LISTING_INTERVAL_PER_INSTANCE_MILLISECONDS, REGISTRY_RETRY_PAUSE_MILLISECONDS, REGISTRATION_INTERVAL_MILLISECONDS, REGISTRATION_LIFETIME_MILLISECONDS } from './JayfallFeedConstants'
import { type FeedInstance } from './JayfallReaderSelector'

const instanceRow = z.object({
  id: z.string(),
  zone: z.string(),
  address: z.string(),
  /** Bandwidth of the link in Mbit/s; absent in rows that older versions wrote. */
  link: z.number().positive().optional(),
  /** Time of the write, in wall-clock milliseconds. */
  at: z.number()
}).readonly()

type InstanceRow = z.infer<typeof instanceRow>

export interface InstanceRegistryParts {
  readonly self: FeedInstance
  readonly store: TableStore
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  /** Called with all registered instances after each listing. */
  readonly onListing: (instances: readonly FeedInstance[]) => void
}

/** Keeps this instance's row up to date and lists all instances at intervals. */
export class InstanceRegistry {
  private timer: NodeJS.Timeout | undefined
  private isStopping = false
  /** Time of the last write of this instance's row, in monotonic milliseconds. */
  private writtenAt = -Infinity
  /** Number of instances in the last listing. */
  private instanceCount = 0

  constructor (private readonly parts: InstanceRegistryParts) {}

  async start (): Promise<void> {
    await this.runAndSchedule(FIRST_LISTING_DELAY_MILLISECONDS, () => this.writeOwnRow())
  }

  /** Removes this instance's row, so that other instances stop calling it. */
  async stop (): Promise<void> {
    this.isStopping = true
    clearTimeout(this.timer)
    try {
      await this.parts.store.transact([{ table: INSTANCES_TABLE, key: this.ownKey, value: null }])
    } catch (error) {
      this.logFailure('instance_row_not_removed', error)
    }
  }

  private get ownKey (): string {
    return `${this.parts.self.zone}/${this.parts.self.id}`
  }

  /** Runs a step and schedules the next listing after about `pause` milliseconds. */
  private async runAndSchedule (pause: number, step: () => Promise<void>): Promise<void> {
    let next = pause
    try {
      await step()
    } catch (error) {
      this.logFailure('instances_not_listed', error)
      next = REGISTRY_RETRY_PAUSE_MILLISECONDS
    }
    if (this.isStopping) return
    this.timer = setTimeout(() => this.runAndSchedule(Math.max(LISTING_INTERVAL_MILLISECONDS, this.instanceCount * LISTING_INTERVAL_PER_INSTANCE_MILLISECONDS), () => this.refresh()), next * (0.75 + this.parts.random.uniform() / 2))
    this.timer.unref()
  }

  private async refresh (): Promise<void> {
    if (this.parts.clock.monotonic() - this.writtenAt >= REGISTRATION_INTERVAL_MILLISECONDS) await this.writeOwnRow()
    await this.listInstances()
  }

  private async writeOwnRow (): Promise<void> {
    const { self, store, clock } = this.parts
    const row: InstanceRow = { ...self, at: clock.wall() }
    await store.transact([{ table: INSTANCES_TABLE, key: this.ownKey, value: row }])
    this.writtenAt = clock.monotonic()
  }

  private async listInstances (): Promise<void> {
    const { store, clock, onListing } = this.parts
    const instances: FeedInstance[] = []
    for await (const row of listRows<unknown>(store, INSTANCES_TABLE, '')) {
      const parsed = instanceRow.safeParse(row.value)
      if (!parsed.success || clock.wall() - parsed.data.at > REGISTRATION_LIFETIME_MILLISECONDS) await this.removeRow(row)
      else instances.push({ id: parsed.data.id, zone: parsed.data.zone, address: parsed.data.address, link: parsed.data.link })
    }
    this.instanceCount = instances.length
    onListing(instances)
  }

  private async removeRow ({ key, revision }: TableRow): Promise<void> {
    const { store, log } = this.parts
    try {
      await store.transact([{ table: INSTANCES_TABLE, key, value: null, ifRevision: revision }])
      log.info('instance_row_removed', { key, revision })
    } catch (error) {
      // Either another instance has removed the row, or its owner has written it again.
      if (!isPlatformError(error, 'conflict')) throw error
    }
  }

  private logFailure (event: string, error: unknown): void {
    this.parts.log.warn(event, { message: messageOf(error) })
  }
}
