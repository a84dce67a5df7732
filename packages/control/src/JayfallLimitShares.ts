/**
 * Computes this instance's shares of the workspaces' limits.
 *
 * A limit is divided between the zones by their demands, and each zone's part between its members.
 * A decrease of an instance's own demand counts immediately. An increase counts only after the other instances
 * have had time to receive it, so that the shares of all instances add up to little more than the limit.
 */

import { type WorkspaceEntry } from '#jayfall/catalogue'
import { type Clock } from '#jayfall/shared'

import { allocate, type Participant } from './JayfallAllocation'
import { MEMBER_FLOOR, MEMBER_RESERVE, MEMBER_RISE_DELAY_MILLISECONDS, ZONE_SHARE_RETENTION_MILLISECONDS, ZONE_FLOOR, ZONE_UNREACHABLE_AFTER_MILLISECONDS, ZONE_RISE_DELAY_MILLISECONDS } from './JayfallControlConstants'
import { type Demand, type Demands } from './JayfallDemand'

/** The work of one workspace that this instance may admit. */
export interface LimitShare {
  readonly workspace: string
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  readonly concurrentRequests: number
}

/** The properties of another zone that determine the shares. */
export interface OtherZone {
  readonly zone: string
  readonly members: number
  readonly demands: Demands
  /** Milliseconds since the last newer summary of the zone arrived. */
  readonly silence: number
}

/** The demands from which the shares are computed. */
export interface ShareInputs {
  /** This instance's demands as reported to the other members. */
  readonly ownDemands: Demands
  readonly otherMembers: readonly Demands[]
  /** The demands of the own zone as its summary reports them to the other zones. */
  readonly zoneDemands: Demands
  readonly otherZones: readonly OtherZone[]
}

type Measure = keyof Demand

const MEASURES = ['requests', 'tokens'] as const
const MEMBER_RULES = { floor: MEMBER_FLOOR, reserve: MEMBER_RESERVE }
const ZONE_RULES = { floor: ZONE_FLOOR, reserve: ZONE_FLOOR }

/** Sliding-window minimum of demands. */
class DemandWindow {
  private history: readonly { readonly at: number, readonly demands: Demands }[] = []

  /** @param length length of the window, in milliseconds. */
  constructor (private readonly length: number) {}

  add (now: number, demands: Demands): void {
    const start = now - this.length
    // The newest entry from before the window applies at the start of the window.
    const first = this.history.findLastIndex(({ at }) => at <= start)
    this.history = [...this.history.slice(Math.max(first, 0)), { at: now, demands }]
  }

  minimum (workspace: string, measure: Measure): number {
    return Math.min(...this.history.map(({ demands }) => demands.get(workspace)?.[measure] ?? 0))
  }
}

/** Computes the shares once a second. */
export class LimitShares {
  private readonly ownWindow = new DemandWindow(MEMBER_RISE_DELAY_MILLISECONDS)
  private readonly zoneWindow = new DemandWindow(ZONE_RISE_DELAY_MILLISECONDS)
  /** The own zone's fractions of the limits when all zones were last reachable, by workspace and measure. */
  private lastZoneFractions = new Map<string, number>()
  /** Monotonic milliseconds since which another zone has been unreachable; undefined when all are reachable. */
  private partitionedSince: number | undefined

  constructor (private readonly clock: Clock) {}

  update (workspaces: readonly WorkspaceEntry[], inputs: ShareInputs): readonly LimitShare[] {
    const now = this.clock.monotonic()
    this.ownWindow.add(now, inputs.ownDemands)
    this.zoneWindow.add(now, inputs.zoneDemands)
    const isPartitioned = inputs.otherZones.some(({ silence }) => silence >= ZONE_UNREACHABLE_AFTER_MILLISECONDS)
    this.partitionedSince = isPartitioned ? this.partitionedSince ?? now : undefined
    const shares = workspaces.map(workspace => this.share(workspace, inputs, now))
    this.removeDeletedWorkspaces(workspaces)
    return shares
  }

  private share ({ id, limits }: WorkspaceEntry, inputs: ShareInputs, now: number): LimitShare {
    const [requests, tokens] = MEASURES.map(measure => {
      const limit = measure === 'requests' ? limits.requestsPerSecond : limits.tokensPerSecond
      const zoneFraction = this.zoneFraction(id, measure, inputs, limit, now)
      return zoneFraction * this.memberFraction(id, measure, inputs, limit * zoneFraction)
    })
    return {
      workspace: id,
      requestsPerSecond: limits.requestsPerSecond * requests,
      tokensPerSecond: limits.tokensPerSecond * tokens,
      concurrentRequests: limits.concurrentRequests * requests
    }
  }

  private memberFraction (workspace: string, measure: Measure, inputs: ShareInputs, limit: number): number {
    const participants = [this.ownWindow.minimum(workspace, measure), ...inputs.otherMembers.map(demands => demands.get(workspace)?.[measure] ?? 0)]
    return allocate(participants.map((demand): Participant => ({ demand: demand / limit, size: 1 })), 0, MEMBER_RULES)
  }

  private zoneFraction (workspace: string, measure: Measure, inputs: ShareInputs, limit: number, now: number): number {
    const { otherZones } = inputs
    if (otherZones.length === 0) return 1
    const key = `${workspace}/${measure}`
    const equalFraction = 1 / (otherZones.length + 1)
    if (this.partitionedSince === undefined) {
      const own = { demand: this.zoneWindow.minimum(workspace, measure) / limit, size: inputs.otherMembers.length + 1 }
      const others = otherZones.map(({ members, demands }) => ({ demand: (demands.get(workspace)?.[measure] ?? 0) / limit, size: Math.max(members, 1) }))
      const fraction = allocate([own, ...others], 0, ZONE_RULES)
      this.lastZoneFractions.set(key, fraction)
      return fraction
    }
    const lastFraction = this.lastZoneFractions.get(key) ?? equalFraction
    const partitionDuration = now - this.partitionedSince
    if (partitionDuration < ZONE_SHARE_RETENTION_MILLISECONDS) return lastFraction
    // Zones detect the partition at different times, so those whose fraction decreases change first.
    return partitionDuration < ZONE_SHARE_RETENTION_MILLISECONDS + ZONE_RISE_DELAY_MILLISECONDS ? Math.min(lastFraction, equalFraction) : equalFraction
  }

  private removeDeletedWorkspaces (workspaces: readonly WorkspaceEntry[]): void {
    const known = new Set(workspaces.flatMap(({ id }) => MEASURES.map(measure => `${id}/${measure}`)))
    for (const key of this.lastZoneFractions.keys()) {
      if (!known.has(key)) this.lastZoneFractions.delete(key)
    }
  }
}
