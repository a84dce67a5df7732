/**
 * The split of a limit among participants by their demand.
 *
 * Each participant may use its floor at any time, and the others leave it room for its
 * reserve. Views of different participants may differ: as long as each counts its own demand
 * at most as high as the others know it, the admitted sum exceeds the limit at most
 * by the part of the floors that is not reserved.
 */

/** Demands are parts of the limit; sizes count instances. */
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

/** A smaller part of a limit counts as none. */
const SMALLEST_DEMAND = 1e-9

/** The part of the limit that `reported[self]` may admit. */
export function allocate (reported: readonly Participant[], self: number, { floor, reserve }: AllocationRules): number {
  // Dividing by the smallest numbers overflows.
  const participants = reported.map(({ demand, size }) => ({ demand: demand < SMALLEST_DEMAND ? 0 : demand, size }))
  const sizes = participants.reduce((sum, { size }) => sum + size, 0)
  const own = participants[self]
  if (participants.every(({ demand }) => demand <= 0)) return own.size / sizes
  const parts = participants.map(({ demand, size }) => ({
    demand,
    fixed: Math.max(Math.min(demand, floor * size / sizes), reserve * size / sizes)
  }))
  return Math.max(own.demand * findFactor(parts), floor * own.size / sizes)
}

interface Part {
  readonly demand: number
  /** Used whatever the factor is. */
  readonly fixed: number
}

/** The factor for which the sum of max(factor × demand, fixed) is 1. */
function findFactor (parts: readonly Part[]): number {
  // Above its threshold a part grows with the factor, below it is fixed; the sum is piecewise linear.
  const rising = parts.filter(({ demand }) => demand > 0).sort((left, right) => left.fixed / left.demand - right.fixed / right.demand)
  let fixed = parts.reduce((sum, part) => sum + part.fixed, 0)
  let demand = 0
  for (const [index, part] of rising.entries()) {
    fixed -= part.fixed
    demand += part.demand
    const factor = (1 - fixed) / demand
    const next = rising[index + 1]
    if (next === undefined || factor <= next.fixed / next.demand) return Math.max(factor, 0)
  }
  return 0
}
