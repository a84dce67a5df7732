/** Tests of the selection of servers under different kinds of load. */

import * as assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { type SelectionRequest } from '../../JayfallBackendSelector'
import { MAXIMUM_PEER_PREFILL_MILLISECONDS } from '../../JayfallForwardingConstants'
import { DecisionFixture, SERVICE, fakeServer } from './JayfallDecisionFixture'

const ENGINE_REQUEST: SelectionRequest = {
  service: SERVICE, requestId: 'r', priority: 0, objective: 1000, model: 'small', promptTokens: 6000, outputTokens: 300, promptParts: [{ id: 'shared', tokens: 5000 }, { id: 'own', tokens: 1000 }], triedServers: new Set(), allowsVersion: () => true
}
const PLAIN_REQUEST: SelectionRequest = { ...ENGINE_REQUEST, model: undefined, promptTokens: 0, promptParts: [] }

function selectServer (fixture: DecisionFixture, request: SelectionRequest): string | undefined {
  return fixture.selector.select(request, fixture.clock.monotonic())?.row.server.id
}

describe('EstimatedTimeSelector', () => {
  describe('with queued prompts at one engine', () => {
    // A prompt sent to that engine would wait behind the long prompt that delays its first events.
    it('avoids an engine whose first events came late (guards against waiting behind a long prompt)', () => {
      const fixture = new DecisionFixture(['a', 'b', 'c', 'd'].map(id => fakeServer(id)))
      const affinityServer = selectServer(fixture, ENGINE_REQUEST)
      assert.ok(affinityServer !== undefined)
      fixture.directory.recordFirstEventDelay(affinityServer, 2000, fixture.clock.monotonic())
      assert.notEqual(selectServer(fixture, ENGINE_REQUEST), affinityServer)
    })

    // An engine that was not used for a while may be as busy as the others of its service.
    it('expects the delay of the service at an engine without recent observations (guards against assuming that it is idle)', () => {
      const fixture = new DecisionFixture(['a', 'b'].map(id => fakeServer(id)))
      const now = fixture.clock.monotonic()
      for (let count = 0; count < 20; count++) fixture.directory.recordFirstEventDelay('a', 800, now)
      const idleRow = fixture.directory.get('b')
      assert.ok(idleRow !== undefined && fixture.directory.expectedFirstEventDelay({ ...idleRow, firstEventDelayAt: now - 60_000 }, now) > 500)
    })

    // The load report of the engine arrives too late to show that prompt.
    it('avoids an engine during the prefill of a long prompt of another instance (guards against short prompts behind long ones)', () => {
      const fixture = new DecisionFixture(['a', 'b'].map(id => fakeServer(id)))
      const affinityServer = selectServer(fixture, ENGINE_REQUEST)
      assert.ok(affinityServer !== undefined)
      fixture.directory.recordPeerPrefill(affinityServer, 900, fixture.clock.monotonic())
      assert.notEqual(selectServer(fixture, ENGINE_REQUEST), affinityServer)
      fixture.clock.advance(900)
      assert.equal(selectServer(fixture, ENGINE_REQUEST), affinityServer)
    })

    // Without the limit, hints with estimates that are too high would make a server look busy for a long time.
    it('adds up the prefill times of announced prompts, up to a limit (guards against avoiding a server for long after wrong hints)', () => {
      const fixture = new DecisionFixture([fakeServer('a')])
      const now = fixture.clock.monotonic()
      for (let count = 0; count < 3; count++) fixture.directory.recordPeerPrefill('a', 400, now)
      assert.equal(fixture.directory.get('a')?.peerPrefillUntil, now + 1200)
      for (let count = 0; count < 100; count++) fixture.directory.recordPeerPrefill('a', 400, now)
      assert.equal(fixture.directory.get('a')?.peerPrefillUntil, now + MAXIMUM_PEER_PREFILL_MILLISECONDS)
    })

    // An early first event proves that the announced prompts have been processed.
    it('corrects hints by observed first events (guards against servers that look busy because of overestimates)', () => {
      const fixture = new DecisionFixture([fakeServer('a')])
      fixture.directory.recordPeerPrefill('a', 2000, fixture.clock.monotonic())
      const selection = fixture.selector.select(ENGINE_REQUEST, fixture.clock.monotonic())
      assert.equal(selection?.peerPrefillTime, 2000)
      fixture.clock.advance(100)
      fixture.directory.reducePeerPrefill('a', 2000)
      assert.ok((fixture.selector.select(ENGINE_REQUEST, fixture.clock.monotonic())?.timeToFirstEvent ?? Infinity) < 300)
    })

    it('counts its own prompts whose prefill has not ended', () => {
      const fixture = new DecisionFixture(['a', 'b'].map(id => fakeServer(id)))
      const first = selectServer(fixture, { ...ENGINE_REQUEST, promptParts: [] })
      assert.ok(first !== undefined)
      fixture.directory.recordSent(first, 900)
      assert.notEqual(selectServer(fixture, { ...ENGINE_REQUEST, promptParts: [] }), first)
    })
  })

  describe('with shared prompt parts', () => {
    // Instances that select different servers fill the caches of all engines with the same parts.
    it('selects the same server on all instances (guards against prefill of every part on every engine)', () => {
      const servers = ['a', 'b', 'c', 'd', 'e', 'f'].map(id => fakeServer(id))
      const affinityServers = [1, 2, 3].map(() => selectServer(new DecisionFixture(servers), ENGINE_REQUEST))
      assert.equal(new Set(affinityServers).size, 1)
    })

    it('distributes different parts over the engines', () => {
      const fixture = new DecisionFixture(['a', 'b', 'c', 'd'].map(id => fakeServer(id)))
      const affinityServers = [...Array(40).keys()].map(index => selectServer(fixture, { ...ENGINE_REQUEST, promptParts: [{ id: `part-${index}`, tokens: 5000 }, { id: 'own', tokens: 1000 }] }))
      assert.equal(new Set(affinityServers).size, 4)
    })
  })

  describe('with a slow server', () => {
    it('prefers a server whose machine runs at its usual speed', () => {
      const fixture = new DecisionFixture(['a', 'b'].map(id => fakeServer(id)))
      const now = fixture.clock.monotonic()
      fixture.directory.recordLoad('a', { running: 1, waiting: 0, slots: 8, slowness: 4 }, now)
      fixture.directory.recordLoad('b', { running: 3, waiting: 0, slots: 8, slowness: 1 }, now)
      assert.equal(selectServer(fixture, PLAIN_REQUEST), 'b')
    })
  })

  describe('with an unreachable zone', () => {
    // Trying the servers of an unreachable zone one by one costs a connection timeout each.
    it('avoids the whole zone for a while after two of its servers were unreachable (guards against a timeout for each server)', () => {
      const fixture = new DecisionFixture([fakeServer('near', { slots: 1 }), ...['x', 'y', 'z'].map(id => fakeServer(id, { zone: 'osorno' }))])
      const now = fixture.clock.monotonic()
      for (let count = 0; count < 30; count++) fixture.directory.recordSent('near', 0)
      assert.notEqual(selectServer(fixture, PLAIN_REQUEST), 'near')
      fixture.directory.recordUnreachable('x', now)
      fixture.directory.recordUnreachable('y', now)
      assert.equal(selectServer(fixture, PLAIN_REQUEST), 'near')
      fixture.clock.advance(5000)
      assert.notEqual(selectServer(fixture, PLAIN_REQUEST), 'near')
    })

    // An instance whose own link was saturated interrupted its streams to servers of reachable zones.
    it('treats no zone as unreachable while servers of its own zone are unreachable too (guards against interrupted streams on a saturated link)', () => {
      const fixture = new DecisionFixture([fakeServer('near'), ...['x', 'y'].map(id => fakeServer(id, { zone: 'osorno' }))])
      const now = fixture.clock.monotonic()
      let reportedOutages = 0
      fixture.directory.addZoneOutageListener('osorno', () => reportedOutages++)
      for (const id of ['near', 'x', 'y']) fixture.directory.recordUnreachable(id, now)
      assert.deepEqual([reportedOutages, fixture.directory.isZoneUnreachable('osorno', now)], [0, false])
      fixture.directory.recordReachable('near')
      fixture.directory.recordUnreachable('y', now)
      assert.deepEqual([reportedOutages, fixture.directory.isZoneUnreachable('osorno', now)], [1, true])
    })

    it('uses a failing server when there is no other', () => {
      const fixture = new DecisionFixture([fakeServer('only')])
      for (let count = 0; count < 5; count++) fixture.directory.recordFailure('only', fixture.clock.monotonic())
      assert.equal(selectServer(fixture, PLAIN_REQUEST), 'only')
    })
  })

  describe('with servers that are out of reach', () => {
    // In a zone that was cut off (inc-522a), the only server of a service was in another zone, and 52 requests waited for 120 ms each until their connections were given up.
    it('selects none of them until they may be tried again (guards against requests that wait although they cannot be served)', () => {
      const fixture = new DecisionFixture([fakeServer('a')])
      fixture.directory.recordUnreachable('a', fixture.clock.monotonic())
      assert.equal(selectServer(fixture, PLAIN_REQUEST), 'a')
      fixture.directory.recordUnreachable('a', fixture.clock.monotonic())
      assert.equal(selectServer(fixture, PLAIN_REQUEST), undefined)
      const pause = fixture.selector.timeUntilReach(SERVICE, fixture.clock.monotonic())
      assert.ok(pause !== undefined && pause > 0)
      fixture.clock.advance(pause)
      assert.equal(selectServer(fixture, PLAIN_REQUEST), 'a')
    })

    it('selects a server again as soon as it was reached', () => {
      const fixture = new DecisionFixture([fakeServer('a')])
      for (let count = 0; count < 2; count++) fixture.directory.recordUnreachable('a', fixture.clock.monotonic())
      fixture.directory.recordReachable('a')
      assert.equal(selectServer(fixture, PLAIN_REQUEST), 'a')
    })
  })
})
