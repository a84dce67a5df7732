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

/** A smaller part of a limit counts as none, as dividing by the smallest numbers overflows. */
const SMALLEST_DEMAND = 1e-9

/** The part of the limit that `participants[self]` may admit. */
export function allocate (participants: readonly Participant[], self: number, { floor, reserve }: AllocationRules): number {
  let sizes = 0
  let highest = 0
  for (const { demand, size } of participants) {
    sizes += size
    highest = Math.max(highest, demand)
  }
  const own = participants[self]
  if (highest < SMALLEST_DEMAND) return own.size / sizes
  return Math.max(own.demand * findFactor(participants, floor / sizes, reserve / sizes), floor * own.size / sizes)
}

/**
 * The factor for which the sum of max(factor × demand, fixed use) is 1. A participant whose part
 * would fall below its fixed use takes that, which lowers the factor for the others.
 */
function findFactor (participants: readonly Participant[], floor: number, reserve: number): number {
  for (let factor = Infinity; ;) {
    let fixed = 0
    let demands = 0
    for (const { demand, size } of participants) {
      const used = Math.max(Math.min(demand, floor * size), reserve * size)
      if (demand < SMALLEST_DEMAND || demand * factor < used) fixed += used
      else demands += demand
    }
    const next = demands === 0 ? 0 : Math.max(0, (1 - fixed) / demands)
    if (next >= factor || demands === 0) return next
    factor = next
  }
}
