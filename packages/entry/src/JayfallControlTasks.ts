/**
 * Periodic tasks of the control thread. Rollouts, orders to engines and the recovery of calls are done on behalf of all
 * instances by the holder of a lease; each instance reads the ratings for its own data threads.
 */

import { randomUUID } from 'node:crypto'

import { type ReadonlyCatalogue } from '#jayfall/catalogue'
import { RecoveryRight } from '#jayfall/ledger'
import { DEFAULT_LEASE_TERM_MILLISECONDS, Lease, PlatformServices, type CatalogueStore, type PlatformHttp, type TableStore } from '#jayfall/store'
import { type QualitySnapshot } from '#jayfall/rollout'
import { type Clock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { BackendClient } from './JayfallBackendClient'
import { AnySourceLeavingPolicy } from './JayfallLeavingPolicy'
import { EngineReconciler } from './JayfallEngineReconciler'
import { readCascadeQuality, RolloutController } from './JayfallRolloutController'

/** Interval of all tasks, so that a lease is renewed once in each third of its term. */
const TASK_INTERVAL_MILLISECONDS = DEFAULT_LEASE_TERM_MILLISECONDS / 3
/** Ratings arrive minutes after the responses, so reading them more often has no benefit. */
const QUALITY_READ_INTERVAL_MILLISECONDS = 30_000

/** What the tasks depend on. */
export interface ControlTasksDependencies {
  readonly instanceId: string
  readonly localAddress: string
  readonly http: PlatformHttp
  readonly tables: TableStore
  readonly catalogueStore: CatalogueStore
  readonly catalogue: ReadonlyCatalogue
  readonly clock: Clock
  readonly log: Log
  /** Whether this instance may acquire leases. Each candidate reads every lease row once in each third of a term. */
  isLeaseCandidate (): boolean
  /** Receives the ratings of all cascades, by cascade identifier. */
  onQuality (quality: Readonly<Record<string, QualitySnapshot>>): void
}

/** Grants the right to recover calls while a lease is held. */
class LeasedRecoveryRight extends RecoveryRight {
  constructor (private readonly lease: Lease) {
    super()
  }

  override isHeld (): boolean {
    return this.lease.remaining > 0
  }
}

/** Runs the periodic tasks of one instance. */
export class ControlTasks {
  private readonly services: PlatformServices
  private readonly backend: BackendClient
  private readonly leases: readonly [rollout: Lease, orders: Lease, recovery: Lease]
  private readonly rollouts: RolloutController
  private readonly orders: EngineReconciler
  private timers: readonly NodeJS.Timeout[] = []
  private readonly runningTasks = new Set<string>()
  private qualityReadAt = -Infinity

  constructor (private readonly dependencies: ControlTasksDependencies) {
    const { instanceId, localAddress, http, tables, clock } = dependencies
    // A restarted instance is a different holder, because orders of the previous process may still be in flight.
    const holder = `${instanceId}/${randomUUID()}`
    const rollout = new Lease(tables, clock, { name: 'rollout', holder })
    const orders = new Lease(tables, clock, { name: 'orders', holder })
    const recovery = new Lease(tables, clock, { name: 'recovery', holder })
    this.leases = [rollout, orders, recovery]
    this.services = new PlatformServices(http)
    this.backend = new BackendClient(clock, { onLoad: () => {}, onLeaving: () => {} }, new AnySourceLeavingPolicy(), localAddress)
    this.rollouts = new RolloutController({ ...dependencies, lease: rollout, services: this.services, writer: `rollout by ${instanceId}` })
    this.orders = new EngineReconciler({ ...dependencies, lease: orders, services: this.services, backend: this.backend })
  }

  start (): void {
    this.timers = [
      this.scheduleUnderLease('rollouts', this.leases[0], () => this.rollouts.run()),
      this.scheduleUnderLease('orders', this.leases[1], () => this.orders.run()),
      this.scheduleUnderLease('recovery', this.leases[2], async () => { await this.leases[2].maintain() }),
      this.schedule('quality', TASK_INTERVAL_MILLISECONDS, () => this.readQuality())
    ]
  }

  /** The right of this instance to recover calls whose owners have died. */
  get recoveryRight (): RecoveryRight {
    return new LeasedRecoveryRight(this.leases[2])
  }

  /** Offers a response for rating; a failed offer is not repeated. */
  async offerRating ({ offeredId, version }: { readonly offeredId: string, readonly version: string }): Promise<void> {
    await this.services.requestRating(offeredId, version)
  }

  /** Stops the tasks and releases the leases, so that other instances can acquire them immediately. */
  async stop (): Promise<void> {
    for (const timer of this.timers) clearInterval(timer)
    this.backend.close()
    await Promise.all(this.leases.map(lease => lease.release().catch((error: Error) => this.dependencies.log.warn('lease_not_released', { message: error.message }))))
  }

  /** Runs `task`, which renews the lease, once in each third of the term while this instance holds the lease or may acquire it. */
  private scheduleUnderLease (name: string, lease: Lease, task: () => Promise<void>): NodeJS.Timeout {
    return this.schedule(name, TASK_INTERVAL_MILLISECONDS, async () => {
      if (lease.remaining > 0 || this.dependencies.isLeaseCandidate()) await task()
    })
  }

  /** Runs `task` now and at each interval (in milliseconds), unless its previous run has not ended. */
  private schedule (name: string, interval: number, task: () => Promise<void>): NodeJS.Timeout {
    const run = (): void => {
      if (this.runningTasks.has(name)) return
      this.runningTasks.add(name)
      task()
        .catch((error: Error) => this.dependencies.log.warn('duty_failed', { duty: name, message: error.message }))
        .finally(() => this.runningTasks.delete(name))
    }
    run()
    return setInterval(run, interval)
  }

  private async readQuality (): Promise<void> {
    const now = this.dependencies.clock.monotonic()
    if (this.dependencies.catalogue.all('cascade').length === 0 || now - this.qualityReadAt < QUALITY_READ_INTERVAL_MILLISECONDS) return
    const quality: Record<string, QualitySnapshot> = {}
    for (const [cascade, row] of await readCascadeQuality(this.dependencies.tables)) if (row.kind === 'quality') quality[cascade] = row.ratings
    this.dependencies.onQuality(quality)
    this.qualityReadAt = now
  }
}
