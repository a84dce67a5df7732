/** Tests of the lane of long prompts, with simulated engines that read one prompt after another. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { hashName, quantileOf, RandomSource } from '#jayfall/shared'

import { LongWorkLanes } from '../../JayfallLongWorkLane'

const SERVICE = 'engines'
const SERVERS = Array.from({ length: 20 }, (_, index) => ({ id: `s${index}`, zone: 'a', version: 'v1', affinityHash: hashName(`s${index}`) }))
const PLACE = { zone: 'a', version: 'v1' }
const SHORT_MILLISECONDS = 10
const LONG_MILLISECONDS = 800
const SHORT_PER_SECOND = 200
const LONG_PER_SECOND = 6

function laneSize (lanes: LongWorkLanes): number {
  return SERVERS.filter(server => lanes.isInLane(SERVICE, server)).length
}

/** Plays prompts that arrive at random, and returns how long short and long ones wait at the 95th percentile. */
function play (hasLane: boolean): { readonly short: number, readonly long: number } {
  const [random, lanes] = [new RandomSource(1), new LongWorkLanes('a')]
  const busyUntil = new Map(SERVERS.map(({ id }) => [id, 0]))
  const waits = { short: [] as number[], long: [] as number[] }
  for (let now = 0; now < 30_000; now += random.exponential(1000 / (SHORT_PER_SECOND + LONG_PER_SECOND))) {
    const isLong = random.chance(LONG_PER_SECOND / (SHORT_PER_SECOND + LONG_PER_SECOND))
    lanes.update(SERVICE, SERVERS, now)
    const lane = SERVERS.filter(server => lanes.isInLane(SERVICE, server) === isLong)
    const { id } = random.pick(hasLane && lane.length > 0 ? lane : SERVERS) ?? SERVERS[0]
    const wait = Math.max(0, (busyUntil.get(id) ?? 0) - now)
    waits[isLong ? 'long' : 'short'].push(wait)
    busyUntil.set(id, now + wait + (isLong ? LONG_MILLISECONDS : SHORT_MILLISECONDS))
    if (isLong) lanes.record(SERVICE, PLACE, LONG_MILLISECONDS, now)
  }
  return { short: quantileOf(waits.short, 0.95), long: quantileOf(waits.long, 0.95) }
}

describe('LongWorkLanes', () => {
  it('are empty without long prompts', () => {
    const lanes = new LongWorkLanes('a')
    lanes.update(SERVICE, SERVERS, 1000)
    assert.equal(laneSize(lanes), 0)
  })

  it('grow with the work of long prompts, and leave servers to the others', () => {
    const lanes = new LongWorkLanes('a')
    for (let now = 0; now < 20_000; now += 100) lanes.record(SERVICE, PLACE, 200, now)
    lanes.update(SERVICE, SERVERS, 20_000)
    assert.ok(laneSize(lanes) >= 4 && laneSize(lanes) <= 7, String(laneSize(lanes)))
    for (let now = 20_000; now < 40_000; now += 10) lanes.record(SERVICE, PLACE, 500, now)
    lanes.update(SERVICE, SERVERS, 40_000)
    assert.equal(laneSize(lanes), 7)
  })

  it('have the same part of the servers in zones whose prompts the instance does not hear of', () => {
    const lanes = new LongWorkLanes('a')
    const servers = [...SERVERS, ...SERVERS.map(server => ({ ...server, id: `b-${server.id}`, zone: 'b' }))]
    for (let now = 0; now < 20_000; now += 100) lanes.record(SERVICE, PLACE, 200, now)
    lanes.update(SERVICE, servers, 20_000)
    assert.equal(servers.filter(server => server.zone === 'b' && lanes.isInLane(SERVICE, server)).length, laneSize(lanes))
  })

  it('of each version follow the work of that version (guards against a lane that is full because servers of the other version, which its prompts may not use, count as part of it)', () => {
    const lanes = new LongWorkLanes('a')
    const servers = [...SERVERS, ...SERVERS.map(server => ({ ...server, id: `new-${server.id}`, version: 'v2' }))]
    for (let now = 0; now < 20_000; now += 100) lanes.record(SERVICE, PLACE, 300, now)
    lanes.update(SERVICE, servers, 20_000)
    assert.ok(laneSize(lanes) >= 7, String(laneSize(lanes)))
    assert.equal(lanes.sizeOf(SERVICE), laneSize(lanes))
  })

  it('cost short prompts less the less they are occupied (guards against full servers beside a lane that is nearly idle)', () => {
    const lanes = new LongWorkLanes('a')
    const [server] = [...SERVERS].sort((left, right) => left.affinityHash - right.affinityHash)
    for (let now = 0; now < 20_000; now += 100) lanes.record(SERVICE, PLACE, 40, now)
    lanes.update(SERVICE, SERVERS, 20_000)
    const idlePrice = lanes.price(SERVICE, server)
    for (let now = 20_000; now < 40_000; now += 100) lanes.record(SERVICE, PLACE, 400, now)
    lanes.update(SERVICE, SERVERS, 40_000)
    assert.ok(idlePrice > 0 && idlePrice <= lanes.price(SERVICE, server) / 4, `${idlePrice} and ${lanes.price(SERVICE, server)}`)
    assert.equal(lanes.price(SERVICE, { id: 'other', version: 'v1' }), 0)
  })

  describe('with more work than the largest lane can take', () => {
    /** Plays ten seconds in which the work follows the escalation factor, and returns the mean factor of the last five. */
    function playEscalations (lanes: LongWorkLanes, milliseconds: number, startsAt: number): number {
      let sum = 0
      for (let now = startsAt; now < startsAt + 10_000; now += 100) {
        lanes.record(SERVICE, PLACE, milliseconds * lanes.escalationFactor(SERVICE, 'v1'), now)
        lanes.update(SERVICE, SERVERS, now)
        if (now >= startsAt + 5000) sum += lanes.escalationFactor(SERVICE, 'v1') / 50
      }
      return sum
    }

    // The largest lane has 7 of 20 servers, and takes 420 ms of work in 100 ms.
    it('let fewer long prompts be asked again, as many as the lane can take (guards against streams that make no progress beside prompts that are read all the time)', () => {
      const factor = playEscalations(new LongWorkLanes('a'), 1260, 0)
      assert.ok(factor > 0.23 && factor < 0.43, String(factor))
    })

    it('let all be asked again when the work is over', () => {
      const lanes = new LongWorkLanes('a')
      playEscalations(lanes, 1260, 0)
      assert.ok(playEscalations(lanes, 100, 10_000) > 0.99)
    })

    it('leave other versions as they are', () => {
      const lanes = new LongWorkLanes('a')
      playEscalations(lanes, 1260, 0)
      assert.equal(lanes.escalationFactor(SERVICE, 'v2'), 1)
    })
  })

  describe('of an instance that has just started', () => {
    /** The factor after each update of the first second and a half, with so many milliseconds of long work in each interval. */
    function factorsAfterStart (milliseconds: number): readonly number[] {
      const lanes = new LongWorkLanes('a')
      return Array.from({ length: 15 }, (_, index) => {
        lanes.record(SERVICE, PLACE, milliseconds, index * 100)
        const factor = lanes.escalationFactor(SERVICE, 'v1')
        lanes.update(SERVICE, SERVERS, index * 100)
        return factor
      })
    }

    // Load: after all instances were without power, the callers of some seconds return within one.
    it('let no long prompt be asked again while returning callers bring more work than the lane can take (guards against urgent prompts that wait behind the second reading of others)', () => {
      assert.ok(factorsAfterStart(3000).every(factor => factor < 0.2), String(factorsAfterStart(3000)))
    })

    it('let all be asked again within about a second when there is room', () => {
      const factors = factorsAfterStart(10)
      assert.equal(factors[0], 0)
      assert.ok((factors.at(-1) ?? 0) > 0.99, String(factors))
    })
  })

  it('keep short prompts from waiting behind long ones (guards against long prompts that hold up every server by turns)', () => {
    const [spread, separated] = [play(false), play(true)]
    assert.ok(separated.short <= spread.short / 4, `${separated.short} and ${spread.short} ms`)
    assert.ok(separated.long <= spread.long * 2.5, `${separated.long} and ${spread.long} ms`)
  })
})
