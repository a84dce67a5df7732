/**
 * Controls rollouts on behalf of all instances, under the lease `rollout`.
 *
 * The evidence from ratings and the read position in the ratings are written in one transaction, so that the next lease
 * holder continues at the same position and counts no rating twice. The catalogue is updated from the rows afterwards.
 * If the holder dies in between, the next holder makes the update.
 */

import { entryKey, type ReadonlyCatalogue, type VersionEntry } from '#jayfall/catalogue'
import { isPlatformError, listRows, type CatalogueStore, type Lease, type PlatformServices, type TableStore } from '#jayfall/store'
import { createMonitorAfter, shareAgainst, trafficShareOf } from '#jayfall/rollout'
import { type Clock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { addMissingRows, addRatings, CURSOR_KEY, qualityKey, findReference, ROLLOUTS_TABLE, versionKey, type RolloutRow, type RolloutRows } from './JayfallRolloutRows'

/** Remaining time of the lease that is required for a write. */
const WRITE_LEASE_MARGIN_MILLISECONDS = 2000
/** Traffic shares whose difference is smaller count as equal. */
const TRAFFIC_SHARE_TOLERANCE = 1e-6

/** What the controller depends on. */
export interface RolloutControllerDependencies {
  readonly lease: Lease
  readonly tables: TableStore
  readonly catalogueStore: CatalogueStore
  readonly services: Pick<PlatformServices, 'readRatings'>
  readonly catalogue: ReadonlyCatalogue
  readonly clock: Clock
  readonly log: Log
  /** Name of the author that is recorded with catalogue changes. */
  readonly writer: string
}

/** The rows in the store, with their revisions. */
interface StoredRows {
  readonly rows: RolloutRows
  readonly revisions: ReadonlyMap<string, number>
}

/** Evaluates ratings and applies the resulting changes to the catalogue. */
export class RolloutController {
  constructor (private readonly dependencies: RolloutControllerDependencies) {}

  /** Runs one round, if this instance holds the lease. @throws PlatformError when the store does not respond. */
  async run (): Promise<void> {
    if (!await this.dependencies.lease.maintain() || this.dependencies.catalogue.revision === 0) return
    const stored = await this.readRows()
    const rows = await this.addNewRatings(stored)
    if (rows === undefined) return
    for (const [key, row] of rows) await this.applyRow(rows, key, row)
  }

  private async readRows (): Promise<StoredRows> {
    const rows = new Map<string, RolloutRow>()
    const revisions = new Map<string, number>()
    for await (const { key, value, revision } of listRows<RolloutRow>(this.dependencies.tables, ROLLOUTS_TABLE, '')) {
      rows.set(key, value)
      revisions.set(key, revision)
    }
    return { rows, revisions }
  }

  /** Adds new ratings to the rows and writes them; undefined when they were not written, or when it is unknown whether they were. */
  private async addNewRatings (stored: StoredRows): Promise<RolloutRows | undefined> {
    const { catalogue, clock, services, log } = this.dependencies
    const cursor = stored.rows.get(CURSOR_KEY)
    const after = cursor?.kind === 'cursor' ? cursor.after : 0
    const { ratings, next } = await services.readRatings(after)
    const rows = new Map(addRatings(addMissingRows(stored.rows, catalogue, clock.wall()), ratings, clock.wall()))
    if (next !== after) rows.set(CURSOR_KEY, { kind: 'cursor', after: next })
    const changed = [...rows].filter(([key, row]) => row !== stored.rows.get(key))
    if (changed.length === 0) return rows
    const isWritten = await this.writeRows(changed, stored.revisions)
    if (ratings.length > 0) log.info('ratings_counted', { ratings: ratings.length, next, written: isWritten })
    return isWritten ? rows : undefined
  }

  /** Writes rows if the lease lasts long enough and no other holder has changed them; returns whether the write is known to have succeeded. */
  private async writeRows (changed: readonly (readonly [string, RolloutRow])[], revisions: ReadonlyMap<string, number>): Promise<boolean> {
    if (this.dependencies.lease.fencingFor(WRITE_LEASE_MARGIN_MILLISECONDS) === undefined) return false
    try {
      await this.dependencies.tables.transact(changed.map(([key, value]) => ({ table: ROLLOUTS_TABLE, key, value, ifRevision: revisions.get(key) ?? 0 })))
      return true
    } catch (error) {
      // The next round reads the rows again, whether this write or a write of another holder succeeded.
      if (isPlatformError(error, 'conflict', 'outcome_unknown')) return false
      throw error
    }
  }

  /** Updates the catalogue according to one row. */
  private async applyRow (rows: RolloutRows, key: string, row: RolloutRow): Promise<void> {
    const version = this.dependencies.catalogue.get('version', key.replace(/^version\//, ''))
    if (version === undefined || row.kind === 'cursor' || row.kind === 'quality' || row.isApplied) return
    if (row.kind === 'monitor') {
      if (row.state.isBad) await this.replaceBadVersion(version, row)
      return
    }
    // A withdrawal by an operator ends the rollout.
    if (version.state === 'withdrawn') return await this.replaceRow(key, { ...row, state: { ...row.state, outcome: 'stopped' }, isApplied: true })
    if (row.state.outcome === 'stopped') await this.changeVersion(version, { state: 'withdrawn', trafficShare: 0 }, 'version_rolled_back')
    else if (row.state.outcome === 'finished') await this.finishRollout(rows, version, row)
    else await this.applyShare(version, row)
  }

  private async applyShare (version: VersionEntry, { state }: Extract<RolloutRow, { kind: 'rollout' }>): Promise<void> {
    const share = shareAgainst(trafficShareOf(state), this.trafficShareOfOthers(version))
    if (Math.abs(share - version.trafficShare) > TRAFFIC_SHARE_TOLERANCE) await this.changeVersion(version, { trafficShare: share }, 'version_stepped')
  }

  private trafficShareOfOthers (version: VersionEntry): number {
    return this.otherVersionsInService(version).reduce((sum, { trafficShare }) => sum + trafficShare, 0)
  }

  /** Finds the other versions of the model that are in service. */
  private otherVersionsInService ({ id, model }: VersionEntry): readonly VersionEntry[] {
    return this.dependencies.catalogue.all('version').filter(other => other.model === model && other.id !== id && other.state === 'in-service')
  }

  private async finishRollout (rows: RolloutRows, version: VersionEntry, row: Extract<RolloutRow, { kind: 'rollout' }>): Promise<void> {
    if (version.state !== 'in-service' && !await this.changeVersion(version, { state: 'in-service', trafficShare: 100, whenCutOff: 'continue' }, 'version_in_service')) return
    for (const other of this.otherVersionsInService(version)) {
      // The old versions stay in service for existing sessions until an operator withdraws them.
      if (other.trafficShare > 0 && !await this.changeVersion(other, { trafficShare: 0 }, 'version_replaced')) return
    }
    await this.replaceRow(versionKey(version.id), { kind: 'monitor', state: createMonitorAfter(row.state, findReference(rows, row.old)), isApplied: false })
  }

  /** Withdraws a version in service whose quality has become bad, after another version has received its traffic. */
  private async replaceBadVersion (version: VersionEntry, row: Extract<RolloutRow, { kind: 'monitor' }>): Promise<void> {
    if (version.state === 'withdrawn') return await this.replaceRow(versionKey(version.id), { ...row, isApplied: true })
    const [replacement] = [...this.otherVersionsInService(version)].sort((left, right) => right.trafficShare - left.trafficShare || right.quality - left.quality)
    if (replacement === undefined) {
      this.dependencies.log.error('bad_version_without_replacement', { version: version.id, model: version.model })
      return
    }
    if (replacement.trafficShare === 0 && !await this.changeVersion(replacement, { trafficShare: 100 }, 'version_restored')) return
    await this.changeVersion(version, { state: 'withdrawn', trafficShare: 0 }, 'version_rolled_back')
  }

  /** Changes the catalogue entry of a version. Returns false when the change was not accepted; the next round then tries again. */
  private async changeVersion (version: VersionEntry, changes: Partial<VersionEntry>, event: string): Promise<boolean> {
    const { catalogueStore, lease, log, writer } = this.dependencies
    const key = entryKey(version)
    const current = await catalogueStore.readEntry(key)
    // Decisions are based on the installed catalogue; if it is older than the store, they wait for the next round.
    if (current === undefined || JSON.stringify(current.entry) !== JSON.stringify(version) || lease.fencingFor(WRITE_LEASE_MARGIN_MILLISECONDS) === undefined) return false
    try {
      const revision = await catalogueStore.write({ key, entry: { ...version, ...changes }, basedOn: current.revision, writer })
      log.info(event, { version: version.id, revision, traffic_share: changes.trafficShare })
      return true
    } catch (error) {
      if (isPlatformError(error, 'conflict', 'outcome_unknown')) return false
      throw error
    }
  }

  private async replaceRow (key: string, row: RolloutRow): Promise<void> {
    const stored = await this.dependencies.tables.read<RolloutRow>(ROLLOUTS_TABLE, key)
    await this.writeRows([[key, row]], new Map([[key, stored?.revision ?? 0]]))
  }
}

/** Reads the rows with the ratings of all cascades, by cascade identifier. */
export async function readCascadeQuality (tables: TableStore): Promise<RolloutRows> {
  const rows = new Map<string, RolloutRow>()
  for await (const { key, value } of listRows<RolloutRow>(tables, ROLLOUTS_TABLE, qualityKey(''))) rows.set(key.slice(qualityKey('').length), value)
  return rows
}
