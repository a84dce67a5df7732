/**
 * Registers this instance in the store and follows the list of the registered instances.
 *
 * Each instance writes its row when the list lacks it, and then at long intervals. The row stays when the instance
 * stops, because it usually starts again at the same address. Rows that were not written again for longer than their
 * lifetime belong to instances that ended for good; the instance whose row is the first one in the list removes them.
 * A row that is lost because the store came back from a copy stays in the list until the next check: its instance
 * writes it again.
 * Ages are measured since this process saw a row, because the times of day of instances may differ or jump.
 */

import { delay, isSocketAddress, messageOf, type Clock, type RandomSource } from '#jayfall/shared'
import { comparePositions, isPlatformError, type TableChange, type TablePosition, type TableStore, type WatchableTableStore } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'
import * as z from 'zod'

import { FIRST_LISTING_DELAY_MILLISECONDS, INSTANCES_TABLE, LISTING_DELAY_MILLISECONDS, REGISTRATION_CHECK_INTERVAL_MILLISECONDS, REGISTRATION_INTERVAL_MILLISECONDS, REGISTRATION_LIFETIME_MILLISECONDS } from './JayfallFeedConstants'
import { type FeedInstance } from './JayfallReaderSelector'
import { followTable, type FeedReading } from './JayfallTableFeed'

const instanceRow = z.object({
  id: z.string(),
  zone: z.string(),
  address: z.string().refine(isSocketAddress),
  /** Bandwidth of the link in Mbit/s; absent in rows that older versions wrote. */
  link: z.number().positive().optional(),
  /** Time of the write, in wall-clock milliseconds; read by older versions only. */
  at: z.number()
}).readonly()

type InstanceRow = z.infer<typeof instanceRow>

interface ListedRow {
  readonly row: InstanceRow
  readonly position: TablePosition
  /** Monotonic milliseconds at which this process saw the row in this position first. */
  readonly seenAt: number
  /** Whether the row was lost when the store came back from a copy, and its instance has not written it again yet. */
  readonly isLost?: boolean
}

export interface InstanceRegistryParts {
  /** The store that rows are written to. */
  readonly store: TableStore
  /** The store whose changes are followed. */
  readonly followed: WatchableTableStore
  readonly isFirstStart: boolean
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  /** Called with all registered instances when the list was read or has changed. */
  readonly onListing: (instances: readonly FeedInstance[]) => void
}

/** Keeps this instance's row up to date and follows those of the other instances. */
export class InstanceRegistry {
  /** Resolves when the list was read for the first time. */
  readonly listed: Promise<void>
  private resolveListed!: () => void
  private hasList = false
  private isStopping = false
  private self!: FeedInstance
  private readonly rows = new Map<string, ListedRow>()
  private timer: NodeJS.Timeout | undefined
  /** Time of the last write of this instance's row, in monotonic milliseconds. */
  private writtenAt = -Infinity

  constructor (private readonly parts: InstanceRegistryParts) {
    this.listed = new Promise(resolve => { this.resolveListed = resolve })
  }

  get hasListed (): boolean {
    return this.hasList
  }

  /** Registers this instance and resolves when the list is followed. */
  async start (self: FeedInstance): Promise<void> {
    this.self = self
    const { isFirstStart, random } = this.parts
    if (isFirstStart) await this.writeOwnRow()
    await delay(isFirstStart ? FIRST_LISTING_DELAY_MILLISECONDS : random.uniform() * LISTING_DELAY_MILLISECONDS)
    this.follow().catch(error => this.logFailure('instances_not_listed', error))
    this.timer = setInterval(() => this.checkRows(), REGISTRATION_CHECK_INTERVAL_MILLISECONDS)
    this.timer.unref()
  }

  stop (): void {
    this.isStopping = true
    clearInterval(this.timer)
  }

  private get ownKey (): string {
    return `${this.self.zone}/${this.self.id}`
  }

  private async follow (): Promise<void> {
    const { followed, random } = this.parts
    for await (const event of followTable({ store: followed, table: INSTANCES_TABLE, random, isStopped: () => this.isStopping })) {
      if (event.kind === 'lost') continue
      const isFirst = !this.hasList
      this.applyReading(event)
      if (isFirst || event.isNewEra) await this.checkOwnRow()
    }
  }

  private applyReading ({ kind, rows, isNewEra }: FeedReading): void {
    const listed = new Set(rows.map(({ key }) => key))
    const missing = kind === 'snapshot' ? [...this.rows.keys()].filter(key => !listed.has(key)) : []
    for (const key of missing) this.removeRow(key, isNewEra)
    for (const change of rows) this.applyChange(change, isNewEra)
    this.hasList = true
    if (kind === 'snapshot' || rows.length > 0) this.announceListing()
    this.resolveListed()
  }

  private announceListing (): void {
    this.parts.onListing([...this.rows.values()].map(({ row: { id, zone, address, link } }) => ({ id, zone, address, link })))
  }

  private applyChange ({ key, value, position }: TableChange, isNewEra: boolean): void {
    const { data } = instanceRow.safeParse(value)
    const known = this.rows.get(key)
    if (data === undefined) this.removeRow(key, isNewEra)
    else if (known === undefined || known.isLost === true || comparePositions(known.position, position) !== 0) this.rows.set(key, { row: data, position, seenAt: this.parts.clock.monotonic() })
  }

  private removeRow (key: string, isNewEra: boolean): void {
    const known = this.rows.get(key)
    if (isNewEra && known !== undefined) this.rows.set(key, { ...known, seenAt: this.parts.clock.monotonic(), isLost: true })
    else this.rows.delete(key)
  }

  /** Renews this instance's row and removes old ones, where it is due; called at an interval. */
  async checkRows (): Promise<void> {
    this.dropLostRows()
    await this.checkOwnRow()
    const [firstKey] = [...this.rows.keys()].sort()
    if (firstKey !== this.ownKey) return
    try {
      await this.removeOldRows()
    } catch (error) {
      this.logFailure('instance_row_not_removed', error)
    }
  }

  /** Writes this instance's row when the list lacks it, or has another one, or when it is due. */
  private async checkOwnRow (): Promise<void> {
    const { zone, address, link } = this.self
    const { row, isLost = false } = this.rows.get(this.ownKey) ?? {}
    const isListed = row !== undefined && !isLost && row.zone === zone && row.address === address && row.link === link
    if (!isListed || this.parts.clock.monotonic() - this.writtenAt >= REGISTRATION_INTERVAL_MILLISECONDS) await this.writeOwnRow(isListed)
  }

  /** Forgets instances that have not written their lost rows again since the last check. */
  private dropLostRows (): void {
    const lost = [...this.rows].filter(([key, { isLost }]) => isLost === true && key !== this.ownKey)
    const dropped = lost.filter(([, { seenAt }]) => this.parts.clock.monotonic() - seenAt > REGISTRATION_CHECK_INTERVAL_MILLISECONDS)
    for (const [key] of dropped) this.rows.delete(key)
    if (dropped.length > 0) this.announceListing()
  }

  /** @param isListed whether the row is in the list already; a process that has just started need not write it again. */
  private async writeOwnRow (isListed = false): Promise<void> {
    const { store, clock } = this.parts
    const isRestart = isListed && this.writtenAt === -Infinity
    this.writtenAt = clock.monotonic()
    if (isRestart) return
    const row: InstanceRow = { ...this.self, at: clock.wall() }
    try {
      await store.transact([{ table: INSTANCES_TABLE, key: this.ownKey, value: row }])
    } catch (error) {
      // The next check writes it again.
      this.writtenAt = -Infinity
      this.logFailure('instances_not_listed', error)
    }
  }

  private async removeOldRows (): Promise<void> {
    const { store, clock, log } = this.parts
    for (const [key, { seenAt, position: { era, revision }, isLost = false }] of this.rows) {
      if (key === this.ownKey || isLost || clock.monotonic() - seenAt <= REGISTRATION_LIFETIME_MILLISECONDS) continue
      try {
        await store.transact([{ table: INSTANCES_TABLE, key, value: null, ifRevision: revision, ifEra: era }])
        log.info('instance_row_removed', { key, era, revision })
      } catch (error) {
        // Either another instance has removed the row, or its owner has written it again.
        if (!isPlatformError(error, 'conflict')) throw error
      }
    }
  }

  private logFailure (event: string, error: unknown): void {
    this.parts.log.warn(event, { message: messageOf(error) })
  }
}
