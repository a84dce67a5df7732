/**
 * The rows in the store by which instances find each other.
 *
 * Each instance writes its row at its start and from time to time, removes it when it is stopped,
 * and lists all rows at intervals that grow with their number. Rows that nobody has written for
 * long belong to instances that ended without a word; whoever finds them removes them.
 */

import { messageOf, type Clock, type RandomSource } from '#jayfall/shared'
import { isPlatformError, listRows, type TableRow, type TableStore } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'
import { z } from 'zod'

import { FIRST_LISTING_DELAY, INSTANCES_TABLE, LISTING_INTERVAL, LISTING_TIME_PER_INSTANCE, REGISTER_RETRY, REGISTRATION_INTERVAL, REGISTRATION_LIFETIME } from './JayfallFeedConstants'
import { type FeedInstance } from './JayfallReaderChoice'

const instanceRow = z.object({
  id: z.string(),
  zone: z.string(),
  address: z.string(),
  /** Mbit/s; rows of older versions have none. */
  link: z.number().positive().optional(),
  /** Wall-clock milliseconds of the write. */
  at: z.number()
}).readonly()

type InstanceRow = z.infer<typeof instanceRow>

export interface InstanceRegisterParts {
  readonly self: FeedInstance
  readonly store: TableStore
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  /** Called with all instances after each listing. */
  readonly onListing: (instances: readonly FeedInstance[]) => void
}

export class InstanceRegister {
  private timer: NodeJS.Timeout | undefined
  private isStopping = false
  /** Monotonic milliseconds of the last write of the own row. */
  private writtenAt = -Infinity
  private listed = 0

  constructor (private readonly parts: InstanceRegisterParts) {}

  async start (): Promise<void> {
    await this.run(FIRST_LISTING_DELAY, () => this.write())
  }

  /** Removes the own row, so that others stop asking this instance. */
  async stop (): Promise<void> {
    this.isStopping = true
    clearTimeout(this.timer)
    try {
      await this.parts.store.transact([{ table: INSTANCES_TABLE, key: this.ownKey, value: null }])
    } catch (error) {
      this.warn('instance_row_not_removed', error)
    }
  }

  private get ownKey (): string {
    return `${this.parts.self.zone}/${this.parts.self.id}`
  }

  /** Runs a step, and the next listing after `pause` milliseconds. */
  private async run (pause: number, step: () => Promise<void>): Promise<void> {
    let next = pause
    try {
      await step()
    } catch (error) {
      this.warn('instances_not_listed', error)
      next = REGISTER_RETRY
    }
    if (this.isStopping) return
    this.timer = setTimeout(() => this.run(Math.max(LISTING_INTERVAL, this.listed * LISTING_TIME_PER_INSTANCE), () => this.renew()), next * (0.75 + this.parts.random.uniform() / 2))
    this.timer.unref()
  }

  private async renew (): Promise<void> {
    if (this.parts.clock.monotonic() - this.writtenAt >= REGISTRATION_INTERVAL) await this.write()
    await this.list()
  }

  private async write (): Promise<void> {
    const { self, store, clock } = this.parts
    const row: InstanceRow = { ...self, at: clock.wall() }
    await store.transact([{ table: INSTANCES_TABLE, key: this.ownKey, value: row }])
    this.writtenAt = clock.monotonic()
  }

  private async list (): Promise<void> {
    const { store, clock, onListing } = this.parts
    const instances: FeedInstance[] = []
    for await (const row of listRows<unknown>(store, INSTANCES_TABLE, '')) {
      const parsed = instanceRow.safeParse(row.value)
      if (!parsed.success || clock.wall() - parsed.data.at > REGISTRATION_LIFETIME) await this.remove(row)
      else instances.push({ id: parsed.data.id, zone: parsed.data.zone, address: parsed.data.address, link: parsed.data.link })
    }
    this.listed = instances.length
    onListing(instances)
  }

  private async remove ({ key, revision }: TableRow): Promise<void> {
    const { store, log } = this.parts
    try {
      await store.transact([{ table: INSTANCES_TABLE, key, value: null, ifRevision: revision }])
      log.info('instance_row_removed', { key, revision })
    } catch (error) {
      // Another instance removed it, or its instance has written it again.
      if (!isPlatformError(error, 'conflict')) throw error
    }
  }

  private warn (event: string, error: unknown): void {
    this.parts.log.warn(event, { message: messageOf(error) })
  }
}
