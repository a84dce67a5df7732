/** Max-min fair shares of a rate, as pure functions. */

/**
 * The level up to which every demand is met, so that all together use `capacity`.
 * With room for all demands it is at least the largest demand.
 */
export function computeFairLevel (capacity: number, demands: readonly number[]): number {
  let rest = Math.max(0, capacity)
  let waiting = demands.length
  let level = rest
  for (const demand of [...demands].sort((left, right) => left - right)) {
    level = rest / waiting
    if (demand >= level) return level
    rest -= demand
    waiting--
  }
  return Math.max(level, rest)
}

/** Splits `capacity` over demands: nobody gets more than it asks for, the modest are served in full. */
export function computeFairShares (capacity: number, demands: readonly number[]): readonly number[] {
  const level = computeFairLevel(capacity, demands)
  return demands.map(demand => Math.min(demand, level))
}
