/** Tests of the membership of a zone: merging of entries and heartbeats, their encoding, and the states of members. */

import assert from 'node:assert/strict'
import { describe, it } from 'node:test'

import { ManualClock } from '#jayfall/shared'
import fc from 'fast-check'

import { memberKey, packHeartbeats, unpackHeartbeats, type MemberHeartbeat, type MemberEntry } from '../../JayfallMember'
import { Membership } from '../../JayfallMembership'
import { packDemands, unpackDemands } from '../../JayfallDemand'

function createEntry (id: string, incarnation: number, version = 1): MemberEntry {
  const facts = { id, address: `127.0.0.1:${incarnation}`, incarnation }
  return { key: memberKey(facts), facts, details: { version, leaving: version % 2 === 0, demands: '' } }
}

function createHeartbeat (entry: MemberEntry, counter: number): MemberHeartbeat {
  return { key: entry.key, counter, detailsVersion: entry.details.version, revision: counter, confirmationAge: 0 }
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
}).map(({ id, incarnation, version, heartbeat }) => ({ entry: createEntry(id, incarnation, version), heartbeat }))

function mergeAll (messages: readonly Message[]): unknown {
  const membership = createMembership()
  for (const { entry, heartbeat } of messages) {
    membership.mergeEntries([entry])
    membership.mergeHeartbeats([createHeartbeat(entry, heartbeat)])
  }
  return membership.all().map(({ facts, details, heartbeat }) => JSON.stringify([facts, details.version, heartbeat.counter])).sort()
}

describe('membership', () => {
  it('reaches the same view from the same messages in any order and with repetitions', () => {
    fc.assert(fc.property(fc.array(message, { maxLength: 30 }).chain(list =>
      fc.tuple(fc.constant(list), fc.shuffledSubarray([...list, ...list], { minLength: 2 * list.length }))), ([list, shuffled]) => {
      assert.deepEqual(mergeAll(shuffled), mergeAll(list))
    }))
  })

  it('decodes heartbeats to the values that were encoded', () => {
    fc.assert(fc.property(fc.array(fc.record({
      key: fc.stringMatching(/^[A-Za-z0-9_-]{6}$/), counter: fc.nat(), detailsVersion: fc.nat(), revision: fc.nat(), confirmationAge: fc.nat()
    }, { noNullPrototype: true })), fc.nat(), (beats, base) => assert.deepEqual(unpackHeartbeats(packHeartbeats(beats, base), base), beats)))
  })

  it('encodes decoded demands to the same text (guards against demands that drift when they are passed on)', () => {
    const demand = fc.record({ requests: fc.double({ min: 0, max: 1e6, noNaN: true }), tokens: fc.double({ min: 0, max: 1e9, noNaN: true }) })
    fc.assert(fc.property(fc.dictionary(fc.stringMatching(/^[a-z]{1,8}$/), demand), demands => {
      const packed = packDemands(new Map(Object.entries(demands)))
      assert.equal(packDemands(unpackDemands(packed)), packed)
    }))
  })

  describe('states', () => {
    it('follow from the time since the last advance of the counter, and a higher counter makes a dead member alive', () => {
      const clock = new ManualClock(1000)
      const membership = createMembership(clock)
      const entry = createEntry('a', 1)
      membership.mergeEntries([entry])
      membership.mergeHeartbeats([createHeartbeat(entry, 5)])
      const state = () => membership.stateOf(membership.get(entry.key) ?? assert.fail('removed'))
      assert.equal(state(), 'alive')
      clock.advance(5000)
      membership.mergeHeartbeats([createHeartbeat(entry, 5)])
      assert.equal(state(), 'suspect')
      assert.deepEqual(membership.livePeersOfZone(), [])
      clock.advance(5000)
      assert.ok(membership.isDead('a'))
      membership.mergeHeartbeats([createHeartbeat(entry, 6)])
      assert.equal(state(), 'alive')
    })

    it('do not become alive again by a late entry after the removal of the member', () => {
      const clock = new ManualClock(1000)
      const membership = createMembership(clock)
      const entry = createEntry('a', 1)
      membership.mergeEntries([entry])
      membership.mergeHeartbeats([createHeartbeat(entry, 5)])
      clock.advance(60_000)
      membership.removeExpired()
      assert.equal(membership.get(entry.key), undefined)
      membership.mergeEntries([entry])
      membership.mergeHeartbeats([createHeartbeat(entry, 5)])
      assert.deepEqual(membership.livePeersOfZone(), [])
    })

    it('of leaving members exclude them from the ranking and from the peers (guards against leaving instances with roles)', () => {
      const membership = createMembership()
      membership.mergeEntries([createEntry('a', 1, 2)])
      assert.equal(membership.selfRank(), 0)
      assert.deepEqual(membership.livePeersOfZone(), [])
    })
  })
})
