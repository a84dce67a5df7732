/**
 * The members of the own zone as this instance sees them.
 *
 * A member lives while its heartbeat counter advances. States follow from the time since
 * the last advance, so merging is commutative and repeated or late entries change nothing.
 */

import { type Peer, PeerDirectory } from '#jayfall/peers'
import { rendezvousRank, type Clock } from '#jayfall/shared'

import { DEAD_AFTER_MILLISECONDS, REMOVED_AFTER_MILLISECONDS, SUSPECT_AFTER_MILLISECONDS, TOMBSTONE_MILLISECONDS } from './JayfallControlConstants'
import { memberKey, type MemberBeat, type MemberDetails, type MemberEntry, type MemberFacts } from './JayfallMember'

export type MemberState = 'alive' | 'suspect' | 'dead'

/** A member with what was last heard of it. */
export interface Member {
  readonly key: string
  readonly facts: MemberFacts
  readonly details: MemberDetails
  readonly beat: MemberBeat
  /** Monotonic milliseconds of this instance at which the counter last advanced. */
  readonly advancedAt: number
}

interface Tombstone {
  readonly heartbeat: number
  readonly removedAt: number
}

/** The view of one instance. */
export class Membership extends PeerDirectory {
  private readonly members = new Map<string, Member>()
  private readonly keysById = new Map<string, string>()
  private readonly tombstones = new Map<string, Tombstone>()
  private readonly startedAt: number
  private ranking: { readonly live: string, readonly order: readonly string[] } | undefined
  readonly selfKey: string

  constructor (readonly zone: string, facts: MemberFacts, private readonly clock: Clock) {
    super()
    this.selfKey = memberKey(facts)
    this.startedAt = clock.monotonic()
    this.put({
      key: this.selfKey,
      facts,
      details: { version: 1, leaving: false, demands: '' },
      beat: { key: this.selfKey, heartbeat: 1, detailsVersion: 1, revision: 0, confirmationAge: 0 },
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

  /** An unknown instance is taken for dead once this one has had the time to hear of it. */
  override isDead (id: string): boolean {
    const member = this.members.get(this.keysById.get(id) ?? '')
    if (member !== undefined) return this.stateOf(member) === 'dead'
    return this.clock.monotonic() - this.startedAt >= DEAD_AFTER_MILLISECONDS
  }

  override incarnationOf (id: string): number | undefined {
    return this.members.get(this.keysById.get(id) ?? '')?.facts.incarnation
  }

  /** The place of this instance among the live members that may hold roles; 0 is the first. */
  selfRank (): number {
    const ids = this.alive().filter(({ key, details }) => key === this.selfKey || !details.leaving).map(({ facts }) => facts.id).sort()
    const live = ids.join()
    // Hashing all members at each tick would cost more than the exchanges do.
    if (this.ranking?.live !== live) this.ranking = { live, order: rendezvousRank(this.zone, ids) }
    return this.ranking.order.indexOf(this.self.facts.id)
  }

  /** Advances the own counter. */
  beat (revision: number, confirmationAge: number): void {
    const { self } = this
    const seconds = Math.min(Math.round(confirmationAge / 1000), 36 ** 3)
    this.put({
      ...self,
      beat: { ...self.beat, heartbeat: self.beat.heartbeat + 1, revision, confirmationAge: seconds },
      advancedAt: this.clock.monotonic()
    })
  }

  /** Replaces the own details when they differ. */
  changeDetails (changes: Partial<Omit<MemberDetails, 'version'>>): void {
    const { self } = this
    const details = { ...self.details, ...changes }
    if (details.leaving === self.details.leaving && details.demands === self.details.demands) return
    const version = self.details.version + 1
    this.put({ ...self, details: { ...details, version }, beat: { ...self.beat, detailsVersion: version } })
  }

  /** Takes introductions; beats decide whether the members live. */
  mergeEntries (entries: readonly MemberEntry[]): void {
    for (const { key, facts, details } of entries) {
      const known = this.members.get(key)
      if (key === this.selfKey) continue
      if (known !== undefined) {
        if (details.version > known.details.version) this.put({ ...known, details })
      } else if (facts !== undefined && memberKey(facts) === key) this.introduce(facts, key, details)
    }
  }

  /** Takes heartbeats; lower and repeated counters change nothing. */
  mergeBeats (beats: readonly MemberBeat[]): void {
    for (const beat of beats) {
      const known = this.members.get(beat.key)
      if (known === undefined || beat.key === this.selfKey || beat.heartbeat <= known.beat.heartbeat) continue
      this.put({ ...known, beat, advancedAt: this.clock.monotonic() })
    }
  }

  /** What the sender of `beats` lacks, as far as this instance knows it. */
  entriesMissingFrom (beats: readonly MemberBeat[]): readonly MemberEntry[] {
    const versions = new Map(beats.map(({ key, detailsVersion }) => [key, detailsVersion]))
    return this.all()
      .filter(member => this.stateOf(member) !== 'dead' && (versions.get(member.key) ?? 0) < member.details.version)
      .map(({ key, facts, details }) => versions.has(key) ? { key, details } : { key, facts, details })
  }

  /** The beats to send: the details that this instance holds, not the newest it has heard of. */
  beats (): readonly MemberBeat[] {
    return this.all()
      .filter(member => this.stateOf(member) !== 'dead')
      .map(({ beat, details }) => ({ ...beat, detailsVersion: details.version }))
  }

  /** Takes back the time that this process was paused, in which it could not hear anyone. */
  forgivePause (milliseconds: number): void {
    for (const member of this.all()) this.put({ ...member, advancedAt: member.advancedAt + milliseconds })
  }

  /** Removes members that have been silent for long. */
  removeSilent (): void {
    const now = this.clock.monotonic()
    for (const member of this.all()) {
      if (member.key !== this.selfKey && now - member.advancedAt >= REMOVED_AFTER_MILLISECONDS) this.remove(member)
    }
    for (const [key, { removedAt }] of this.tombstones) {
      if (now - removedAt >= TOMBSTONE_MILLISECONDS) this.tombstones.delete(key)
    }
  }

  private introduce (facts: MemberFacts, key: string, details: MemberDetails): void {
    const earlier = this.members.get(this.keysById.get(facts.id) ?? '')
    if (earlier !== undefined && earlier.facts.incarnation >= facts.incarnation) return
    if (earlier !== undefined && earlier.key === this.selfKey) return
    if (earlier !== undefined) this.remove(earlier)
    const heartbeat = this.tombstones.get(key)?.heartbeat ?? 0
    const now = this.clock.monotonic()
    // A member known from a tombstone stays suspect until its counter advances.
    const advancedAt = heartbeat > 0 ? now - SUSPECT_AFTER_MILLISECONDS : now
    this.put({ key, facts, details, beat: { key, heartbeat, detailsVersion: details.version, revision: 0, confirmationAge: 0 }, advancedAt })
  }

  private remove (member: Member): void {
    this.members.delete(member.key)
    this.keysById.delete(member.facts.id)
    this.tombstones.set(member.key, { heartbeat: member.beat.heartbeat, removedAt: this.clock.monotonic() })
  }

  private put (member: Member): void {
    this.members.set(member.key, member)
    this.keysById.set(member.facts.id, member.key)
  }
}
