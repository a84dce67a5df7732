/**
 * The duty of carrying a rollout out, which every instance does alike.
 *
 * There is no leader: each step is a conditional write of the rollout's row together with the
 * status that operators read, so exactly one instance makes it, and the loss of any instance
 * stops nothing. Steps are the start, the completion and the roll-back; everything between them
 * follows from the start time.
 */

import { messageOf, type Clock, type RandomSource } from '#jayfall/shared'
import { isPlatformError, type TableChange, type TableStore } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { type BackendDirectory } from './JayfallBackendDirectory'
import { type DeploymentSource } from './JayfallDeploymentSource'
import { type RolloutOrder } from './JayfallForwardingCatalogue'
import { EVIDENCE_INTERVAL, EVIDENCE_LIFETIME, STEP_PROBABILITY } from './JayfallForwardingConstants'
import { type RolloutEvidence } from './JayfallRolloutEvidence'
import { mayComplete, mayMoveSessions, mustComplete, type Rollout, type RolloutOutcome } from './JayfallRolloutPlan'
import { EVIDENCE_TABLE, ROLLOUTS_TABLE, readEvidenceRow, readRolloutRow, type EvidenceRow, type RolloutRow } from './JayfallRolloutRows'
import { isBadVersion, sumEvidence, type EvidenceCounts } from './JayfallVersionEvidence'
import { type VersionPolicy } from './JayfallVersionPolicy'

/** Asks a backend server how much work it has. */
export abstract class LoadProbe {
  /** Requests that run or wait at the server; undefined when it does not answer. */
  abstract load (address: string, service: string): Promise<number | undefined>
}

export interface RolloutDutyParts {
  readonly instance: string
  readonly store: TableStore
  readonly source: DeploymentSource
  readonly probe: LoadProbe
  readonly directory: BackendDirectory
  readonly versions: VersionPolicy
  readonly evidence: RolloutEvidence
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  /** The store's clock as this instance estimates it. */
  readonly storeTime: () => number
}

interface KnownRow {
  readonly row: RolloutRow
  readonly revision: number
}

interface Published {
  readonly bad: number
  readonly total: number
  readonly at: number
}

export class RolloutDuty {
  private orders: ReadonlyMap<string, RolloutOrder> = new Map()
  private readonly rows = new Map<string, KnownRow>()
  /** Evidence of other instances by row key. */
  private readonly reports = new Map<string, EvidenceRow>()
  private readonly published = new Map<string, Published>()
  private isBusy = false
  private hasReadRows = false

  constructor (private readonly parts: RolloutDutyParts) {}

  /** Whether a rollout is under way, so that its rows are worth following. */
  get isActive (): boolean {
    return [...this.orders.values()].some(order => (this.rowOf(order)?.outcome ?? 'running') === 'running')
  }

  /** Whether a running rollout has begun to move sessions. */
  get isMovingSessions (): boolean {
    const storeTime = this.parts.storeTime()
    return [...this.orders.values()].some(order => {
      const row = this.rowOf(order)
      return row?.outcome === 'running' && mayMoveSessions(toRollout(order, row), storeTime)
    })
  }

  /** Whether how the rollouts stand is known, or there is none. */
  get isSettled (): boolean {
    return this.hasReadRows || this.orders.size === 0
  }

  takeOrders (orders: ReadonlyMap<string, RolloutOrder>): void {
    for (const [service, order] of orders) {
      if (this.orders.get(service)?.revision === order.revision) continue
      this.parts.evidence.of(service).reset()
      this.published.delete(service)
      this.parts.log.info('rollout_ordered', { service, version: order.version, period_ms: order.period, revision: order.revision })
    }
    this.orders = orders
    this.apply()
  }

  /** Takes the rollouts that the instances agreed on. */
  takeRollouts (rows: readonly TableChange[]): void {
    this.hasReadRows = true
    for (const { key, value, revision } of rows) {
      const row = readRolloutRow(value)
      if (row === undefined) this.rows.delete(key)
      else this.takeRow(key, row, revision)
    }
    this.apply()
  }

  takeEvidence (rows: readonly TableChange[]): void {
    for (const { key, value } of rows) {
      const row = readEvidenceRow(value)
      if (row === undefined) this.reports.delete(key)
      else if (row.instance !== this.parts.instance) this.reports.set(key, row)
    }
  }

  /** Makes the steps that are due; called at an interval. */
  async run (): Promise<void> {
    if (this.isBusy) return
    this.isBusy = true
    try {
      for (const order of this.orders.values()) await this.advance(order)
    } catch (error) {
      // The store's feeds report its loss; the step is due again at the next interval.
      this.parts.log.warn('rollout_step_failed', { message: messageOf(error) })
    } finally {
      this.isBusy = false
    }
  }

  private async advance (order: RolloutOrder): Promise<void> {
    const row = this.rowOf(order)
    if (row === undefined) {
      if (this.parts.random.chance(STEP_PROBABILITY)) await this.step(order, 'running', 'ordered')
      return
    }
    if (row.outcome !== 'running') return
    const rollout = toRollout(order, row)
    await this.publish(order)
    if (isBadVersion(this.pooledEvidence(order))) {
      this.parts.versions.suspend(order.service, order.version)
      return this.step(order, 'rolled_back', JSON.stringify(this.pooledEvidence(order)))
    }
    const storeTime = this.parts.storeTime()
    if (mustComplete(rollout, storeTime)) return this.step(order, 'complete', 'deadline')
    if (mayComplete(rollout, storeTime) && this.parts.random.chance(STEP_PROBABILITY) && await this.isOldIdle(order)) return this.step(order, 'complete', 'old servers are idle')
  }

  private async step (order: RolloutOrder, outcome: RolloutOutcome, reason: string): Promise<void> {
    const { service } = order
    const started = this.rowOf(order)
    // The row may have arrived while the reasons for this step were being looked at.
    if (started !== undefined && started.outcome !== 'running') return
    const row: RolloutRow = {
      version: order.version,
      orderRevision: order.revision,
      startedAt: started?.startedAt ?? this.parts.storeTime(),
      outcome
    }
    const writes = [{ table: ROLLOUTS_TABLE, key: service, value: row, ifRevision: this.rows.get(service)?.revision ?? 0 }, this.parts.source.createStatusWrite(order, outcome)]
    try {
      const [revision] = await this.parts.store.transact(writes)
      this.parts.log.info('rollout_step', { service, version: order.version, outcome, reason })
      this.takeRow(service, row, revision)
      this.apply()
    } catch (error) {
      if (!isPlatformError(error, 'conflict', 'outcome_unknown')) throw error
      // Another instance made a step, or this one's answer was lost; the row tells.
      await this.refresh(service)
    }
  }

  private async refresh (service: string): Promise<void> {
    const found = await this.parts.store.read(ROLLOUTS_TABLE, service)
    const row = readRolloutRow(found?.value)
    if (found !== undefined && row !== undefined) this.takeRow(service, row, found.revision)
    this.apply()
  }

  private takeRow (service: string, row: RolloutRow, revision: number): void {
    const known = this.rows.get(service)
    if (known !== undefined && known.revision >= revision) return
    this.rows.set(service, { row, revision })
    this.parts.log.info('rollout_known', { service, version: row.version, outcome: row.outcome, revision })
  }

  /** Publishes what this instance saw: failures at the next interval, everything else from time to time. */
  private async publish ({ service, revision }: RolloutOrder): Promise<void> {
    const { evidence, clock, instance } = this.parts
    const now = clock.monotonic()
    const { newBad: bad, newTotal: total } = evidence.of(service)
    const last = this.published.get(service) ?? { bad: 0, total: 0, at: now }
    const isDue = bad > last.bad || (total > last.total && now - last.at >= EVIDENCE_INTERVAL)
    if (!isDue) {
      this.published.set(service, last)
      return
    }
    const row: EvidenceRow = { instance, orderRevision: revision, at: this.parts.storeTime(), counts: evidence.of(service).recent(now) }
    await this.parts.store.transact([{ table: EVIDENCE_TABLE, key: `${service}/${instance}`, value: row }])
    this.published.set(service, { bad, total, at: now })
  }

  private pooledEvidence ({ service, revision }: RolloutOrder): EvidenceCounts {
    const { evidence, clock, storeTime } = this.parts
    const isCurrent = (row: EvidenceRow): boolean => row.orderRevision === revision && storeTime() - row.at < EVIDENCE_LIFETIME
    const others = [...this.reports].filter(([key, row]) => key.startsWith(`${service}/`) && isCurrent(row)).map(([, row]) => row.counts)
    return sumEvidence([evidence.of(service).recent(clock.monotonic()), ...others])
  }

  /** Whether no server of an old version has work left. */
  private async isOldIdle ({ service, version }: RolloutOrder): Promise<boolean> {
    const rows = [...this.parts.directory.ofService(service)]
    const old = rows.filter(({ server }) => server.version !== version)
    if (!rows.some(({ server }) => server.version === version && !server.isDraining)) return false
    if (old.some(({ open }) => open > 0)) return false
    for (const { server } of old) {
      // A server that does not answer has nothing that could be waited for.
      if ((await this.parts.probe.load(server.address, service) ?? 0) > 0) return false
    }
    return true
  }

  /** The row of the order's rollout; undefined until its start is agreed on. */
  private rowOf ({ service, revision }: RolloutOrder): RolloutRow | undefined {
    const row = this.rows.get(service)?.row
    return row?.orderRevision === revision ? row : undefined
  }

  private apply (): void {
    const rollouts = new Map<string, Rollout>()
    for (const [service, order] of this.orders) {
      const row = this.rowOf(order)
      // Until the start is agreed on, nothing goes to the new version beyond the trial share.
      rollouts.set(service, row === undefined ? { order, startedAt: Infinity, outcome: 'running' } : toRollout(order, row))
    }
    this.parts.versions.setRollouts(rollouts)
  }
}

function toRollout (order: RolloutOrder, { startedAt, outcome }: RolloutRow): Rollout {
  return { order, startedAt, outcome }
}
