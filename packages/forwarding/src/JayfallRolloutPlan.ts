/**
 * The course of a rollout as pure functions of the store's clock.
 *
 * A small trial share goes to the new version: of requests without a session from the order on, of
 * sessions from the second half of the period on. Then the share grows, first to a half, so that the
 * servers of both versions carry the load for a while, and then to everything. Each instance computes
 * the share from the same start time, so the ramps need no messages.
 */

import { COMPLETION_RESERVE, COMPLETION_START_SHARE, FINAL_RAMP_END_SHARE, FINAL_RAMP_START_SHARE, RAMP_END_SHARE, RAMP_MIDDLE, RAMP_START_SHARE, SESSION_START_SHARE, TRIAL_EXPOSURE_SHARE } from './JayfallForwardingConstants'
import { type RolloutOrder } from './JayfallForwardingCatalogue'

export type RolloutOutcome = 'running' | 'complete' | 'rolled_back'

/** A rollout as the instances agreed on it in the store. */
export interface Rollout {
  readonly order: RolloutOrder
  /** The store's clock when the first instance saw the order. */
  readonly startedAt: number
  readonly outcome: RolloutOutcome
}

/** The part of sessions that belongs to the new version at a moment of the store's clock. */
export function newVersionShare ({ order, startedAt, outcome }: Rollout, storeTime: number, exposureShare: number): number {
  if (outcome !== 'running') return outcome === 'complete' ? 1 : 0
  const trial = exposureShare * TRIAL_EXPOSURE_SHARE
  const progress = (storeTime - startedAt) / order.period
  const middle = trial + (RAMP_MIDDLE - trial) * rampAt(progress, RAMP_START_SHARE, RAMP_END_SHARE)
  return middle + (1 - middle) * rampAt(progress, FINAL_RAMP_START_SHARE, FINAL_RAMP_END_SHARE)
}

/** 0 before `start`, 1 after `end`, and a straight line between them. */
function rampAt (progress: number, start: number, end: number): number {
  return Math.min(1, Math.max(0, (progress - start) / (end - start)))
}

/** Whether sessions of the old version may move to the new one. */
export function mayMoveSessions ({ order, startedAt, outcome }: Rollout, storeTime: number): boolean {
  return outcome !== 'running' || storeTime - startedAt >= order.period * SESSION_START_SHARE
}

/** Whether the old servers' remaining work is worth a check. */
export function mayComplete ({ order, startedAt }: Rollout, storeTime: number): boolean {
  return storeTime - startedAt >= order.period * COMPLETION_START_SHARE
}

/** Whether the rollout must be completed now, whatever still runs on old servers. */
export function mustComplete ({ order, startedAt }: Rollout, storeTime: number): boolean {
  return storeTime - startedAt >= order.period - COMPLETION_RESERVE
}
