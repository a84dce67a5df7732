/** Policies for hedges, which are second attempts of a request while its first is still open. */

import { type DelayQuantiles } from './JayfallDelayQuantiles'
import { DEFAULT_OVERDUE_MILLISECONDS, MINIMUM_OVERDUE_MILLISECONDS, OVERDUE_FACTOR } from './JayfallRoutingConstants'
import { type RequestRow } from './JayfallRoutingTables'

/** Decides after which delay a first token is overdue, and whether a request may then be hedged. */
export abstract class HedgePolicy {
  /** Returns the milliseconds after the dispatch from which a first token is overdue. */
  abstract overdueDelay (row: RequestRow): number
  /** Returns whether a request with an overdue first token may be hedged. */
  abstract mayHedge (row: RequestRow): boolean
}

/** Hedges repeatable requests whose first token takes longer than nearly all recent ones. */
export class OverdueHedgePolicy extends HedgePolicy {
  constructor (private readonly delays: DelayQuantiles) {
    super()
  }

  override overdueDelay (row: RequestRow): number {
    const delay = this.delays.get(row)
    return delay === undefined ? DEFAULT_OVERDUE_MILLISECONDS : Math.max(MINIMUM_OVERDUE_MILLISECONDS, delay.high * OVERDUE_FACTOR)
  }

  override mayHedge (row: RequestRow): boolean {
    return row.request.repeatable && !row.hasFirstToken && row.openAttempts.length === 1
  }
}
