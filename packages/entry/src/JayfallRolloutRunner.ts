/**
 * Drives roll-outs on behalf of all instances, under the lease `rollout`.
 *
 * Evidence and the position in the ratings are written in one transaction, so that a successor
 * goes on from the same place and counts no rating twice. The catalogue is then brought to what
 * the rows say; a holder that dies in between leaves that to its successor.
 */

import { entryKey, type ReadonlyCatalogue, type VersionEntry } from '#jayfall/catalogue'
import { isPlatformError, listRows, type CatalogueStore, type Lease, type PlatformServices, type TableStore } from '#jayfall/store'
import { createMonitorAfter, shareAgainst, trafficShareOf } from '#jayfall/rollout'
import { type Clock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { addMissingRows, addRatings, CURSOR_KEY, qualityKey, referenceOf, ROLLOUTS_TABLE, versionKey, type RolloutRow, type RolloutRows } from './JayfallRolloutRows'

/** Milliseconds of the lease that a write must have left. */
const WRITE_MARGIN_MILLISECONDS = 2000
/** Shares that differ less are equal. */
const SHARE_PRECISION = 1e-6

export interface RolloutRunnerParts {
  readonly lease: Lease
  readonly tables: TableStore
  readonly catalogueStore: CatalogueStore
  readonly services: Pick<PlatformServices, 'readRatings'>
  readonly catalogue: ReadonlyCatalogue
  readonly clock: Clock
  readonly log: Log
  /** Recorded with catalogue changes. */
  readonly writer: string
}

interface StoredRows {
  readonly rows: RolloutRows
  readonly revisions: ReadonlyMap<string, number>
}

/** One instance's part in driving roll-outs. */
export class RolloutRunner {
  constructor (private readonly parts: RolloutRunnerParts) {}

  /** One round; does nothing unless the lease is held. @throws PlatformError when the store gives no answer. */
  async run (): Promise<void> {
    if (!await this.parts.lease.maintain() || this.parts.catalogue.revision === 0) return
    const stored = await this.readRows()
    const rows = await this.gatherEvidence(stored)
    if (rows === undefined) return
    for (const [key, row] of rows) await this.apply(rows, key, row)
  }

  private async readRows (): Promise<StoredRows> {
    const rows = new Map<string, RolloutRow>()
    const revisions = new Map<string, number>()
    for await (const { key, value, revision } of listRows<RolloutRow>(this.parts.tables, ROLLOUTS_TABLE, '')) {
      rows.set(key, value)
      revisions.set(key, revision)
    }
    return { rows, revisions }
  }

  /** Adds new ratings to the rows and writes them; undefined when another holder has written them. */
  private async gatherEvidence (stored: StoredRows): Promise<RolloutRows | undefined> {
    const { catalogue, clock, services, log } = this.parts
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

  private async writeRows (changed: readonly (readonly [string, RolloutRow])[], revisions: ReadonlyMap<string, number>): Promise<boolean> {
    if (this.parts.lease.fencingFor(WRITE_MARGIN_MILLISECONDS) === undefined) return false
    try {
      await this.parts.tables.transact(changed.map(([key, value]) => ({ table: ROLLOUTS_TABLE, key, value, ifRevision: revisions.get(key) ?? 0 })))
      return true
    } catch (error) {
      // The next round reads what is there, whether it was this write or another holder's.
      if (isPlatformError(error, 'conflict', 'outcome_unknown')) return false
      throw error
    }
  }

  /** Brings the catalogue to what one row asks for. */
  private async apply (rows: RolloutRows, key: string, row: RolloutRow): Promise<void> {
    const version = this.parts.catalogue.get('version', key.replace(/^version\//, ''))
    if (version === undefined || row.kind === 'cursor' || row.kind === 'quality' || row.isApplied) return
    if (row.kind === 'monitor') {
      if (row.state.isBad) await this.replaceBadVersion(version, row)
      return
    }
    // An operator's change ends a roll-out.
    if (version.state === 'withdrawn') return await this.finish(key, { ...row, state: { ...row.state, outcome: 'stopped' }, isApplied: true })
    if (row.state.outcome === 'stopped') await this.change(version, { state: 'withdrawn', trafficShare: 0 }, 'version_rolled_back')
    else if (row.state.outcome === 'finished') await this.finishRollout(rows, version, row)
    else await this.applyShare(version, row)
  }

  private async applyShare (version: VersionEntry, { state }: Extract<RolloutRow, { kind: 'rollout' }>): Promise<void> {
    const share = shareAgainst(trafficShareOf(state), this.shareOfOthers(version))
    if (Math.abs(share - version.trafficShare) > SHARE_PRECISION) await this.change(version, { trafficShare: share }, 'version_stepped')
  }

  private shareOfOthers (version: VersionEntry): number {
    return this.others(version).reduce((sum, { trafficShare }) => sum + trafficShare, 0)
  }

  /** The other versions of the model that are in service. */
  private others ({ id, model }: VersionEntry): readonly VersionEntry[] {
    return this.parts.catalogue.all('version').filter(other => other.model === model && other.id !== id && other.state === 'in-service')
  }

  private async finishRollout (rows: RolloutRows, version: VersionEntry, row: Extract<RolloutRow, { kind: 'rollout' }>): Promise<void> {
    if (version.state !== 'in-service' && !await this.change(version, { state: 'in-service', trafficShare: 100, whenCutOff: 'continue' }, 'version_in_service')) return
    for (const other of this.others(version)) {
      // The old versions stay in service for their sessions until an operator withdraws them.
      if (other.trafficShare > 0 && !await this.change(other, { trafficShare: 0 }, 'version_replaced')) return
    }
    await this.finish(versionKey(version.id), { kind: 'monitor', state: createMonitorAfter(row.state, referenceOf(rows, row.old)), isApplied: false })
  }

  /** Withdraws a version in service that has turned bad, once another has its traffic. */
  private async replaceBadVersion (version: VersionEntry, row: Extract<RolloutRow, { kind: 'monitor' }>): Promise<void> {
    if (version.state === 'withdrawn') return await this.finish(versionKey(version.id), { ...row, isApplied: true })
    const [replacement] = [...this.others(version)].sort((left, right) => right.trafficShare - left.trafficShare || right.quality - left.quality)
    if (replacement === undefined) {
      this.parts.log.error('bad_version_without_replacement', { version: version.id, model: version.model })
      return
    }
    if (replacement.trafficShare === 0 && !await this.change(replacement, { trafficShare: 100 }, 'version_restored')) return
    await this.change(version, { state: 'withdrawn', trafficShare: 0 }, 'version_rolled_back')
  }

  /** Writes a change of a version's entry; false when it was not accepted, and then the next round tries again. */
  private async change (version: VersionEntry, changes: Partial<VersionEntry>, event: string): Promise<boolean> {
    const { catalogueStore, lease, log, writer } = this.parts
    const key = entryKey(version)
    const current = await catalogueStore.readEntry(key)
    // Decisions follow the installed catalogue; one that is behind the store waits for the next round.
    if (current === undefined || JSON.stringify(current.entry) !== JSON.stringify(version) || lease.fencingFor(WRITE_MARGIN_MILLISECONDS) === undefined) return false
    try {
      const revision = await catalogueStore.write({ key, entry: { ...version, ...changes }, basedOn: current.revision, writer })
      log.info(event, { version: version.id, revision, traffic_share: changes.trafficShare })
      return true
    } catch (error) {
      if (isPlatformError(error, 'conflict', 'outcome_unknown')) return false
      throw error
    }
  }

  private async finish (key: string, row: RolloutRow): Promise<void> {
    const stored = await this.parts.tables.read<RolloutRow>(ROLLOUTS_TABLE, key)
    await this.writeRows([[key, row]], new Map([[key, stored?.revision ?? 0]]))
  }
}

/** The ratings of all cascades, for the data threads. */
export async function readCascadeQuality (tables: TableStore): Promise<RolloutRows> {
  const rows = new Map<string, RolloutRow>()
  for await (const { key, value } of listRows<RolloutRow>(tables, ROLLOUTS_TABLE, qualityKey(''))) rows.set(key.slice(qualityKey('').length), value)
  return rows
}
