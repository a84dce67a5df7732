/** Tests of the choice of the instance that takes a request, at 3 to 890 instances some of which are cut off as well. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { MAXIMUM_RELAYS_PER_REQUEST, MAXIMUM_UNABLE_INSTANCES, RELAY_PAUSE_MILLISECONDS } from '../../JayfallForwardingConstants'
import { RelayTargets, type RelayTarget } from '../../JayfallRelayTargets'
import { ZONES, Simulation } from './JayfallRumorNetwork'

const SERVICE = 'guide'
const REQUESTS_PER_SECOND = 25
const ANSWER_MILLISECONDS = 400
const SECONDS = 2

/** Instances of four zones, each with callers. Those that are cut off hand all their requests to others. */
class CutFleet {
  served = 0
  refused = 0
  /** Relays that were offered, with those that were not taken. */
  offers = 0
  /** Relays that each instance took. */
  readonly taken: number[]
  private readonly simulation = new Simulation()
  private readonly fleet: readonly RelayTarget[]
  private readonly targets: readonly RelayTargets[]

  constructor (readonly size: number, private readonly isCut: (index: number) => boolean) {
    this.fleet = Array.from({ length: size }, (_, index) => ({ id: `entry-${index}`, zone: ZONES[index % ZONES.length], address: String(index) }))
    this.taken = Array<number>(size).fill(0)
    this.targets = this.fleet.map(({ id, zone }, own) => {
      const targets = new RelayTargets(id, zone)
      targets.setTargets(this.fleet.filter((_, index) => index !== own))
      return targets
    })
  }

  run (): this {
    const cut = this.fleet.map((_, index) => index).filter(index => this.isCut(index))
    for (let request = 0; request < REQUESTS_PER_SECOND * SECONDS; request++) {
      for (const index of cut) this.simulation.after(1 + request * 1000 / REQUESTS_PER_SECOND + index % 17, () => this.serve(index, `${index}/${request}`))
    }
    this.simulation.runFor(SECONDS * 1000 + ANSWER_MILLISECONDS * 2)
    return this
  }

  private serve (index: number, request: string): void {
    const targets = this.targets[index]
    const excluded = new Set<string>()
    for (let relay = 0; relay < MAXIMUM_RELAYS_PER_REQUEST; relay++) {
      const target = targets.select(SERVICE, request, excluded, this.simulation.clock.monotonic())
      if (target === undefined) break
      this.offers++
      excluded.add(target.id)
      if (this.isCut(Number(target.address))) {
        targets.recordUnable(target.id, SERVICE, this.simulation.clock.monotonic())
        continue
      }
      this.served++
      this.taken[Number(target.address)]++
      targets.recordSent(target.id, SERVICE)
      this.simulation.after(ANSWER_MILLISECONDS, () => {
        targets.recordEnd(target.id, SERVICE)
        targets.recordAble(target.id, SERVICE)
      })
      return
    }
    this.refused++
  }
}

const OWN_REQUESTS = REQUESTS_PER_SECOND * SECONDS

describe('RelayTargets', () => {
  for (const size of [3, 9, 195, 890]) {
    describe(`at ${size} instances`, () => {
      it('finds an instance for each request when a sixteenth is cut off, and spreads them (guards against instances that drown in the requests of others)', () => {
        const cut = Math.max(1, Math.round(size / 16))
        const fleet = new CutFleet(size, index => index < cut).run()
        assert.equal(fleet.refused, 0)
        assert.ok(fleet.offers < fleet.served * 1.05, `${fleet.offers} offers for ${fleet.served} requests`)
        const most = Math.max(...fleet.taken)
        const mean = fleet.served / (size - cut)
        assert.ok(most <= Math.max(mean * 2, OWN_REQUESTS / 2), `one instance took ${most}, the mean is ${mean}`)
      })

      it('serves nearly all when two thirds are cut off', () => {
        const fleet = new CutFleet(size, index => index % 3 !== 0).run()
        assert.ok(fleet.served / (fleet.served + fleet.refused) > 0.95, `${fleet.refused} refused, ${fleet.served} served`)
      })

      it('asks few when nobody reaches the servers (guards against a storm of relays)', () => {
        const fleet = new CutFleet(size, () => true).run()
        assert.equal(fleet.served, 0)
        const perSecond = fleet.offers / size / SECONDS
        assert.ok(perSecond <= MAXIMUM_UNABLE_INSTANCES * 1000 / RELAY_PAUSE_MILLISECONDS + MAXIMUM_UNABLE_INSTANCES, `${perSecond} offers a second and instance`)
      })
    })
  }

  // All instances of a zone but one are cut off, and that one would get their callers beside its own.
  it('leaves no more than half of a zone to its last instance (guards against an instance that takes all requests of its zone)', () => {
    for (const size of [12, 196]) {
      const last = 0
      const fleet = new CutFleet(size, index => index % ZONES.length === 0 && index !== last).run()
      assert.equal(fleet.refused, 0)
      assert.ok(fleet.taken[last] <= fleet.served / 2, `${fleet.taken[last]} of ${fleet.served}`)
    }
  })

  it('prefers instances of its own zone', () => {
    const fleet = new CutFleet(196, index => index === 0).run()
    const own = fleet.taken.filter((_, index) => index % ZONES.length === 0).reduce((sum, count) => sum + count, 0)
    assert.equal(own, fleet.served)
  })

  it('forgets instances that are not listed any more', () => {
    const targets = new RelayTargets('entry', 'valdivia')
    targets.setTargets([{ id: 'a', zone: 'valdivia', address: '1' }])
    targets.recordUnable('a', SERVICE, 0)
    targets.setTargets([])
    assert.equal(targets.isAvailable(SERVICE, 0), false)
    targets.setTargets([{ id: 'a', zone: 'valdivia', address: '1' }])
    assert.ok(targets.isAvailable(SERVICE, 0))
  })
})
