/**
 * This instance's shares of the workspaces' limits.
 *
 * A limit is split between zones by their demands, and within the zone between its members.
 * A fall of the own demand counts at once and a rise only after the others have had the time
 * to learn of it, so that the shares of all instances do not add up to much more than the limit.
 */

import { type WorkspaceEntry } from '#jayfall/catalogue'
import { type Clock } from '#jayfall/shared'

import { allocate, type Participant } from './JayfallAllocation'
import { MEMBER_FLOOR, MEMBER_RESERVE, MEMBER_RISE_DELAY_MILLISECONDS, SPLIT_KEPT_MILLISECONDS, ZONE_FLOOR, ZONE_LOST_AFTER_MILLISECONDS, ZONE_RISE_DELAY_MILLISECONDS } from './JayfallControlConstants'
import { type Demand, type Demands } from './JayfallDemand'

/** What the instance may admit of one workspace. */
export interface LimitShare {
  readonly workspace: string
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  readonly concurrentRequests: number
}

/** Another zone as the shares see it. */
export interface ZoneView {
  readonly zone: string
  readonly members: number
  readonly demands: Demands
  /** Milliseconds since a newer summary arrived. */
  readonly silence: number
}

export interface ShareView {
  /** As reported to the others. */
  readonly ownDemands: Demands
  readonly otherMembers: readonly Demands[]
  /** As the own zone's summary states them to the other zones. */
  readonly zoneDemands: Demands
  readonly otherZones: readonly ZoneView[]
}

type Measure = keyof Demand

const MEASURES = ['requests', 'tokens'] as const
const MEMBER_RULES = { floor: MEMBER_FLOOR, reserve: MEMBER_RESERVE }
const ZONE_RULES = { floor: ZONE_FLOOR, reserve: ZONE_FLOOR }

/** The lowest demands over a sliding window. */
class DemandWindow {
  private history: readonly { readonly at: number, readonly demands: Demands }[] = []

  constructor (private readonly length: number) {}

  add (now: number, demands: Demands): void {
    const start = now - this.length
    // The newest entry from before the window was in force at its start.
    const first = this.history.findLastIndex(({ at }) => at <= start)
    this.history = [...this.history.slice(Math.max(first, 0)), { at: now, demands }]
  }

  lowest (workspace: string, measure: Measure): number {
    return Math.min(...this.history.map(({ demands }) => demands.get(workspace)?.[measure] ?? 0))
  }
}

/** Computes the shares once a second. */
export class LimitShares {
  private readonly own = new DemandWindow(MEMBER_RISE_DELAY_MILLISECONDS)
  private readonly zone = new DemandWindow(ZONE_RISE_DELAY_MILLISECONDS)
  /** The own zone's parts at the last time when all zones were in contact. */
  private keptSplit = new Map<string, number>()
  private splitSince: number | undefined

  constructor (private readonly clock: Clock) {}

  update (workspaces: readonly WorkspaceEntry[], view: ShareView): readonly LimitShare[] {
    const now = this.clock.monotonic()
    this.own.add(now, view.ownDemands)
    this.zone.add(now, view.zoneDemands)
    const isSplit = view.otherZones.some(({ silence }) => silence >= ZONE_LOST_AFTER_MILLISECONDS)
    this.splitSince = isSplit ? this.splitSince ?? now : undefined
    const shares = workspaces.map(workspace => this.share(workspace, view, now))
    this.forgetRemoved(workspaces)
    return shares
  }

  private share ({ id, limits }: WorkspaceEntry, view: ShareView, now: number): LimitShare {
    const [requests, tokens] = MEASURES.map(measure => {
      const limit = measure === 'requests' ? limits.requestsPerSecond : limits.tokensPerSecond
      const zonePart = this.zonePart(id, measure, view, limit, now)
      return zonePart * this.memberPart(id, measure, view, limit * zonePart)
    })
    return {
      workspace: id,
      requestsPerSecond: limits.requestsPerSecond * requests,
      tokensPerSecond: limits.tokensPerSecond * tokens,
      concurrentRequests: limits.concurrentRequests * requests
    }
  }

  private memberPart (workspace: string, measure: Measure, view: ShareView, limit: number): number {
    const participants = [this.own.lowest(workspace, measure), ...view.otherMembers.map(demands => demands.get(workspace)?.[measure] ?? 0)]
    return allocate(participants.map((demand): Participant => ({ demand: demand / limit, size: 1 })), 0, MEMBER_RULES)
  }

  private zonePart (workspace: string, measure: Measure, view: ShareView, limit: number, now: number): number {
    const { otherZones } = view
    if (otherZones.length === 0) return 1
    const key = `${workspace}/${measure}`
    const equal = 1 / (otherZones.length + 1)
    if (this.splitSince === undefined) {
      const own = { demand: this.zone.lowest(workspace, measure) / limit, size: view.otherMembers.length + 1 }
      const others = otherZones.map(({ members, demands }) => ({ demand: (demands.get(workspace)?.[measure] ?? 0) / limit, size: Math.max(members, 1) }))
      const part = allocate([own, ...others], 0, ZONE_RULES)
      this.keptSplit.set(key, part)
      return part
    }
    const kept = this.keptSplit.get(key) ?? equal
    const age = now - this.splitSince
    if (age < SPLIT_KEPT_MILLISECONDS) return kept
    // Zones notice the loss at different times: those that lose by the equal split go first.
    return age < SPLIT_KEPT_MILLISECONDS + ZONE_RISE_DELAY_MILLISECONDS ? Math.min(kept, equal) : equal
  }

  private forgetRemoved (workspaces: readonly WorkspaceEntry[]): void {
    const known = new Set(workspaces.flatMap(({ id }) => MEASURES.map(measure => `${id}/${measure}`)))
    for (const key of this.keptSplit.keys()) {
      if (!known.has(key)) this.keptSplit.delete(key)
    }
  }
}
