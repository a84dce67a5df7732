/**
 * Keeps long prompts on a part of the servers.
 *
 * Load that it answers: a few prompts that take a hundred times as long as the others. An engine reads prompts one after
 * another, whatever their priority, so a short prompt behind a long one misses its objective. Spread evenly, long prompts
 * hold up every server by turns. So those that are less urgent than others go to a lane: as many servers of each zone as
 * their work needs, and the others prefer the rest. All instances of a zone hear the same hints of long prompts and so find the same lane.
 */

import { halfLifeWeight } from '#jayfall/shared'

import { LANE_OCCUPANCY, LANE_RATE_HALF_LIFE_MILLISECONDS, LARGEST_LANE_SHARE, LEAST_LONG_OCCUPANCY, LONG_PREFILL_MILLISECONDS, SMALLEST_LANE_SHARE } from './JayfallCapacityConstants'

/** A server that is in use. */
export interface LaneServer {
  readonly id: string
  readonly zone: string
  readonly affinityHash: number
}

interface WorkSum {
  /** Milliseconds of prefill, in which older ones count less; as of `updatedAt`. */
  readonly sum: number
  readonly updatedAt: number
}

export class LongWorkLanes {
  /** Long work by service and zone. */
  private readonly work = new Map<string, WorkSum>()
  private readonly lanes = new Map<string, ReadonlySet<string>>()

  constructor (private readonly ownZone: string) {}

  /** Whether a prompt of so many milliseconds of prefill belongs to the lane. */
  isLong (prefillTime: number): boolean {
    return prefillTime >= LONG_PREFILL_MILLISECONDS
  }

  /** Records that a long prompt is sent to a server of the zone, by any instance. */
  record (service: string, zone: string, prefillTime: number, now: number): void {
    const key = keyOf(service, zone)
    this.work.set(key, { sum: this.sumOf(key, now) + prefillTime, updatedAt: now })
  }

  /** Determines the lane anew; called at an interval with the servers of the service that are in use. */
  update (service: string, servers: readonly LaneServer[], now: number): void {
    const share = this.laneShare(service, servers, now)
    const zones = new Set(servers.map(({ zone }) => zone))
    this.lanes.set(service, new Set([...zones].flatMap(zone => {
      const inZone = servers.filter(server => server.zone === zone).sort((left, right) => left.affinityHash - right.affinityHash)
      return inZone.slice(0, Math.ceil(inZone.length * share)).map(({ id }) => id)
    })))
  }

  /** Number of servers of the service that long prompts are kept on. */
  sizeOf (service: string): number {
    return this.lanes.get(service)?.size ?? 0
  }

  /** Whether long prompts are kept on this server. */
  isInLane (service: string, server: string): boolean {
    return this.lanes.get(service)?.has(server) === true
  }

  /** The share of the servers that long prompts need. Instances are told of the prompts of their own zone, or of all when it has no servers. */
  private laneShare (service: string, servers: readonly LaneServer[], now: number): number {
    const own = servers.filter(({ zone }) => zone === this.ownZone)
    const known = own.length > 0 ? own : servers
    const zones = new Set(known.map(({ zone }) => zone))
    const occupied = [...zones].reduce((sum, zone) => sum + this.sumOf(keyOf(service, zone), now), 0) * Math.LN2 / LANE_RATE_HALF_LIFE_MILLISECONDS
    return known.length === 0 || occupied < LEAST_LONG_OCCUPANCY ? 0 : Math.max(SMALLEST_LANE_SHARE, Math.min(LARGEST_LANE_SHARE, occupied / LANE_OCCUPANCY / known.length))
  }

  private sumOf (key: string, now: number): number {
    const known = this.work.get(key)
    return known === undefined ? 0 : known.sum * halfLifeWeight(now - known.updatedAt, LANE_RATE_HALF_LIFE_MILLISECONDS)
  }
}

function keyOf (service: string, zone: string): string {
  return JSON.stringify([service, zone])
}
