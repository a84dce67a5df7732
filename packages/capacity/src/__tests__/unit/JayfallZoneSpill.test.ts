/** Tests of the share of requests that leaves a zone, with zones whose load follows the decisions with a delay. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { ZoneSpill, type ZoneLoad } from '../../JayfallZoneSpill'

const SERVICE = 'engines'
const STEP_MILLISECONDS = 100
/** Load follows the requests by about the duration of an answer. */
const ANSWER_MILLISECONDS = 1500

interface Zone {
  readonly name: string
  readonly slots: number
  /** Slots that the zone's own demand needs. */
  readonly demand: number
}

/** Zones that each send a share of their demand to the others. */
class ZonesUnderLoad {
  private readonly spills: ReadonlyMap<string, ZoneSpill>
  private loads: ReadonlyMap<string, ZoneLoad>

  constructor (private readonly zones: readonly Zone[]) {
    this.spills = new Map(zones.map(({ name }) => [name, new ZoneSpill(name)]))
    this.loads = new Map(zones.map(({ name, slots }) => [name, { load: 0, slots }]))
  }

  /** Yields the leaving share of the first zone at each step. */
  * play (seconds: number): Generator<number> {
    for (let now = 0; now < seconds * 1000; now += STEP_MILLISECONDS) {
      for (const spill of this.spills.values()) spill.update(SERVICE, this.loads, now)
      this.loads = new Map(this.zones.map(zone => [zone.name, this.nextLoad(zone)]))
      yield this.shareOf(this.zones[0].name)
    }
  }

  occupancy (name: string): number {
    const { load, slots } = this.loads.get(name) ?? { load: 0, slots: 1 }
    return load / slots
  }

  private shareOf (name: string): number {
    return this.spills.get(name)?.leavingShare(SERVICE) ?? 0
  }

  private nextLoad ({ name, slots, demand }: Zone): ZoneLoad {
    const others = this.zones.filter(zone => zone.name !== name)
    const arriving = others.reduce((sum, other) => sum + other.demand * this.shareOf(other.name) * slots / this.slotsBeside(other.name), 0)
    const wanted = demand * (1 - this.shareOf(name)) + arriving
    const load = this.loads.get(name)?.load ?? 0
    return { slots, load: load + (wanted - load) * STEP_MILLISECONDS / ANSWER_MILLISECONDS }
  }

  private slotsBeside (name: string): number {
    return this.zones.filter(zone => zone.name !== name).reduce((sum, { slots }) => sum + slots, 0)
  }
}

describe('ZoneSpill', () => {
  it('keeps requests at home while the own servers have room (guards against traffic between zones that gains nothing)', () => {
    const zones = new ZonesUnderLoad([{ name: 'a', slots: 100, demand: 45 }, { name: 'b', slots: 100, demand: 5 }])
    assert.equal(Math.max(...zones.play(20)), 0)
  })

  it('sends so many away that the own servers have room again when they are too few and others have room', () => {
    const zones = new ZonesUnderLoad([{ name: 'a', slots: 50, demand: 80 }, { name: 'b', slots: 150, demand: 40 }])
    const shares = [...zones.play(30)]
    assert.ok(zones.occupancy('a') < 0.9, `${zones.occupancy('a')} and ${zones.occupancy('b')}`)
    assert.ok(zones.occupancy('b') < zones.occupancy('a'))
    assert.ok((shares.at(-1) ?? 0) < 0.625, 'no more than makes the zones equally occupied')
  })

  it('settles instead of swinging between the zones', () => {
    const zones = new ZonesUnderLoad([{ name: 'a', slots: 60, demand: 70 }, { name: 'b', slots: 60, demand: 35 }, { name: 'c', slots: 60, demand: 35 }])
    const late = [...zones.play(40)].slice(-150)
    assert.ok(Math.max(...late) - Math.min(...late) <= 0.1, `${Math.min(...late)} to ${Math.max(...late)}`)
  })

  it('sends nothing to zones that are as short of room', () => {
    const zones = new ZonesUnderLoad([{ name: 'a', slots: 50, demand: 60 }, { name: 'b', slots: 50, demand: 60 }])
    assert.equal(Math.max(...zones.play(20)), 0)
  })

  it('sends everything away when the zone has no servers', () => {
    const spill = new ZoneSpill('a')
    for (let now = 0; now <= 1000; now += STEP_MILLISECONDS) spill.update(SERVICE, new Map([['b', { load: 10, slots: 50 }]]), now)
    assert.equal(spill.leavingShare(SERVICE), 1)
  })
})
