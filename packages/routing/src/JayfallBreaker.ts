/**
 * A circuit breaker as pure functions over its state.
 *
 * It opens on failures, lets one probe through after a time, and closes on a success.
 * Each backend server has one breaker for failures and one for overdue first tokens.
 */

import { type BreakerState } from './JayfallRoutingTables'

export interface BreakerLimits {
  /** Number of consecutive failures that open the breaker. */
  readonly failures: number
  /** Duration of the first opening. */
  readonly initialOpenMilliseconds: number
  /** Greatest duration of an opening. */
  readonly maximumOpenMilliseconds: number
}

export const CLOSED_BREAKER: BreakerState = { failures: 0, openUntil: -Infinity, openDuration: 0, isProbing: false }

/** Returns whether an attempt may be sent now. */
export function mayDispatch (state: BreakerState, now: number): boolean {
  return state.openDuration === 0 || (now >= state.openUntil && !state.isProbing)
}

/** Returns the state after an attempt was sent. An attempt through an open breaker is its probe. */
export function recordDispatch (state: BreakerState): BreakerState {
  return state.openDuration === 0 ? state : { ...state, isProbing: true }
}

export function recordSuccess (): BreakerState {
  return CLOSED_BREAKER
}

/** Returns the state after an attempt that ended without a result, as after a cancellation. */
export function recordInconclusive (state: BreakerState): BreakerState {
  return state.isProbing ? { ...state, isProbing: false } : state
}

/** Returns the state after a failure. Enough consecutive failures open the breaker, and a failed probe doubles the duration of the opening. */
export function recordFailure (state: BreakerState, now: number, limits: BreakerLimits): BreakerState {
  const failures = state.failures + 1
  if (state.openDuration > 0) {
    // Failures of attempts that were sent before the opening give no new information.
    if (!state.isProbing) return state
    const openDuration = Math.min(state.openDuration * 2, limits.maximumOpenMilliseconds)
    return { failures, openUntil: now + openDuration, openDuration, isProbing: false }
  }
  if (failures < limits.failures) return { ...state, failures }
  return { failures, openUntil: now + limits.initialOpenMilliseconds, openDuration: limits.initialOpenMilliseconds, isProbing: false }
}
