/**
 * One instance's view of the members of its availability zone.
 *
 * A member is alive while its heartbeat counter advances. Its state follows from the time since the
 * last advance, so merging is commutative, and repeated or late entries have no effect.
 */

import { type Peer, PeerDirectory } from '#jayfall/peers'
import { rendezvousRank, type Clock } from '#jayfall/shared'

import { DEAD_AFTER_MILLISECONDS, REMOVED_AFTER_MILLISECONDS, SUSPECT_AFTER_MILLISECONDS, TOMBSTONE_LIFETIME_MILLISECONDS } from './JayfallControlConstants'
import { memberKey, type MemberHeartbeat, type MemberDetails, type MemberEntry, type MemberFacts } from './JayfallMember'

export type MemberState = 'alive' | 'suspect' | 'dead'

/** A member with the latest information that this instance has received about it. */
export interface Member {
  readonly key: string
  readonly facts: MemberFacts
  readonly details: MemberDetails
  readonly heartbeat: MemberHeartbeat
  /** Time at which this instance last saw the heartbeat counter advance, in its monotonic milliseconds. */
  readonly advancedAt: number
}

/** The last state of a removed member. */
interface Tombstone {
  readonly counter: number
  /** Monotonic milliseconds. */
  readonly removedAt: number
}

/** Holds the members that one instance knows, itself included. */
export class Membership extends PeerDirectory {
  private readonly members = new Map<string, Member>()
  private readonly keysById = new Map<string, string>()
  private readonly tombstones = new Map<string, Tombstone>()
  private readonly startedAt: number
  /** The last ranking of the live members, and the joined identifiers for which it was computed. */
  private ranking: { readonly liveIds: string, readonly order: readonly string[] } | undefined
  readonly selfKey: string

  constructor (readonly zone: string, facts: MemberFacts, private readonly clock: Clock) {
    super()
    this.selfKey = memberKey(facts)
    this.startedAt = clock.monotonic()
    this.put({
      key: this.selfKey,
      facts,
      details: { version: 1, leaving: false, demands: '' },
      heartbeat: { key: this.selfKey, counter: 1, detailsVersion: 1, revision: 0, confirmationAge: 0 },
      advancedAt: this.startedAt
    })
  }

  get self (): Member {
    return this.members.get(this.selfKey) as Member
  }

  get (key: string): Member | undefined {
    return this.members.get(key)
  }

  all (): readonly Member[] {
    return [...this.members.values()]
  }

  stateOf ({ key, advancedAt }: Member): MemberState {
    const silence = key === this.selfKey ? 0 : this.clock.monotonic() - advancedAt
    return silence >= DEAD_AFTER_MILLISECONDS ? 'dead' : silence >= SUSPECT_AFTER_MILLISECONDS ? 'suspect' : 'alive'
  }

  /** Members that are alive, this one included. */
  alive (): readonly Member[] {
    return this.all().filter(member => this.stateOf(member) === 'alive')
  }

  override livePeersOfZone (): readonly Peer[] {
    return this.alive()
      .filter(({ key, details }) => key !== this.selfKey && !details.leaving)
      .map(({ facts }) => ({ id: facts.id, zone: this.zone, address: facts.address }))
  }

  /** Whether the instance is dead. An unknown instance counts as dead once this process has run for long enough to have received its entry. */
  override isDead (id: string): boolean {
    const member = this.members.get(this.keysById.get(id) ?? '')
    if (member !== undefined) return this.stateOf(member) === 'dead'
    return this.clock.monotonic() - this.startedAt >= DEAD_AFTER_MILLISECONDS
  }

  override incarnationOf (id: string): number | undefined {
    return this.members.get(this.keysById.get(id) ?? '')?.facts.incarnation
  }

  /** The rank of this instance among the live members that are not leaving, from 0; the first ranks hold the zone's roles. */
  selfRank (): number {
    const ids = this.alive().filter(({ key, details }) => key === this.selfKey || !details.leaving).map(({ facts }) => facts.id).sort()
    const liveIds = ids.join()
    // The ranking is cached, as hashing all members at each tick costs more processor time than the exchanges.
    if (this.ranking?.liveIds !== liveIds) this.ranking = { liveIds, order: rendezvousRank(this.zone, ids) }
    return this.ranking.order.indexOf(this.self.facts.id)
  }

  /** Advances this instance's heartbeat counter. `confirmationAge` is in milliseconds. */
  advanceHeartbeat (revision: number, confirmationAge: number): void {
    const { self } = this
    const seconds = Math.min(Math.round(confirmationAge / 1000), 36 ** 3)
    this.put({
      ...self,
      heartbeat: { ...self.heartbeat, counter: self.heartbeat.counter + 1, revision, confirmationAge: seconds },
      advancedAt: this.clock.monotonic()
    })
  }

  /** Replaces this instance's details and raises their version when they differ. */
  changeDetails (changes: Partial<Omit<MemberDetails, 'version'>>): void {
    const { self } = this
    const details = { ...self.details, ...changes }
    if (details.leaving === self.details.leaving && details.demands === self.details.demands) return
    const version = self.details.version + 1
    this.put({ ...self, details: { ...details, version }, heartbeat: { ...self.heartbeat, detailsVersion: version } })
  }

  /** Merges member entries. Whether the members are alive depends on their heartbeats. */
  mergeEntries (entries: readonly MemberEntry[]): void {
    for (const { key, facts, details } of entries) {
      const known = this.members.get(key)
      if (key === this.selfKey) continue
      if (known !== undefined) {
        if (details.version > known.details.version) this.put({ ...known, details })
      } else if (facts !== undefined && memberKey(facts) === key) this.add(facts, key, details)
    }
  }

  /** Merges heartbeats of known members; lower and repeated counters have no effect. */
  mergeHeartbeats (heartbeats: readonly MemberHeartbeat[]): void {
    for (const heartbeat of heartbeats) {
      const known = this.members.get(heartbeat.key)
      if (known === undefined || heartbeat.key === this.selfKey || heartbeat.counter <= known.heartbeat.counter) continue
      this.put({ ...known, heartbeat, advancedAt: this.clock.monotonic() })
    }
  }

  /** The entries that this instance knows and the sender of the heartbeats lacks. */
  entriesMissingFrom (heartbeats: readonly MemberHeartbeat[]): readonly MemberEntry[] {
    const versions = new Map(heartbeats.map(({ key, detailsVersion }) => [key, detailsVersion]))
    return this.all()
      .filter(member => this.stateOf(member) !== 'dead' && (versions.get(member.key) ?? 0) < member.details.version)
      .map(({ key, facts, details }) => versions.has(key) ? { key, details } : { key, facts, details })
  }

  /** The heartbeats to send. Their `detailsVersion` is the version that this instance holds, which may be lower than the newest that it has seen in heartbeats. */
  heartbeats (): readonly MemberHeartbeat[] {
    return this.all()
      .filter(member => this.stateOf(member) !== 'dead')
      .map(({ heartbeat, details }) => ({ ...heartbeat, detailsVersion: details.version }))
  }

  /** Extends all deadlines by the length of a pause of this process, as it could receive no heartbeats meanwhile. */
  compensatePause (milliseconds: number): void {
    for (const member of this.all()) this.put({ ...member, advancedAt: member.advancedAt + milliseconds })
  }

  /** Removes members whose counters have not advanced for `REMOVED_AFTER_MILLISECONDS`, and expired tombstones. */
  removeExpired (): void {
    const now = this.clock.monotonic()
    for (const member of this.all()) {
      if (member.key !== this.selfKey && now - member.advancedAt >= REMOVED_AFTER_MILLISECONDS) this.remove(member)
    }
    for (const [key, { removedAt }] of this.tombstones) {
      if (now - removedAt >= TOMBSTONE_LIFETIME_MILLISECONDS) this.tombstones.delete(key)
    }
  }

  private add (facts: MemberFacts, key: string, details: MemberDetails): void {
    const earlier = this.members.get(this.keysById.get(facts.id) ?? '')
    if (earlier !== undefined && earlier.facts.incarnation >= facts.incarnation) return
    if (earlier !== undefined && earlier.key === this.selfKey) return
    if (earlier !== undefined) this.remove(earlier)
    const counter = this.tombstones.get(key)?.counter ?? 0
    const now = this.clock.monotonic()
    // A member that has a tombstone starts as suspect and becomes alive when its counter advances.
    const advancedAt = counter > 0 ? now - SUSPECT_AFTER_MILLISECONDS : now
    this.put({ key, facts, details, heartbeat: { key, counter, detailsVersion: details.version, revision: 0, confirmationAge: 0 }, advancedAt })
  }

  private remove (member: Member): void {
    this.members.delete(member.key)
    this.keysById.delete(member.facts.id)
    this.tombstones.set(member.key, { counter: member.heartbeat.counter, removedAt: this.clock.monotonic() })
  }

  private put (member: Member): void {
    this.members.set(member.key, member)
    this.keysById.set(member.facts.id, member.key)
  }
}
