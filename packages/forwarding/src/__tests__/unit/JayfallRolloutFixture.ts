/** A rollout coordinator on a table store in memory, with a clock that the test sets. */

import { ManualClock, createRandomSource } from '#jayfall/shared'
import { PlatformError, TableStore, type TableRow, type TableWrite } from '#jayfall/store'

import { BackendDirectory } from '../../JayfallBackendDirectory'
import { type DeploymentSource } from '../../JayfallDeploymentSource'
import { type RolloutOrder } from '../../JayfallForwardingCatalogue'
import { RolloutCoordinator } from '../../JayfallRolloutCoordinator'
import { RolloutEvidence } from '../../JayfallRolloutEvidence'
import { VersionObservation } from '../../JayfallVersionObservation'
import { VersionPolicy } from '../../JayfallVersionPolicy'
import { SERVICE, SILENT_LOG } from './JayfallDecisionFixture'

export const ORDER: RolloutOrder = { service: SERVICE, version: 'v2', period: 20_000, position: { era: 1, revision: 5 } }

/** A table store whose calls can be made to fail. */
export class MemoryTables extends TableStore {
  rows: ReadonlyMap<string, TableRow> = new Map()
  revision = 10
  era = 1
  /** What operators were told, in order. */
  readonly statusWrites: unknown[] = []
  isDown = false
  /** Transactions are never answered. */
  isSilent = false

  override async transact (writes: readonly TableWrite[]): Promise<readonly number[]> {
    if (this.isDown) throw new PlatformError('unavailable', 'the store is down')
    if (this.isSilent) return new Promise(() => {})
    const conflicts = writes.filter(({ table, key, ifRevision, ifEra = this.era }) => ifEra < this.era || (ifRevision !== undefined && (this.rows.get(`${table}/${key}`)?.revision ?? 0) !== ifRevision))
    if (conflicts.length > 0) throw new PlatformError('conflict', 'a condition did not hold')
    this.revision++
    for (const { table, key, value } of writes) this.rows = new Map([...this.rows, [`${table}/${key}`, { key, value, revision: this.revision }]])
    for (const { table, value } of writes) if (table === 'status') this.statusWrites.push(value)
    return writes.map(() => this.revision)
  }

  copy (): Pick<MemoryTables, 'rows' | 'revision'> {
    return { rows: this.rows, revision: this.revision }
  }

  /** Replaces all rows by those of a copy. Revisions that were given since are given out again. */
  restore ({ rows, revision }: Pick<MemoryTables, 'rows' | 'revision'>): void {
    Object.assign(this, { rows, revision })
    this.era++
  }

  override async read<Value> (table: string, key: string): Promise<TableRow<Value> | undefined> {
    if (this.isDown) throw new PlatformError('unavailable', 'the store is down')
    return this.rows.get(`${table}/${key}`) as TableRow<Value> | undefined
  }

  override async list (): Promise<readonly never[]> {
    return []
  }
}

/** One instance's part in a rollout. */
export class RolloutFixture {
  readonly clock = new ManualClock(1000)
  readonly policy = new VersionPolicy({ sessionGap: 5000, exposureShare: 0.15 }, () => this.clock.monotonic())
  readonly evidence = new RolloutEvidence(this.policy, this.clock)
  readonly coordinator: RolloutCoordinator

  constructor (readonly tables: MemoryTables, instance = 'entry-1') {
    const source = { createStatusWrite: ({ service, version }: RolloutOrder, outcome: string) => ({ table: 'status', key: service, value: { state: outcome, to: version } }) } as unknown as DeploymentSource
    this.coordinator = new RolloutCoordinator({
      instance, store: tables, source, loadProbe: { queryLoad: async () => undefined }, directory: new BackendDirectory('valdivia'), versionPolicy: this.policy, evidence: this.evidence, clock: this.clock, random: createRandomSource(1), instanceCount: () => 1, log: SILENT_LOG, storeTime: () => this.clock.monotonic()
    })
  }

  /** Reads the rows of rollouts and the order, as after the store came back from a copy. */
  readNewEra (order?: RolloutOrder): void {
    if (order !== undefined) this.coordinator.applyOrders([order], this.tables.era)
    const row = this.tables.rows.get(`rollouts/${SERVICE}`)
    const position = { era: this.tables.era, revision: row?.revision ?? this.tables.revision }
    this.coordinator.applyRolloutRows([{ key: SERVICE, value: row?.value, position }], this.tables.era)
  }

  /** Runs until a version that fails is rolled back. */
  async rollBack (): Promise<void> {
    this.observe(20)
    await this.coordinator.run()
  }

  /** What operators read of the rollout. */
  get status (): unknown {
    return this.tables.rows.get(`status/${SERVICE}`)?.value
  }

  /** Applies the order and starts its rollout in the store. */
  async start (order = ORDER): Promise<void> {
    this.coordinator.applyOrders([order], order.position.era)
    await this.coordinator.run()
  }

  /** Observes answers of the old version and failures of the new one. */
  observe (failures: number, answers = 20): void {
    const observe = (version: string, hasFailed: boolean): void => this.evidence.recordOutcome(new VersionObservation({ service: SERVICE, version, route: 'route', model: undefined, startedAt: this.clock.monotonic(), explainedTimeToFirstEvent: undefined }), hasFailed)
    for (let count = 0; count < answers; count++) observe('v1', false)
    for (let count = 0; count < failures; count++) observe('v2', true)
  }

  /** Why requests go to a version at present. */
  get rule (): string {
    return this.policy.ruleFor(SERVICE, 'session', this.clock.monotonic()).reason
  }
}
