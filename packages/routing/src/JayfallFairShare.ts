/** Max-min fair shares of a rate, as pure functions. */

/**
 * Returns the level up to which every demand is met, so that all together use `capacity`.
 * When the capacity exceeds all demands, the level is at least the largest demand.
 */
export function computeFairLevel (capacity: number, demands: readonly number[]): number {
  let remainingCapacity = Math.max(0, capacity)
  let remainingDemands = demands.length
  let level = remainingCapacity
  for (const demand of [...demands].sort((left, right) => left - right)) {
    level = remainingCapacity / remainingDemands
    if (demand >= level) return level
    remainingCapacity -= demand
    remainingDemands--
  }
  return Math.max(level, remainingCapacity)
}

/** Splits `capacity` over demands. Each demand is met up to the fair level, so that small demands are met in full. */
export function computeFairShares (capacity: number, demands: readonly number[]): readonly number[] {
  const level = computeFairLevel(capacity, demands)
  return demands.map(demand => Math.min(demand, level))
}
