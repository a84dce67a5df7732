/** What the control thread does on behalf of all instances while it holds a lease, and the ratings that its data threads need. */

import { randomUUID } from 'node:crypto'

import { type ReadonlyCatalogue } from '#jayfall/catalogue'
import { RecoveryRight } from '#jayfall/ledger'
import { DEFAULT_LEASE_TERM_MILLISECONDS, Lease, PlatformServices, type CatalogueStore, type PlatformHttp, type TableStore } from '#jayfall/store'
import { type QualitySnapshot } from '#jayfall/rollout'
import { type Clock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { BackendClient } from './JayfallBackendClient'
import { EarliestLeavingPolicy } from './JayfallLeavingPolicy'
import { OrderRunner } from './JayfallOrderRunner'
import { readCascadeQuality, RolloutRunner } from './JayfallRolloutRunner'

const DUTY_INTERVAL_MILLISECONDS = DEFAULT_LEASE_TERM_MILLISECONDS / 3
/** Ratings are minutes late, so that reading them often gains nothing. */
const QUALITY_INTERVAL_MILLISECONDS = 30_000

export interface ControlDutiesParts {
  readonly instanceId: string
  readonly localAddress: string
  readonly http: PlatformHttp
  readonly tables: TableStore
  readonly catalogueStore: CatalogueStore
  readonly catalogue: ReadonlyCatalogue
  readonly clock: Clock
  readonly log: Log
  /** Whether this instance may take leases; each candidate reads every lease row each third of a term. */
  isCandidate (): boolean
  /** Receives the ratings of all cascades, by cascade. */
  onQuality (quality: Readonly<Record<string, QualitySnapshot>>): void
}

/** Recovers calls while a lease is held. */
class LeasedRecoveryRight extends RecoveryRight {
  constructor (private readonly lease: Lease) {
    super()
  }

  override isHeld (): boolean {
    return this.lease.remaining > 0
  }
}

/** The duties of one instance. */
export class ControlDuties {
  private readonly services: PlatformServices
  private readonly backend: BackendClient
  private readonly leases: readonly [rollout: Lease, orders: Lease, recovery: Lease]
  private readonly rollouts: RolloutRunner
  private readonly orders: OrderRunner
  private timers: readonly NodeJS.Timeout[] = []
  private readonly busy = new Set<string>()
  private qualityReadAt = -Infinity

  constructor (private readonly parts: ControlDutiesParts) {
    const { instanceId, localAddress, http, tables, clock } = parts
    // A restarted instance is another holder, as the earlier process may still have orders on their way.
    const holder = `${instanceId}/${randomUUID()}`
    const rollout = new Lease(tables, clock, { name: 'rollout', holder })
    const orders = new Lease(tables, clock, { name: 'orders', holder })
    const recovery = new Lease(tables, clock, { name: 'recovery', holder })
    this.leases = [rollout, orders, recovery]
    this.services = new PlatformServices(http)
    this.backend = new BackendClient(clock, { onLoad: () => {}, onLeaving: () => {} }, new EarliestLeavingPolicy(), localAddress)
    this.rollouts = new RolloutRunner({ ...parts, lease: rollout, services: this.services, writer: `rollout by ${instanceId}` })
    this.orders = new OrderRunner({ ...parts, lease: orders, services: this.services, backend: this.backend })
  }

  start (): void {
    this.timers = [
      this.everyUnderLease('rollouts', this.leases[0], () => this.rollouts.run()),
      this.everyUnderLease('orders', this.leases[1], () => this.orders.run()),
      this.everyUnderLease('recovery', this.leases[2], async () => { await this.leases[2].maintain() }),
      this.every('quality', DUTY_INTERVAL_MILLISECONDS, () => this.readQuality())
    ]
  }

  /** Whether this instance recovers calls whose owners have died. */
  get recoveryRight (): RecoveryRight {
    return new LeasedRecoveryRight(this.leases[2])
  }

  /** Offers an answer for rating; one that fails is not offered again. */
  async offerRating ({ offeredId, version }: { readonly offeredId: string, readonly version: string }): Promise<void> {
    await this.services.requestRating(offeredId, version)
  }

  /** Gives up the leases, so that others go on at once. */
  async stop (): Promise<void> {
    for (const timer of this.timers) clearInterval(timer)
    this.backend.close()
    await Promise.all(this.leases.map(lease => lease.release().catch((error: Error) => this.parts.log.warn('lease_not_released', { message: error.message }))))
  }

  /** Runs `work`, which maintains the lease, each third of its term while this instance is a candidate or holds it. */
  private everyUnderLease (name: string, lease: Lease, work: () => Promise<void>): NodeJS.Timeout {
    return this.every(name, DUTY_INTERVAL_MILLISECONDS, async () => {
      if (lease.remaining > 0 || this.parts.isCandidate()) await work()
    })
  }

  private every (name: string, interval: number, work: () => Promise<void>): NodeJS.Timeout {
    const run = (): void => {
      if (this.busy.has(name)) return
      this.busy.add(name)
      work()
        .catch((error: Error) => this.parts.log.warn('duty_failed', { duty: name, message: error.message }))
        .finally(() => this.busy.delete(name))
    }
    run()
    return setInterval(run, interval)
  }

  private async readQuality (): Promise<void> {
    const now = this.parts.clock.monotonic()
    if (this.parts.catalogue.all('cascade').length === 0 || now - this.qualityReadAt < QUALITY_INTERVAL_MILLISECONDS) return
    const quality: Record<string, QualitySnapshot> = {}
    for (const [cascade, row] of await readCascadeQuality(this.parts.tables)) if (row.kind === 'quality') quality[cascade] = row.ratings
    this.parts.onQuality(quality)
    this.qualityReadAt = now
  }
}
