/**
 * Decides when a request may leave the zone of its instance, and how many do.
 *
 * Traffic between zones is slower and costs money, so requests stay in their zone as long as its servers have spare
 * capacity. When these are more occupied than the mean of all zones, a share of the requests may leave, which grows with
 * the difference. The share follows a moving average with a dead band and changes by small steps, because all instances
 * of a zone decide alike and the effect shows late.
 */

import { halfLifeWeight } from '#jayfall/shared'

import { LEAVING_PRICE_MILLISECONDS, LEAVING_SHARE_PER_EXCESS, MAXIMUM_SHARE_STEP, OCCUPANCY_DEAD_BAND, OCCUPANCY_HALF_LIFE_MILLISECONDS, SPARE_OCCUPANCY } from './JayfallCapacityConstants'

/** What is known of the servers of one zone. */
export interface ZoneLoad {
  /** Requests that run or wait. */
  readonly load: number
  readonly slots: number
}

/** Which requests may go to servers of other zones, and at which price. */
export abstract class ZonePolicy {
  /** Milliseconds of estimated time by which a server of another zone has to be better. */
  abstract readonly price: number
  /** @param draw a number in [0, 1) that is the same for all decisions about one attempt. */
  abstract mayLeave (service: string, draw: number): boolean
}

/** Lets every request leave at one price. */
export class FixedZonePolicy extends ZonePolicy {
  constructor (override readonly price: number) {
    super()
  }

  override mayLeave (): boolean {
    return true
  }
}

interface ServiceZones {
  /** Moving averages of the occupied share of the slots, by zone. */
  readonly occupancies: ReadonlyMap<string, number>
  /** Share of the own zone's requests that may leave. */
  readonly leavingShare: number
  readonly updatedAt: number
}

/** Lets requests leave while the own servers are short of room. */
export class ZoneSpill extends ZonePolicy {
  override readonly price = LEAVING_PRICE_MILLISECONDS
  private readonly services = new Map<string, ServiceZones>()

  constructor (private readonly ownZone: string) {
    super()
  }

  override mayLeave (service: string, draw: number): boolean {
    return draw < this.leavingShare(service)
  }

  leavingShare (service: string): number {
    return this.services.get(service)?.leavingShare ?? 0
  }

  /** Takes in the load of the service's servers that are in use, by zone; called at an interval. */
  update (service: string, loads: ReadonlyMap<string, ZoneLoad>, now: number): void {
    const known = this.services.get(service)
    const weight = known === undefined ? 0 : halfLifeWeight(now - known.updatedAt, OCCUPANCY_HALF_LIFE_MILLISECONDS)
    const occupancies = new Map([...loads].filter(([, { slots }]) => slots > 0).map(([zone, { load, slots }]) => {
      const before = known?.occupancies.get(zone) ?? load / slots
      return [zone, before * weight + load / slots * (1 - weight)]
    }))
    const share = known?.leavingShare ?? 0
    const change = this.wantedShare(occupancies, loads) - share
    this.services.set(service, { occupancies, leavingShare: share + Math.max(-MAXIMUM_SHARE_STEP, Math.min(MAXIMUM_SHARE_STEP, change)), updatedAt: now })
  }

  /** The share that should leave at these occupancies. It follows from the present ones alone: a sum over time would go on growing while the effect of earlier decisions is still on its way. */
  private wantedShare (occupancies: ReadonlyMap<string, number>, loads: ReadonlyMap<string, ZoneLoad>): number {
    const own = occupancies.get(this.ownZone)
    // Without servers of its own, the zone can only send its requests away.
    if (own === undefined) return 1
    if (own < SPARE_OCCUPANCY) return 0
    const slots = [...loads.values()].reduce((sum, zone) => sum + zone.slots, 0)
    const mean = [...occupancies].reduce((sum, [zone, occupancy]) => sum + occupancy * (loads.get(zone)?.slots ?? 0), 0) / slots
    const excess = (own - mean) / own
    return Math.max(0, Math.min(1, (excess - OCCUPANCY_DEAD_BAND) * LEAVING_SHARE_PER_EXCESS))
  }
}
