import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { ManualClock } from '#jayfall/shared'
import fc from 'fast-check'

import { memberKey, packBeats, unpackBeats, type MemberBeat, type MemberEntry } from '../../JayfallMember'
import { Membership } from '../../JayfallMembership'
import { packDemands, unpackDemands } from '../../JayfallDemand'

function entryOf (id: string, incarnation: number, version = 1): MemberEntry {
  const facts = { id, address: `127.0.0.1:${incarnation}`, incarnation }
  return { key: memberKey(facts), facts, details: { version, leaving: version % 2 === 0, demands: '' } }
}

function beatOf (entry: MemberEntry, heartbeat: number): MemberBeat {
  return { key: entry.key, heartbeat, detailsVersion: entry.details.version, revision: heartbeat, confirmationAge: 0 }
}

function createMembership (clock = new ManualClock(1000)): Membership {
  return new Membership('zone', { id: 'self', address: '127.0.0.1:1', incarnation: 1 }, clock)
}

interface Message {
  readonly entry: MemberEntry
  readonly heartbeat: number
}

const message: fc.Arbitrary<Message> = fc.record({
  id: fc.constantFrom('a', 'b', 'c'), incarnation: fc.integer({ min: 1, max: 3 }), version: fc.integer({ min: 1, max: 4 }), heartbeat: fc.integer({ min: 1, max: 20 })
}).map(({ id, incarnation, version, heartbeat }) => ({ entry: entryOf(id, incarnation, version), heartbeat }))

function mergeAll (messages: readonly Message[]): unknown {
  const membership = createMembership()
  for (const { entry, heartbeat } of messages) {
    membership.mergeEntries([entry])
    membership.mergeBeats([beatOf(entry, heartbeat)])
  }
  return membership.all().map(({ facts, details, beat }) => JSON.stringify([facts, details.version, beat.heartbeat])).sort()
}

describe('membership', () => {
  it('guards against views that depend on order or repetition: the same messages in any order, with repeats, give the same view', () => {
    fc.assert(fc.property(fc.array(message, { maxLength: 30 }).chain(list =>
      fc.tuple(fc.constant(list), fc.shuffledSubarray([...list, ...list], { minLength: 2 * list.length }))), ([list, shuffled]) => {
      assert.deepEqual(mergeAll(shuffled), mergeAll(list))
    }))
  })

  it('guards against packed heartbeats that are read differently', () => {
    fc.assert(fc.property(fc.array(fc.record({
      key: fc.stringMatching(/^[A-Za-z0-9_-]{6}$/), heartbeat: fc.nat(), detailsVersion: fc.nat(), revision: fc.nat(), confirmationAge: fc.nat()
    }, { noNullPrototype: true })), fc.nat(), (beats, base) => assert.deepEqual(unpackBeats(packBeats(beats, base), base), beats)))
  })

  it('guards against demands that drift when they are passed on', () => {
    const demand = fc.record({ requests: fc.double({ min: 0, max: 1e6, noNaN: true }), tokens: fc.double({ min: 0, max: 1e9, noNaN: true }) })
    fc.assert(fc.property(fc.dictionary(fc.stringMatching(/^[a-z]{1,8}$/), demand), demands => {
      const packed = packDemands(new Map(Object.entries(demands)))
      assert.equal(packDemands(unpackDemands(packed)), packed)
    }))
  })

  describe('states', () => {
    it('guards against a wrong state: they follow from the last advance of the counter, and a higher counter revives', () => {
      const clock = new ManualClock(1000)
      const membership = createMembership(clock)
      const entry = entryOf('a', 1)
      membership.mergeEntries([entry])
      membership.mergeBeats([beatOf(entry, 5)])
      const state = () => membership.stateOf(membership.get(entry.key) ?? assert.fail('removed'))
      assert.equal(state(), 'alive')
      clock.advance(5000)
      membership.mergeBeats([beatOf(entry, 5)])
      assert.equal(state(), 'suspect')
      assert.deepEqual(membership.livePeersOfZone(), [])
      clock.advance(5000)
      assert.ok(membership.isDead('a'))
      membership.mergeBeats([beatOf(entry, 6)])
      assert.equal(state(), 'alive')
    })

    it('guards against a removed member that a late introduction brings back to life', () => {
      const clock = new ManualClock(1000)
      const membership = createMembership(clock)
      const entry = entryOf('a', 1)
      membership.mergeEntries([entry])
      membership.mergeBeats([beatOf(entry, 5)])
      clock.advance(60_000)
      membership.removeSilent()
      assert.equal(membership.get(entry.key), undefined)
      membership.mergeEntries([entry])
      membership.mergeBeats([beatOf(entry, 5)])
      assert.deepEqual(membership.livePeersOfZone(), [])
    })

    it('guards against roles of leaving instances: one that leaves ranks no longer, and is no peer', () => {
      const membership = createMembership()
      membership.mergeEntries([entryOf('a', 1, 2)])
      assert.equal(membership.selfRank(), 0)
      assert.deepEqual(membership.livePeersOfZone(), [])
    })
  })
})
