/** Tests of the decision whether an instance reaches the servers of a service, without network I/O. */

import * as assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'

import { REACH_PROBE_INTERVAL_MILLISECONDS, REACH_RETURN_MILLISECONDS, REACH_WINDOW_MILLISECONDS } from '../../JayfallForwardingConstants'
import { ServiceReach } from '../../JayfallServiceReach'

const SERVICE = 'guide'
const SERVERS = 8
const REQUESTS = Array.from({ length: 400 }, (_, index) => `request-${index}`)

describe('ServiceReach', () => {
  let reach: ServiceReach

  beforeEach(() => { reach = new ServiceReach() })

  function cut (now: number): void {
    for (const server of ['a', 'b', 'c', 'd']) reach.recordUnopened(SERVICE, server, SERVERS, now)
  }

  const shareOfReaching = (now: number): number => REQUESTS.filter(request => reach.mayReach(SERVICE, request, now)).length / REQUESTS.length

  it('notices a cut when several servers cannot be reached and none was since', () => {
    cut(1000)
    assert.ok(reach.isCut(SERVICE))
    assert.equal(shareOfReaching(1000), 0)
  })

  // A server that has ended is found by one request after the other, while the others are reached.
  it('takes servers that end for what they are (guards against detours while single servers crash)', () => {
    for (let now = 1000; now < 60_000; now += 100) {
      reach.recordUnopened(SERVICE, ['a', 'b', 'c', 'd'][now / 100 % 4], SERVERS, now)
      reach.recordOpened(SERVICE, now + 50)
    }
    assert.equal(reach.isCut(SERVICE), false)
  })

  it('does not add up failures of one server, or of long ago', () => {
    for (let now = 1000; now < 2000; now += 10) reach.recordUnopened(SERVICE, 'a', SERVERS, now)
    for (const [index, server] of ['a', 'b', 'c', 'd', 'e'].entries()) reach.recordUnopened(SERVICE, server, SERVERS, 3000 + index * REACH_WINDOW_MILLISECONDS / 2)
    assert.equal(reach.isCut(SERVICE), false)
  })

  it('notices the cut of a service with fewer servers', () => {
    for (const server of ['a', 'b']) reach.recordUnopened(SERVICE, server, 2, 1000)
    assert.ok(reach.isCut(SERVICE))
  })

  it('keeps services apart', () => {
    cut(1000)
    assert.ok(reach.mayReach('other', 'request', 1000))
  })

  it('probes at an interval while a service is cut off, and never otherwise (guards against calls while nothing is wrong)', () => {
    assert.deepEqual([...reach.dueProbes(1000)], [])
    cut(1000)
    const probes = Array.from({ length: 3000 }, (_, index) => [...reach.dueProbes(1000 + index)]).flat()
    assert.equal(probes.length, Math.floor(2999 / REACH_PROBE_INTERVAL_MILLISECONDS))
    reach.recordOpened(SERVICE, 4000)
    assert.deepEqual([...reach.dueProbes(10_000)], [])
  })

  it('lets requests return by degrees (guards against all requests that meet a path which fails again)', () => {
    cut(1000)
    reach.recordOpened(SERVICE, 5000)
    const shares = [0, 0.25, 0.5, 0.75, 1].map(part => shareOfReaching(5000 + part * REACH_RETURN_MILLISECONDS))
    assert.deepEqual(shares, shares.toSorted((left, right) => left - right))
    assert.ok(shares[0] === 0 && shares[2] > 0.3 && shares[2] < 0.7 && shares[4] === 1)
    reach.recordUnopened(SERVICE, 'a', SERVERS, 5000 + REACH_RETURN_MILLISECONDS / 2)
    assert.ok(reach.isCut(SERVICE))
  })
})
