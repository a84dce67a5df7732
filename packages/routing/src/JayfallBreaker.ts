/**
 * A breaker as pure functions over its state.
 *
 * It opens on failures, lets one probe through after a time, and closes on a success.
 * One serves for failures and one for overdue first tokens of each backend server.
 */

import { type BreakerState } from './JayfallRoutingTables'

export interface BreakerLimits {
  /** Failures in a row that open it. */
  readonly failures: number
  readonly initialMilliseconds: number
  readonly maximumMilliseconds: number
}

export const CLOSED_BREAKER: BreakerState = { failures: 0, openUntil: -Infinity, openFor: 0, isProbing: false }

/** Whether an attempt may be sent now. */
export function isPassable (state: BreakerState, now: number): boolean {
  return state.openFor === 0 || (now >= state.openUntil && !state.isProbing)
}

/** The state after an attempt was sent; an attempt through an open breaker is its probe. */
export function noteDispatch (state: BreakerState): BreakerState {
  return state.openFor === 0 ? state : { ...state, isProbing: true }
}

export function noteSuccess (): BreakerState {
  return CLOSED_BREAKER
}

/** The state when a probe ended without telling anything, as after a cancellation. */
export function noteInconclusive (state: BreakerState): BreakerState {
  return state.isProbing ? { ...state, isProbing: false } : state
}

/** Opens after enough failures in a row; a failed probe doubles the time. */
export function noteFailure (state: BreakerState, now: number, limits: BreakerLimits): BreakerState {
  const failures = state.failures + 1
  if (state.openFor > 0) {
    // Failures of attempts that were sent before the opening say nothing new.
    if (!state.isProbing) return state
    const openFor = Math.min(state.openFor * 2, limits.maximumMilliseconds)
    return { failures, openUntil: now + openFor, openFor, isProbing: false }
  }
  if (failures < limits.failures) return { ...state, failures }
  return { failures, openUntil: now + limits.initialMilliseconds, openFor: limits.initialMilliseconds, isProbing: false }
}
