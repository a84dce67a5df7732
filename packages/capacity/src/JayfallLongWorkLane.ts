/**
 * Keeps long prompts on a part of the servers, and limits the work that they bring there.
 *
 * Load that it answers: a few prompts that take a hundred times as long as the others. An engine reads prompts one after
 * another, whatever their priority, so a short prompt behind a long one misses its objective. Spread evenly, long prompts
 * hold up every server by turns. So those that are less urgent than others and can wait longer go to a lane: as many
 * servers of each zone as their work needs, and the others prefer the rest. All instances of a zone hear the same hints of
 * long prompts and so find the same lane.
 *
 * While a rollout is in progress, a request may go to the servers of one version only, and the versions get very different
 * parts of the work. So each version has a lane of its own.
 *
 * Running streams make hardly any progress on a server that reads long prompts all the time, and miss their deadlines. When
 * even the largest lane is too small for the work, fewer long prompts are asked again of a larger model, which reads them
 * several times as long as the smaller one. An instance that has just started begins with none: after the loss of many
 * instances, all their callers return at once, and the work of all instances is not known yet.
 */

import { halfLifeWeight } from '#jayfall/shared'

import { ESCALATION_OCCUPANCY, ESCALATION_STEP, LANE_OCCUPANCY, LANE_PRICE_MILLISECONDS, LANE_RATE_HALF_LIFE_MILLISECONDS, LARGEST_LANE_SHARE, LEAST_LONG_OCCUPANCY, LEAST_RECORDED_WORK_MILLISECONDS, LONG_PREFILL_MILLISECONDS, MAXIMUM_CROWDING, SMALLEST_LANE_SHARE } from './JayfallCapacityConstants'

/** A server that is in use. */
export interface LaneServer {
  readonly id: string
  readonly zone: string
  readonly version: string
  readonly affinityHash: number
}

/** The lane of the servers of one version of a service. */
interface Lane {
  readonly servers: ReadonlySet<string>
  /** Estimated milliseconds by which a long prompt that is not known yet delays another one there. */
  readonly price: number
  readonly escalationFactor: number
}

interface WorkSum {
  /** Milliseconds of prefill, in which older ones count less; as of `updatedAt`. */
  readonly sum: number
  readonly updatedAt: number
}

export class LongWorkLanes {
  /** Long work by service, version and zone. */
  private readonly work = new Map<string, WorkSum>()
  /** Lanes by service and version. */
  private readonly lanes = new Map<string, ReadonlyMap<string, Lane>>()

  constructor (private readonly ownZone: string) {}

  /** Whether a prompt of so many milliseconds of prefill belongs to the lane. */
  isLong (prefillTime: number): boolean {
    return prefillTime >= LONG_PREFILL_MILLISECONDS
  }

  /** Records that a long prompt is sent to a server, by any instance. */
  record (service: string, { zone, version }: Pick<LaneServer, 'zone' | 'version'>, prefillTime: number, now: number): void {
    const key = keyOf(service, version, zone)
    this.work.set(key, { sum: this.sumOf(key, now) + prefillTime, updatedAt: now })
  }

  /** Determines the lanes anew; called at an interval with the servers of the service that are in use. */
  update (service: string, servers: readonly LaneServer[], now: number): void {
    this.forgetOldWork(now)
    const known = this.lanes.get(service)
    const firstFactor = known === undefined ? 0 : 1
    const versions = new Set(servers.map(({ version }) => version))
    this.lanes.set(service, new Map([...versions].map(version => {
      const ofVersion = servers.filter(server => server.version === version)
      return [version, this.determineLane(service, version, ofVersion, known?.get(version)?.escalationFactor ?? firstFactor, now)]
    })))
  }

  /** Number of servers of the service that long prompts are kept on. */
  sizeOf (service: string): number {
    return [...this.lanes.get(service)?.values() ?? []].reduce((sum, { servers }) => sum + servers.size, 0)
  }

  /** Whether long prompts are kept on this server. */
  isInLane (service: string, { id, version }: Pick<LaneServer, 'id' | 'version'>): boolean {
    return this.lanes.get(service)?.get(version)?.servers.has(id) === true
  }

  /** Estimated milliseconds by which a server is worse for a short prompt because long ones are kept on it; 0 outside the lane. */
  price (service: string, { id, version }: Pick<LaneServer, 'id' | 'version'>): number {
    const lane = this.lanes.get(service)?.get(version)
    return lane?.servers.has(id) === true ? lane.price : 0
  }

  /** The factor, from 0 to 1, for the confidence below which a long prompt is asked again of a larger model. It falls as long as the lane of the version has more work than it can take, and rises from 0 after the start. */
  escalationFactor (service: string, version: string): number {
    const lanes = this.lanes.get(service)
    return lanes === undefined ? 0 : lanes.get(version)?.escalationFactor ?? 1
  }

  /** The lowest escalation factor of the versions of the service. */
  lowestEscalationFactor (service: string): number {
    return Math.min(1, ...[...this.lanes.get(service)?.values() ?? []].map(({ escalationFactor }) => escalationFactor))
  }

  private determineLane (service: string, version: string, servers: readonly LaneServer[], escalationFactor: number, now: number): Lane {
    const own = servers.filter(({ zone }) => zone === this.ownZone)
    // Instances are told of the prompts of their own zone, or of all when it has no servers.
    const known = own.length > 0 ? own : servers
    const occupied = this.occupiedServers(service, version, known, now)
    const share = occupied < LEAST_LONG_OCCUPANCY ? 0 : Math.max(SMALLEST_LANE_SHARE, Math.min(LARGEST_LANE_SHARE, occupied / LANE_OCCUPANCY / known.length))
    const crowding = Math.min(MAXIMUM_CROWDING, occupied / (ESCALATION_OCCUPANCY * LARGEST_LANE_SHARE * known.length))
    const laneOccupancy = share === 0 ? 0 : occupied / (LANE_OCCUPANCY * share * known.length)
    return { servers: firstOfEachZone(servers, share), price: LANE_PRICE_MILLISECONDS * Math.min(1, laneOccupancy), escalationFactor: Math.max(0, Math.min(1, escalationFactor + ESCALATION_STEP * (1 - crowding))) }
  }

  /** The number of servers that long prompts would occupy all the time. */
  private occupiedServers (service: string, version: string, servers: readonly LaneServer[], now: number): number {
    const zones = new Set(servers.map(({ zone }) => zone))
    return [...zones].reduce((sum, zone) => sum + this.sumOf(keyOf(service, version, zone), now), 0) * Math.LN2 / LANE_RATE_HALF_LIFE_MILLISECONDS
  }

  /** Forgets the work of versions and zones that get none any longer. */
  private forgetOldWork (now: number): void {
    for (const key of [...this.work.keys()]) if (this.sumOf(key, now) < LEAST_RECORDED_WORK_MILLISECONDS) this.work.delete(key)
  }

  private sumOf (key: string, now: number): number {
    const known = this.work.get(key)
    return known === undefined ? 0 : known.sum * halfLifeWeight(now - known.updatedAt, LANE_RATE_HALF_LIFE_MILLISECONDS)
  }
}

/** The same share of the servers of each zone, in the order of their hashes. */
function firstOfEachZone (servers: readonly LaneServer[], share: number): ReadonlySet<string> {
  const zones = new Set(servers.map(({ zone }) => zone))
  return new Set([...zones].flatMap(zone => {
    const inZone = servers.filter(server => server.zone === zone).sort((left, right) => left.affinityHash - right.affinityHash)
    return inZone.slice(0, Math.ceil(inZone.length * share)).map(({ id }) => id)
  }))
}

function keyOf (service: string, version: string, zone: string): string {
  return JSON.stringify([service, version, zone])
}
