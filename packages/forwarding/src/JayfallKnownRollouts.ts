/**
 * What an instance knows of the rollouts that operators ordered, also across the store's return from a copy.
 *
 * A copy may lack the order, the steps that instances made, or both. Operators write their order again, under another
 * revision or the same one; it is still the same order, and its rollout goes on from where this instance knew it to
 * be. So a version that was rolled back gets no work while the instances write again what they agreed on.
 */

import { type TablePosition } from '#jayfall/store'

import { type RolloutOrder } from './JayfallForwardingCatalogue'
import { type EvidenceRow, type RolloutRow } from './JayfallRolloutRows'

interface KnownRollout {
  readonly order: RolloutOrder
  /** Revisions that the order's row has had. */
  readonly revisions: ReadonlySet<number>
  /** The furthest state that the instances agreed on; undefined before the start. */
  readonly reached: RolloutRow | undefined
}

/** The orders in force and the furthest state of each that this instance knows, by service. */
export class KnownRollouts {
  private readonly rollouts = new Map<string, KnownRollout>()

  /** Replaces the orders. Returns those that are new, and those that were written again after they were lost. */
  setOrders (orders: Iterable<RolloutOrder>): { readonly ordered: readonly RolloutOrder[], readonly writtenAgain: readonly RolloutOrder[] } {
    const [ordered, writtenAgain]: [RolloutOrder[], RolloutOrder[]] = [[], []]
    const services = new Set<string>()
    for (const order of orders) {
      services.add(order.service)
      const known = this.rollouts.get(order.service)
      if (known !== undefined && isSameOrder(known.order, order)) {
        if (!known.revisions.has(order.position.revision)) writtenAgain.push(order)
        this.rollouts.set(order.service, { ...known, order, revisions: new Set([...known.revisions, order.position.revision]) })
      } else {
        ordered.push(order)
        this.rollouts.set(order.service, { order, revisions: new Set([order.position.revision]), reached: undefined })
      }
    }
    for (const service of this.rollouts.keys()) if (!services.has(service)) this.rollouts.delete(service)
    return { ordered, writtenAgain }
  }

  get orders (): readonly RolloutOrder[] {
    return [...this.rollouts.values()].map(({ order }) => order)
  }

  /** The furthest state of an order's rollout; undefined until its start is agreed on. */
  reachedOf ({ service }: RolloutOrder): RolloutRow | undefined {
    return this.rollouts.get(service)?.reached
  }

  /** Records a row that the instances agreed on. A rollout that has ended does not run again. */
  record (service: string, row: RolloutRow): void {
    const known = this.rollouts.get(service)
    if (known === undefined || !isRowOf(known, row)) return
    const hasEnded = known.reached !== undefined && known.reached.outcome !== 'running'
    if (!hasEnded || row.outcome !== 'running') this.rollouts.set(service, { ...known, reached: row })
  }

  /** Whether the store holds the furthest state under the order's present revision. */
  isStored (order: RolloutOrder, stored: RolloutRow | undefined): boolean {
    const reached = this.reachedOf(order)
    return stored !== undefined && reached !== undefined && stored.orderRevision === order.position.revision && stored.version === order.version && stored.outcome === reached.outcome
  }

  /** Whether an instance published the evidence for the order; older versions name no version of the service. */
  isEvidenceFor ({ service, version }: RolloutOrder, row: EvidenceRow): boolean {
    return this.rollouts.get(service)?.revisions.has(row.orderRevision) === true && (row.version ?? version) === version
  }
}

function isRowOf ({ order, revisions }: KnownRollout, { orderRevision, version }: RolloutRow): boolean {
  return revisions.has(orderRevision) && version === order.version
}

/** Whether both are one order: an order that is lost with an era of the store is written again with the same content. */
function isSameOrder (known: RolloutOrder, order: RolloutOrder): boolean {
  const hasSameContent = known.version === order.version && known.period === order.period
  return hasSameContent && (known.position.revision === order.position.revision || isOfLaterEra(order.position, known.position))
}

function isOfLaterEra (position: TablePosition, other: TablePosition): boolean {
  return position.era > other.era
}
