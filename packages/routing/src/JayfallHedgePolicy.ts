/** When a request gets a second attempt while its first is still open. */

import { type DelayQuantiles } from './JayfallDelayQuantiles'
import { DEFAULT_OVERDUE_MILLISECONDS, MINIMUM_OVERDUE_MILLISECONDS, OVERDUE_FACTOR } from './JayfallRoutingConstants'
import { type RequestRow } from './JayfallRoutingTables'

/** Decides after which delay a first token is overdue, and whether that is worth a hedge. */
export abstract class HedgePolicy {
  /** Milliseconds after the dispatch. */
  abstract overdueAfter (row: RequestRow): number
  abstract wantsHedge (row: RequestRow): boolean
}

/** Hedges repeatable requests whose first token takes longer than nearly all recent ones. */
export class OverdueHedges extends HedgePolicy {
  constructor (private readonly delays: DelayQuantiles) {
    super()
  }

  override overdueAfter (row: RequestRow): number {
    const delay = this.delays.get(row)
    return delay === undefined ? DEFAULT_OVERDUE_MILLISECONDS : Math.max(MINIMUM_OVERDUE_MILLISECONDS, delay.high * OVERDUE_FACTOR)
  }

  override wantsHedge (row: RequestRow): boolean {
    return row.request.repeatable && !row.hasFirstToken && row.open.length === 1
  }
}
