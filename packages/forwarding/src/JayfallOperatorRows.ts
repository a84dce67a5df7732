/**
 * What operators have written to the store: the catalogue, rollout orders and evacuations of zones.
 *
 * When the store comes back from a copy, orders and evacuations that are not in the copy keep their place, because
 * operators write again what was lost.
 */

import { type ZoneEvacuations } from '#jayfall/capacity'
import { type FeedReading } from '#jayfall/feeds'
import { comparePositions, type TableChange, type TablePosition } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { type BackendDirectory } from './JayfallBackendDirectory'
import { type DeploymentSource } from './JayfallDeploymentSource'
import { type ForwardingCatalogue, type RolloutOrder } from './JayfallForwardingCatalogue'

export interface OperatorRowsParts {
  readonly source: DeploymentSource
  readonly evacuations: ZoneEvacuations
  readonly directory: BackendDirectory
  readonly log: Log
}

/** A catalogue that was read, with the position of its row. */
export interface ReadCatalogue {
  readonly catalogue: ForwardingCatalogue
  readonly position: TablePosition
}

type OperatorReading = Pick<FeedReading, 'kind' | 'rows' | 'position' | 'isNewEra'>

export class OperatorRows {
  /** Rollout orders by the keys of their rows. */
  private readonly ordersByKey = new Map<string, RolloutOrder>()
  /** Positions of the orders that were made while this instance followed them, by the keys of their rows. */
  private readonly ordersSeenMade = new Map<string, TablePosition>()
  /** Evacuated zones by the keys of their rows. */
  private readonly evacuatedZonesByKey = new Map<string, string>()
  /** Keys of evacuations that are in force although the copy that the store was restored from lacks their rows. */
  private readonly keptEvacuations = new Set<string>()

  constructor (private readonly parts: OperatorRowsParts) {}

  /** Rollout orders. */
  get orders (): IterableIterator<RolloutOrder> {
    return this.ordersByKey.values()
  }

  /** Applies what was read, and returns the catalogues in it. */
  apply ({ kind, rows, position: { era }, isNewEra }: OperatorReading): readonly ReadCatalogue[] {
    if (isNewEra && kind === 'changes') this.keepOrders(rows, era)
    if (isNewEra) this.keepEvacuations(kind, rows)
    const catalogues: ReadCatalogue[] = []
    for (const { key, value, position } of rows) {
      if (value === undefined) {
        if (!isNewEra) this.delete(key)
        continue
      }
      const row = this.parts.source.readOperatorRow(key, value, position)
      if (row.kind === 'catalogue') catalogues.push({ catalogue: row.catalogue, position })
      else if (row.kind === 'evacuation') this.beginEvacuation(key, row.zone)
      else if (row.kind === 'rollout') {
        this.ordersByKey.set(key, row.order)
        if (kind === 'changes' && !isNewEra) this.ordersSeenMade.set(key, position)
        else this.ordersSeenMade.delete(key)
      } else if (row.reason !== undefined) this.parts.log.warn('operator_row_ignored', { key, ...position, reason: row.reason })
    }
    if (kind === 'snapshot' && !isNewEra) this.endUnlistedEvacuations(rows)
    return catalogues
  }

  /**
   * The position after which the rows of all rollouts in progress were written; undefined when an order may be older
   * than the store's history or than its present era.
   */
  firstOrderPosition (era: number): TablePosition | undefined {
    const positions = [...this.ordersByKey.keys()].map(key => this.ordersSeenMade.get(key))
    if (!positions.every(position => position?.era === era)) return undefined
    return (positions as readonly TablePosition[]).toSorted(comparePositions)[0]
  }

  /** Notes which orders are still there in a new era. The others keep their place. */
  private keepOrders (differing: readonly TableChange[], era: number): void {
    const keys = new Set(differing.map(({ key }) => key))
    for (const [key, order] of this.ordersByKey) if (!keys.has(key)) this.ordersByKey.set(key, { ...order, position: { ...order.position, era } })
  }

  private delete (key: string): void {
    this.ordersByKey.delete(key)
    this.endEvacuation(key)
  }

  private beginEvacuation (key: string, zone: string): void {
    this.evacuatedZonesByKey.set(key, zone)
    this.keptEvacuations.delete(key)
    if (![...this.parts.directory.rows.rows()].some(({ server }) => server.zone === zone)) this.parts.log.warn('evacuated_zone_unknown', { zone, reason: 'no server is registered in it' })
    this.parts.evacuations.begin(zone)
  }

  private endEvacuation (key: string): void {
    const zone = this.evacuatedZonesByKey.get(key)
    this.evacuatedZonesByKey.delete(key)
    this.keptEvacuations.delete(key)
    if (zone !== undefined) this.parts.evacuations.end(zone)
  }

  private endUnlistedEvacuations (listed: readonly TableChange[]): void {
    const keys = new Set(listed.map(({ key }) => key))
    for (const key of [...this.evacuatedZonesByKey.keys()]) if (!keys.has(key) && !this.keptEvacuations.has(key)) this.endEvacuation(key)
  }

  /** Notes which evacuations the copy lacks. Changes list the rows in which the copy differs, and a snapshot all of its rows. */
  private keepEvacuations (kind: OperatorReading['kind'], rows: readonly TableChange[]): void {
    const valuesByKey = new Map(rows.map(({ key, value }) => [key, value]))
    for (const key of this.evacuatedZonesByKey.keys()) if (valuesByKey.get(key) === undefined && (kind === 'snapshot' || valuesByKey.has(key))) this.keptEvacuations.add(key)
  }
}
