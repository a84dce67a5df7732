/**
 * The split of a limit among participants by their demand.
 *
 * Each participant may use its floor at any time, and the others leave it room for its
 * reserve. Views of different participants may differ: as long as each counts its own demand
 * at most as high as the others know it, the admitted sum exceeds the limit at most
 * by the part of the floors that is not reserved.
 */

/** A demand as a part of the limit, and how many instances it stands for. */
export interface Participant {
  readonly demand: number
  readonly size: number
}

export interface AllocationRules {
  /** The part of the limit that all floors add up to. */
  readonly floor: number
  /** The part of the limit that is kept free for participants whose demand is not known yet. */
  readonly reserve: number
}

/**
 * The part of the limit that `participants[self]` may admit.
 *
 * Demands below the limit are met, and what they leave is split equally, so that participants
 * without known demand can start at once. Demands above it share what the reserves leave in proportion.
 */
export function allocate (participants: readonly Participant[], self: number, { floor, reserve }: AllocationRules): number {
  let sizes = 0
  let demands = 0
  for (const { demand, size } of participants) {
    sizes += size
    demands += demand
  }
  const own = participants[self]
  const weight = own.size / sizes
  const shared = 1 - reserve
  const part = demands <= shared
    ? own.demand + (1 - demands) * weight
    : shared * own.demand / demands + reserve * weight
  return Math.max(part, floor * weight)
}
