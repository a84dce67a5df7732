/**
 * Carries out rollouts. Every instance runs this code in the same way.
 *
 * There is no leader. Each step is a transaction that writes the rollout's row conditionally, together with
 * the status that operators read. So exactly one instance makes the step, and the loss of an instance stops
 * nothing. The steps are the start, the completion and the rollback; everything between them follows from
 * the start time.
 */

import { messageOf, type Clock, type RandomSource } from '#jayfall/shared'
import { isAfter, isPlatformError, type TableChange, type TablePosition, type WatchableTableStore } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { type BackendDirectory } from './JayfallBackendDirectory'
import { type DeploymentSource } from './JayfallDeploymentSource'
import { type RolloutOrder } from './JayfallForwardingCatalogue'
import { KnownRollouts } from './JayfallKnownRollouts'
import { EVIDENCE_INTERVAL_MILLISECONDS, EXPECTED_STEP_ATTEMPTS, EVIDENCE_LIFETIME_MILLISECONDS } from './JayfallForwardingConstants'
import { type RolloutEvidence } from './JayfallRolloutEvidence'
import { mayComplete, mayMoveSessions, mustComplete, type Rollout, type RolloutOutcome } from './JayfallRolloutSchedule'
import { EVIDENCE_TABLE, ROLLOUTS_TABLE, readEvidenceRow, readRolloutRow, type EvidenceRow, type RolloutRow } from './JayfallRolloutRows'
import { StepContention } from './JayfallStepContention'
import { type VersionPolicy } from './JayfallVersionPolicy'
import { isBadVersion, sumVersionCounts, type VersionCounts } from './JayfallVersionVerdict'

/** Queries the load of a backend server. */
export abstract class LoadProbe {
  /** Returns the number of requests that run or wait at the server; undefined when it does not answer. */
  abstract queryLoad (address: string, service: string): Promise<number | undefined>
}

export interface RolloutCoordinatorDependencies {
  readonly instance: string
  readonly store: Pick<WatchableTableStore, 'transact' | 'read' | 'era'>
  readonly source: DeploymentSource
  readonly loadProbe: LoadProbe
  readonly directory: BackendDirectory
  readonly versionPolicy: VersionPolicy
  readonly evidence: RolloutEvidence
  readonly clock: Clock
  readonly random: RandomSource
  /** The number of instances of the deployment that are known. */
  readonly instanceCount: () => number
  readonly log: Log
  /** The store's clock, in milliseconds, as estimated by this instance. */
  readonly storeTime: () => number
}

interface VersionedRolloutRow {
  readonly row: RolloutRow
  readonly position: TablePosition
}

interface PublishedCounts {
  readonly bad: number
  readonly outcomes: number
  readonly publishedAt: number
}

export class RolloutCoordinator {
  private readonly known = new KnownRollouts()
  /** The rows that the store holds, as far as this instance knows. */
  private readonly rowsByService = new Map<string, VersionedRolloutRow>()
  /** The latest era of the store in which orders were read, and that in which the rows of rollouts were. */
  private orderEra = 0
  private rowEra = 0
  /** Evidence of other instances by row key. */
  private readonly peerEvidence = new Map<string, EvidenceRow>()
  private readonly publishedCounts = new Map<string, PublishedCounts>()
  /** Services whose new version this instance has judged to be bad. */
  private readonly badServices = new Set<string>()
  private isRunning = false
  private hasReadRolloutRows = false

  private readonly contention: StepContention

  constructor (private readonly dependencies: RolloutCoordinatorDependencies) {
    this.contention = new StepContention(dependencies.instanceCount, dependencies.random)
  }

  /** Whether a rollout is in progress, or the store may have lost how it ended, so that its tables must be followed. */
  get isActive (): boolean {
    const { orders } = this.known
    if (orders.length > 0 && this.rowEra < this.orderEra) return true
    return orders.some(order => !this.isStored(order) || this.known.reachedOf(order)?.outcome === 'running')
  }

  /** Whether sessions may already move to the new version in a running rollout. */
  get isMovingSessions (): boolean {
    const storeTime = this.dependencies.storeTime()
    return this.known.orders.some(order => {
      const row = this.known.reachedOf(order)
      return row?.outcome === 'running' && mayMoveSessions(toRollout(order, row), storeTime)
    })
  }

  /** Whether the state of the rollouts is known, or there is none. */
  get hasRolloutState (): boolean {
    return this.hasReadRolloutRows || this.known.orders.length === 0
  }

  /** @param era the era of the store in which the orders were read. */
  applyOrders (orders: Iterable<RolloutOrder>, era: number): void {
    const { log } = this.dependencies
    const { ordered, writtenAgain } = this.known.setOrders(orders)
    for (const { service, version, period, position } of ordered) {
      this.dependencies.evidence.forService(service).reset()
      this.publishedCounts.delete(service)
      this.badServices.delete(service)
      log.info('rollout_ordered', { service, version, period_ms: period, ...position })
    }
    for (const order of writtenAgain) log.info('rollout_order_written_again', { service: order.service, version: order.version, ...order.position, reached: this.known.reachedOf(order)?.outcome })
    if (this.orderEra === 0) this.rowEra = era
    else if (era > this.orderEra) this.publishAgain()
    this.orderEra = Math.max(this.orderEra, era)
    // The row may have been read before the order.
    for (const [service, { row }] of this.rowsByService) this.known.record(service, row)
    this.updateVersionPolicy()
  }

  /**
   * Applies the rollout rows that the instances agreed on. A row that is missing in a new era is written again.
   * @param era the era of the store in which they were read.
   */
  applyRolloutRows (rows: readonly TableChange[], era: number): void {
    this.hasReadRolloutRows = true
    this.rowEra = Math.max(this.rowEra, era)
    for (const { key, value, position } of rows) {
      const row = readRolloutRow(value)
      if (row === undefined) this.rowsByService.delete(key)
      else this.storeRow(key, row, position)
    }
    this.updateVersionPolicy()
  }

  /** @param isNewEra whether rows may be missing only because the store came back from a copy; they still count until they are too old. */
  applyEvidenceRows (rows: readonly TableChange[], isNewEra = false): void {
    for (const { key, value } of rows) {
      const row = readEvidenceRow(value)
      if (row === undefined && isNewEra) continue
      if (row === undefined) this.peerEvidence.delete(key)
      else if (row.instance !== this.dependencies.instance) this.peerEvidence.set(key, row)
    }
  }

  /** Judges the new versions and makes the steps that are due; called at an interval. */
  async run (): Promise<void> {
    this.suspendBadVersions()
    if (this.isRunning) return
    this.isRunning = true
    try {
      for (const order of this.known.orders) await this.advanceRollout(order)
    } catch (error) {
      // A loss of the store is reported by the table feeds, and the step is due again at the next interval.
      this.dependencies.log.warn('rollout_step_failed', { message: messageOf(error) })
    } finally {
      this.isRunning = false
    }
  }

  /** Keeps new work away from versions that the evidence shows to be bad. Needs no store, because the store may not answer this instance for a while. */
  private suspendBadVersions (): void {
    for (const order of this.known.orders) {
      if (this.known.reachedOf(order)?.outcome !== 'running' || !isBadVersion(this.sumRecentEvidence(order))) continue
      this.badServices.add(order.service)
      this.dependencies.versionPolicy.suspend(order.service, order.version)
    }
  }

  private async advanceRollout (order: RolloutOrder): Promise<void> {
    // In a new era, the rows that the store holds have to be read first.
    if (this.rowEra < this.orderEra) return
    const row = this.known.reachedOf(order)
    if (row === undefined) return this.transition(order, 'running', 'ordered')
    if (!this.isStored(order)) return this.transition(order, row.outcome, 'written again after the store came back from a copy')
    if (row.outcome !== 'running') return
    const rollout = toRollout(order, row)
    const counts = this.sumRecentEvidence(order)
    // A verdict outlasts its counts, which grow old while the version gets no requests and the store does not answer.
    if (this.badServices.has(order.service)) return this.transition(order, 'rolled_back', JSON.stringify(counts))
    await this.publishEvidence(order)
    const storeTime = this.dependencies.storeTime()
    if (mustComplete(rollout, storeTime)) return this.transition(order, 'complete', 'deadline')
    if (mayComplete(rollout, storeTime) && this.dependencies.random.chance(EXPECTED_STEP_ATTEMPTS / this.dependencies.instanceCount()) && await this.isOldVersionIdle(order)) return this.transition(order, 'complete', 'old servers are idle')
  }

  private async transition (order: RolloutOrder, outcome: RolloutOutcome, reason: string): Promise<void> {
    const { service, position: { revision: orderRevision } } = order
    const step = `${service}/${orderRevision}/${outcome}`
    if (!this.contention.isChosen(step)) return
    const existing = this.known.reachedOf(order)
    // The row may have arrived while the conditions for this step were checked.
    if (existing !== undefined && existing.outcome !== 'running' && (existing.outcome !== outcome || this.isStored(order))) return
    const row: RolloutRow = {
      version: order.version,
      orderRevision,
      startedAt: existing?.startedAt ?? this.dependencies.storeTime(),
      outcome
    }
    const { era, revision: knownRevision } = this.rowsByService.get(service)?.position ?? { era: undefined, revision: 0 }
    const writes = [{ table: ROLLOUTS_TABLE, key: service, value: row, ifRevision: knownRevision, ifEra: era }, this.dependencies.source.createStatusWrite(order, outcome)]
    try {
      const [revision] = await this.dependencies.store.transact(writes)
      this.dependencies.log.info('rollout_step', { service, version: order.version, outcome, reason })
      this.storeRow(service, row, { era: this.dependencies.store.era, revision })
      this.contention.forget(step)
      this.updateVersionPolicy()
    } catch (error) {
      if (!isPlatformError(error, 'conflict', 'outcome_unknown')) throw error
      // Another instance made a step, or the reply to this one was lost. The row shows which.
      await this.rereadRow(service)
    }
  }

  private async rereadRow (service: string): Promise<void> {
    const found = await this.dependencies.store.read(ROLLOUTS_TABLE, service)
    const row = readRolloutRow(found?.value)
    if (found !== undefined && row !== undefined) this.storeRow(service, row, { era: this.dependencies.store.era, revision: found.revision })
    this.updateVersionPolicy()
  }

  private storeRow (service: string, row: RolloutRow, position: TablePosition): void {
    const known = this.rowsByService.get(service)
    if (known !== undefined && !isAfter(position, known.position)) return
    this.rowsByService.set(service, { row, position })
    this.known.record(service, row)
    this.dependencies.log.info('rollout_known', { service, version: row.version, outcome: row.outcome, ...position })
  }

  /** Publishes this instance's outcome counts: new failures at the next interval, other outcomes at a longer one. */
  private async publishEvidence ({ service, version, position: { revision } }: RolloutOrder): Promise<void> {
    const { evidence, clock, instance } = this.dependencies
    const now = clock.monotonic()
    const { outcomes: counts, speeds } = evidence.forService(service).recentCounts(now)
    const { newBadCount, newOutcomeCount } = evidence.forService(service)
    const lastPublished = this.publishedCounts.get(service) ?? { bad: 0, outcomes: 0, publishedAt: now }
    const isDue = newBadCount > lastPublished.bad || (newOutcomeCount > lastPublished.outcomes && now - lastPublished.publishedAt >= EVIDENCE_INTERVAL_MILLISECONDS)
    if (!isDue) {
      this.publishedCounts.set(service, lastPublished)
      return
    }
    const row: EvidenceRow = { instance, orderRevision: revision, version, at: this.dependencies.storeTime(), counts, speeds }
    await this.dependencies.store.transact([{ table: EVIDENCE_TABLE, key: `${service}/${instance}`, value: row }])
    this.publishedCounts.set(service, { bad: newBadCount, outcomes: newOutcomeCount, publishedAt: now })
  }

  /** Lets this instance publish its counts again, those without new failures spread over an interval, because the store may have lost them. */
  private publishAgain (): void {
    const { clock, random } = this.dependencies
    for (const service of this.publishedCounts.keys()) this.publishedCounts.set(service, { bad: 0, outcomes: 0, publishedAt: clock.monotonic() - random.uniform() * EVIDENCE_INTERVAL_MILLISECONDS })
  }

  private sumRecentEvidence (order: RolloutOrder): VersionCounts {
    const { evidence, clock, storeTime } = this.dependencies
    const { service } = order
    const isCurrent = (row: EvidenceRow): boolean => this.known.isEvidenceFor(order, row) && storeTime() - row.at < EVIDENCE_LIFETIME_MILLISECONDS
    const peerCounts = [...this.peerEvidence].filter(([key, row]) => key.startsWith(`${service}/`) && isCurrent(row)).map(([, { counts, speeds }]) => ({ outcomes: counts, speeds }))
    return sumVersionCounts([evidence.forService(service).recentCounts(clock.monotonic()), ...peerCounts])
  }

  /** Whether no server of an old version has work left. */
  private async isOldVersionIdle ({ service, version }: RolloutOrder): Promise<boolean> {
    const rows = [...this.dependencies.directory.rowsOfService(service)]
    const oldRows = rows.filter(({ server }) => server.version !== version)
    if (!rows.some(({ server }) => server.version === version && !server.isDraining)) return false
    if (oldRows.some(({ openRequests }) => openRequests > 0)) return false
    for (const { server } of oldRows) {
      // A server that does not answer has no work to wait for.
      if ((await this.dependencies.loadProbe.queryLoad(server.address, service) ?? 0) > 0) return false
    }
    return true
  }

  private isStored (order: RolloutOrder): boolean {
    return this.known.isStored(order, this.rowsByService.get(order.service)?.row)
  }

  private updateVersionPolicy (): void {
    const rollouts = new Map<string, Rollout>()
    for (const order of this.known.orders) {
      const { service } = order
      const row = this.known.reachedOf(order)
      // Until the start is agreed on, nothing beyond the canary share goes to the new version.
      rollouts.set(service, row === undefined ? { order, startedAt: Infinity, outcome: 'running' } : toRollout(order, row))
    }
    this.dependencies.versionPolicy.setRollouts(rollouts)
  }
}

function toRollout (order: RolloutOrder, { startedAt, outcome }: RolloutRow): Rollout {
  return { order, startedAt, outcome }
}
