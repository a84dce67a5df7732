/**
 * Divides a limit among participants by their demand.
 *
 * Each participant may use its guaranteed minimum share (its floor) at any time, and the others leave
 * its part of the reserve free. The participants may have different views of the demands. As long as
 * each one counts its own demand no higher than the others know it, the admitted sum exceeds the
 * limit by at most the part of the floors that is not reserved.
 */

/** A demand as a fraction of the limit, and the number of instances behind it. */
export interface Participant {
  readonly demand: number
  readonly size: number
}

export interface AllocationRules {
  /** Fraction of the limit that the guaranteed minimum shares of all participants add up to. */
  readonly floor: number
  /** Fraction of the limit that is kept free for participants whose demand is not known yet. */
  readonly reserve: number
}

/**
 * The fraction of the limit that `participants[self]` may admit.
 *
 * When the demands add up to less than the limit without the reserve, each is granted in full and the remainder
 * is divided by size, so that participants without known demand can start immediately. Otherwise the limit
 * without the reserve is divided in proportion to the demands, and the reserve by size.
 */
export function allocate (participants: readonly Participant[], self: number, { floor, reserve }: AllocationRules): number {
  let totalSize = 0
  let totalDemand = 0
  for (const { demand, size } of participants) {
    totalSize += size
    totalDemand += demand
  }
  const own = participants[self]
  const weight = own.size / totalSize
  const divisible = 1 - reserve
  const fraction = totalDemand <= divisible
    ? own.demand + (1 - totalDemand) * weight
    : divisible * own.demand / totalDemand + reserve * weight
  return Math.max(fraction, floor * weight)
}
