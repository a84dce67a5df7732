/**
 * The state of one instance's control part and the merging of messages, without sockets or timers.
 *
 * Merging is idempotent and does not depend on order: repeated, late or lost messages change
 * when an instance learns something and never what it ends up with.
 */

import { InstalledCatalogue, MAXIMUM_CHANGES_BEFORE_SNAPSHOT, type CatalogueChange, type ReadonlyCatalogue } from '#jayfall/catalogue'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { Confirmation } from './JayfallConfirmation'
import { CUT_OFF_AFTER_MILLISECONDS, HEARTBEAT_MILLISECONDS, PAUSE_MILLISECONDS, STORE_READERS_PER_ZONE, SUMMARY_CONTACTS, ZONE_AVERAGE_MILLISECONDS } from './JayfallControlConstants'
import { DemandAverage, DemandMeter, demandsOf, packDemands, sumDemands, type Demands } from './JayfallDemand'
import { type ExchangeKind, type ExchangeMessage } from './JayfallExchangeMessage'
import { LimitShares, type LimitShare } from './JayfallLimitShares'
import { packBeats, unpackBeats, type MemberEntry } from './JayfallMember'
import { Membership, type Member } from './JayfallMembership'
import { ZoneSummaries } from './JayfallZoneSummaries'

export interface ControlNodeSettings {
  readonly instanceId: string
  readonly zone: string
  /** IP address and port at which other instances call this one. */
  readonly address: string
  /** Wall-clock milliseconds of the process's start. */
  readonly incarnation: number
}

/** The control part of an instance. */
export class ControlNode {
  readonly membership: Membership
  readonly confirmation: Confirmation
  readonly summaries: ZoneSummaries
  readonly demandMeter = new DemandMeter()
  private readonly installed = new InstalledCatalogue()
  private readonly limitShares: LimitShares
  private readonly zoneAverage = new DemandAverage(ZONE_AVERAGE_MILLISECONDS)
  private zoneDemands: Demands = new Map()
  private lastTickAt: number
  private lastBeatAt: number
  private lastExchangeAt = -Infinity
  /** Whether an exchange or a read has succeeded since the start or the last pause. */
  private refreshed = false
  /** Whether the last peer of the zone that replied knew this instance. */
  private isIntroduced = false
  private behindSince: number | undefined
  /** Undefined until this instance has read the platform's list. */
  private leavingServers: readonly string[] | undefined

  constructor (readonly settings: ControlNodeSettings, private readonly clock: Clock, private readonly random: RandomSource) {
    const { instanceId, address, incarnation, zone } = settings
    this.membership = new Membership(zone, { id: instanceId, address, incarnation }, clock)
    this.confirmation = new Confirmation(clock)
    this.summaries = new ZoneSummaries(zone, clock)
    this.limitShares = new LimitShares(clock)
    this.lastTickAt = clock.monotonic()
    this.lastBeatAt = this.lastTickAt
  }

  get catalogue (): ReadonlyCatalogue {
    return this.installed
  }

  /** Whether the state is fresh enough to act on behalf of the zone. */
  get isRefreshed (): boolean {
    return this.refreshed
  }

  /** Whether this instance reads the store: it has the role, or no peer to learn from. */
  get isStoreReader (): boolean {
    if (this.clock.monotonic() - this.lastExchangeAt >= CUT_OFF_AFTER_MILLISECONDS) return true
    const rank = this.membership.selfRank()
    return this.refreshed && rank >= 0 && rank < STORE_READERS_PER_ZONE
  }

  /** Whether this instance acts for the zone: writes its status and reads the platform's list. */
  get isZoneWriter (): boolean {
    return this.refreshed && this.membership.selfRank() === 0
  }

  /** Advances heartbeats and states; returns the milliseconds of a pause, or 0. */
  tick (): number {
    const now = this.clock.monotonic()
    const gap = now - this.lastTickAt
    this.lastTickAt = now
    const paused = gap > PAUSE_MILLISECONDS ? gap : 0
    if (paused > 0) {
      this.refreshed = false
      this.membership.forgivePause(paused)
      this.summaries.forgivePause(paused)
    }
    if (now - this.lastBeatAt >= HEARTBEAT_MILLISECONDS) this.beat(now)
    return paused
  }

  /** The own shares under the installed catalogue; called once a second. */
  updateShares (): readonly LimitShare[] {
    const { membership, summaries } = this
    return this.limitShares.update(this.installed.all('workspace'), {
      ownDemands: demandsOf(membership.self.details),
      otherMembers: this.others().map(({ details }) => demandsOf(details)),
      zoneDemands: summaries.own === undefined ? new Map() : demandsOf(summaries.own),
      otherZones: summaries.otherZones().map(({ summary, silence }) => ({ zone: summary.zone, members: summary.members, demands: demandsOf(summary), silence }))
    })
  }

  /** Takes what the platform's list says about the zone's backend servers. */
  setLeavingServers (servers: readonly string[]): void {
    this.leavingServers = [...servers].sort()
    this.renewSummary()
  }

  /** What the platform's list says of all zones, as far as it has reached this instance. */
  leavingServersOfAllZones (): readonly string[] {
    const { own } = this.summaries
    return [...own?.leavingServers ?? [], ...this.summaries.otherZones().flatMap(({ summary }) => summary.leavingServers)]
  }

  /** Takes the head that a read of the store, begun at `startedAt`, has found. */
  confirmRead (startedAt: number, head: number): void {
    this.confirmation.takeRead(startedAt, head, this.installed.revision)
    if (this.confirmation.confirmedAt >= startedAt) this.refreshed = true
  }

  /** Installs changes from any source; returns those that were new. */
  installChanges (changes: readonly CatalogueChange[]): readonly CatalogueChange[] {
    const before = this.installed.revision
    this.installed.installChanges(changes)
    return changes.filter(({ revision }) => revision > before && revision <= this.installed.revision)
  }

  installSnapshot (snapshot: Parameters<InstalledCatalogue['installSnapshot']>[0]): boolean {
    return this.installed.installSnapshot(snapshot)
  }

  createRequest (kind: ExchangeKind, changes: readonly CatalogueChange[] = []): ExchangeMessage {
    if (kind === 'other-zone') this.renewSummary()
    const { own } = this.summaries
    return {
      ...this.createBody(kind),
      ...(kind === 'triggered' ? {} : { clocks: this.summaries.digest() }),
      ...(this.isIntroduced || kind === 'triggered' || kind === 'other-zone' ? {} : { entries: [this.selfEntry()] }),
      ...(kind === 'other-zone' && own !== undefined ? { summaries: [own] } : {}),
      ...(changes.length > 0 ? { changes } : {}),
      // A starting instance first asks several peers for their revisions.
      ...(kind !== 'join' && this.isFarBehind() ? { wantsSnapshot: true } : {})
    }
  }

  /** Merges a request and returns the reply. The confirmation does not change, as the request may be old. */
  handleRequest (message: ExchangeMessage): ExchangeMessage {
    this.mergeMembers(message)
    this.summaries.merge(message.summaries ?? [])
    this.installChanges(message.changes ?? [])
    const isOwnZone = message.zone === this.settings.zone
    const beats = isOwnZone && message.beats !== undefined ? unpackBeats(message.beats, message.revision) : undefined
    const entries = beats === undefined ? [] : this.membership.entriesMissingFrom(beats)
    if (message.kind === 'other-zone') this.renewSummary()
    const summaries = message.clocks === undefined ? [] : this.summaries.newerThan(message.clocks)
    return {
      ...this.createBody(message.kind),
      ...(entries.length > 0 ? { entries } : {}),
      ...(summaries.length > 0 ? { summaries } : {}),
      ...this.catalogueFor(message)
    }
  }

  /** Merges the reply to a request that was sent at `startedAt`; returns newly installed changes. */
  handleReply (message: ExchangeMessage, startedAt: number): readonly CatalogueChange[] {
    this.mergeMembers(message)
    this.summaries.merge(message.summaries ?? [])
    if (message.snapshot !== undefined) this.installSnapshot(message.snapshot)
    const installed = this.installChanges(message.changes ?? [])
    if (message.confirmed !== undefined) this.confirmation.takeReply(startedAt, message.confirmed, this.installed.revision)
    this.noteRevision(message.revision)
    if (message.zone === this.settings.zone && message.beats !== undefined) {
      this.isIntroduced = unpackBeats(message.beats, message.revision).some(({ key }) => key === this.membership.selfKey)
    }
    this.lastExchangeAt = this.clock.monotonic()
    this.refreshed = true
    return installed
  }

  private beat (now: number): void {
    const { membership } = this
    membership.changeDetails({ demands: this.demandMeter.endPeriod(now - this.lastBeatAt) })
    membership.beat(this.installed.revision, Math.max(0, this.confirmation.age))
    const members = [membership.self, ...this.others()].map(({ details }) => demandsOf(details))
    this.zoneDemands = this.zoneAverage.update(sumDemands(members), now - this.lastBeatAt)
    membership.removeSilent()
    this.summaries.forgetSilent()
    this.lastBeatAt = now
  }

  private createBody (kind: ExchangeKind): ExchangeMessage {
    const { revision } = this.installed
    const confirmed = this.confirmation.report()
    return {
      kind,
      zone: this.settings.zone,
      revision,
      ...(confirmed === undefined ? {} : { confirmed }),
      ...(kind === 'zone' || kind === 'join' ? { beats: packBeats(this.membership.beats(), revision) } : {})
    }
  }

  private catalogueFor ({ revision, wantsSnapshot }: ExchangeMessage): Pick<ExchangeMessage, 'changes' | 'snapshot'> {
    if (revision >= this.installed.revision) return {}
    const changes = this.installed.changesAfter(revision)
    if (changes !== undefined && changes.length <= MAXIMUM_CHANGES_BEFORE_SNAPSHOT) return { changes }
    // An instance that installed a snapshot lacks the changes below it; the sender asks again for a snapshot when no peer has them.
    const isGapLarge = revision > 0 && this.installed.revision - revision > MAXIMUM_CHANGES_BEFORE_SNAPSHOT
    return wantsSnapshot === true || isGapLarge ? { snapshot: this.installed.snapshot() } : {}
  }

  private mergeMembers ({ zone, entries, beats, revision }: ExchangeMessage): void {
    if (zone !== this.settings.zone) return
    this.membership.mergeEntries(entries ?? [])
    if (beats !== undefined) this.membership.mergeBeats(unpackBeats(beats, revision))
  }

  private noteRevision (peerRevision: number): void {
    if (peerRevision <= this.installed.revision) this.behindSince = undefined
    else this.behindSince ??= this.clock.monotonic()
  }

  private isFarBehind (): boolean {
    const { behindSince } = this
    return this.installed.revision === 0 || (behindSince !== undefined && this.clock.monotonic() - behindSince >= CUT_OFF_AFTER_MILLISECONDS)
  }

  private selfEntry (): MemberEntry {
    const { key, facts, details } = this.membership.self
    return { key, facts, details }
  }

  private others (): readonly Member[] {
    const { membership } = this
    return membership.all().filter(member => member.key !== membership.selfKey && membership.stateOf(member) !== 'dead')
  }

  private renewSummary (): void {
    const peers = this.membership.livePeersOfZone().map(({ address }) => address)
    // Another member's reading stands until this one, as the zone's writer, has read the list itself.
    const { own } = this.summaries
    const leavingServers = (this.isZoneWriter ? this.leavingServers : undefined) ?? own?.leavingServers ?? []
    this.summaries.renew({
      members: this.others().length + 1,
      contacts: this.random.sample([this.settings.address, ...peers], SUMMARY_CONTACTS),
      demands: packDemands(this.zoneDemands, own === undefined ? undefined : demandsOf(own)),
      leavingServers
    })
  }
}
