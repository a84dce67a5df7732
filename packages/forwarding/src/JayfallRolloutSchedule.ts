/**
 * The schedule of a rollout, as pure functions of the store's clock.
 *
 * A rollout begins with a canary phase, in which a small share of requests goes to the new version:
 * requests without a session from the order on, and sessions from the second half of the period on. Then
 * the share grows in two ramps, first to a half, so that the servers of both versions carry the load for a
 * while, and then to everything. Each instance computes the share from the same start time, so the ramps
 * need no messages.
 */

import { COMPLETION_RESERVE_MILLISECONDS, COMPLETION_CHECK_START_SHARE, FINAL_RAMP_END_SHARE, FINAL_RAMP_START_SHARE, FIRST_RAMP_END_SHARE, PLATEAU_VERSION_SHARE, FIRST_RAMP_START_SHARE, SESSION_MOVE_START_SHARE, CANARY_EXPOSURE_SHARE } from './JayfallForwardingConstants'
import { type RolloutOrder } from './JayfallForwardingCatalogue'

export type RolloutOutcome = 'running' | 'complete' | 'rolled_back'

/** A rollout as the instances agreed on it in the store. */
export interface Rollout {
  readonly order: RolloutOrder
  /** The store's clock, in milliseconds, when the first instance saw the order. */
  readonly startedAt: number
  readonly outcome: RolloutOutcome
}

/** The fraction of sessions, from 0 to 1, that belongs to the new version at a time of the store's clock. */
export function newVersionShare ({ order, startedAt, outcome }: Rollout, storeTime: number, exposureShare: number): number {
  if (outcome !== 'running') return outcome === 'complete' ? 1 : 0
  const canaryShare = exposureShare * CANARY_EXPOSURE_SHARE
  const progress = (storeTime - startedAt) / order.period
  const firstRampShare = canaryShare + (PLATEAU_VERSION_SHARE - canaryShare) * rampProgress(progress, FIRST_RAMP_START_SHARE, FIRST_RAMP_END_SHARE)
  return firstRampShare + (1 - firstRampShare) * rampProgress(progress, FINAL_RAMP_START_SHARE, FINAL_RAMP_END_SHARE)
}

/** 0 before `start`, 1 after `end`, and linear between them. */
function rampProgress (progress: number, start: number, end: number): number {
  return Math.min(1, Math.max(0, (progress - start) / (end - start)))
}

/** Whether sessions of the old version may move to the new one. */
export function mayMoveSessions ({ order, startedAt, outcome }: Rollout, storeTime: number): boolean {
  return outcome !== 'running' || storeTime - startedAt >= order.period * SESSION_MOVE_START_SHARE
}

/** Whether it is time to check the old servers for remaining work. */
export function mayComplete ({ order, startedAt }: Rollout, storeTime: number): boolean {
  return storeTime - startedAt >= order.period * COMPLETION_CHECK_START_SHARE
}

/** Whether the rollout must be completed now, even if old servers still have work. */
export function mustComplete ({ order, startedAt }: Rollout, storeTime: number): boolean {
  return storeTime - startedAt >= order.period - COMPLETION_RESERVE_MILLISECONDS
}
