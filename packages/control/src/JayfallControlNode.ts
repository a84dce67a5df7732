/**
 * The control state of one entry instance: the members of its zone, the installed catalogue, the summaries
 * of the zones and the limit shares. The node creates and merges exchange messages; it has no sockets or timers.
 *
 * Merging is idempotent and independent of order. Repeated, late or lost messages affect when an
 * instance receives information and never the state that it finally reaches.
 */

import { InstalledCatalogue, MAXIMUM_CHANGES_BEFORE_SNAPSHOT, type CatalogueChange, type ReadonlyCatalogue } from '#jayfall/catalogue'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { Confirmation } from './JayfallConfirmation'
import { CUT_OFF_AFTER_MILLISECONDS, HEARTBEAT_INTERVAL_MILLISECONDS, PAUSE_DETECTION_MILLISECONDS, STORE_READERS_PER_ZONE, SUMMARY_CONTACTS, ZONE_AVERAGE_TIME_CONSTANT_MILLISECONDS } from './JayfallControlConstants'
import { DemandAverage, DemandMeter, demandsOf, packDemands, sumDemands, type Demands } from './JayfallDemand'
import { type ExchangeKind, type ExchangeMessage } from './JayfallExchangeMessage'
import { LimitShares, type LimitShare } from './JayfallLimitShares'
import { packHeartbeats, unpackHeartbeats, type MemberEntry } from './JayfallMember'
import { Membership, type Member } from './JayfallMembership'
import { ZoneSummaries } from './JayfallZoneSummaries'

export interface ControlNodeSettings {
  readonly instanceId: string
  readonly zone: string
  /** IP address and port on which this instance accepts calls from other instances. */
  readonly address: string
  /** Start time of the process, in wall-clock milliseconds. */
  readonly incarnation: number
}

/** Holds the control state of one instance and merges messages into it. */
export class ControlNode {
  readonly membership: Membership
  readonly confirmation: Confirmation
  readonly summaries: ZoneSummaries
  readonly demandMeter = new DemandMeter()
  private readonly installed = new InstalledCatalogue()
  private readonly limitShares: LimitShares
  private readonly zoneAverage = new DemandAverage(ZONE_AVERAGE_TIME_CONSTANT_MILLISECONDS)
  private zoneDemands: Demands = new Map()
  private lastTickAt: number
  private lastHeartbeatAt: number
  private lastExchangeAt = -Infinity
  /** Whether an exchange or a read of the store has succeeded since the start or the last pause of the process. */
  private hasRefreshed = false
  /** Whether the last reply from a peer of the own zone listed this instance as a member. */
  private isIntroduced = false
  /** Monotonic milliseconds since which peers report a higher revision than the installed one; undefined when they do not. */
  private behindSince: number | undefined
  /** Identifiers of the zone's leaving backend servers; undefined until this instance has read the platform's list. */
  private leavingServers: readonly string[] | undefined

  constructor (readonly settings: ControlNodeSettings, private readonly clock: Clock, private readonly random: RandomSource) {
    const { instanceId, address, incarnation, zone } = settings
    this.membership = new Membership(zone, { id: instanceId, address, incarnation }, clock)
    this.confirmation = new Confirmation(clock)
    this.summaries = new ZoneSummaries(zone, clock)
    this.limitShares = new LimitShares(clock)
    this.lastTickAt = clock.monotonic()
    this.lastHeartbeatAt = this.lastTickAt
  }

  get catalogue (): ReadonlyCatalogue {
    return this.installed
  }

  /** Whether the state is recent enough for this instance to act on behalf of its zone. */
  get isRefreshed (): boolean {
    return this.hasRefreshed
  }

  /** Whether this instance reads the store: it is one of its zone's readers, or it has no contact with any peer. */
  get isStoreReader (): boolean {
    if (this.clock.monotonic() - this.lastExchangeAt >= CUT_OFF_AFTER_MILLISECONDS) return true
    const rank = this.membership.selfRank()
    return this.hasRefreshed && rank >= 0 && rank < STORE_READERS_PER_ZONE
  }

  /** Whether this instance writes the zone's status row and reads the platform's list for the zone. */
  get isZoneWriter (): boolean {
    return this.hasRefreshed && this.membership.selfRank() === 0
  }

  /**
   * Advances the heartbeat counter when it is due and detects pauses of the process.
   * @returns the length of a pause in milliseconds, or 0.
   */
  tick (): number {
    const now = this.clock.monotonic()
    const gap = now - this.lastTickAt
    this.lastTickAt = now
    const paused = gap > PAUSE_DETECTION_MILLISECONDS ? gap : 0
    if (paused > 0) {
      this.hasRefreshed = false
      this.membership.compensatePause(paused)
      this.summaries.compensatePause(paused)
    }
    if (now - this.lastHeartbeatAt >= HEARTBEAT_INTERVAL_MILLISECONDS) this.advanceHeartbeat(now)
    return paused
  }

  /** Computes this instance's shares of the limits in the installed catalogue; called once a second. */
  updateShares (): readonly LimitShare[] {
    const { membership, summaries } = this
    return this.limitShares.update(this.installed.all('workspace'), {
      ownDemands: demandsOf(membership.self.details),
      otherMembers: this.otherMembers().map(({ details }) => demandsOf(details)),
      zoneDemands: summaries.own === undefined ? new Map() : demandsOf(summaries.own),
      otherZones: summaries.otherZones().map(({ summary, silence }) => ({ zone: summary.zone, members: summary.members, demands: demandsOf(summary), silence }))
    })
  }

  /** Sets the zone's backend servers that are leaving according to the platform's list, by identifier. */
  setLeavingServers (servers: readonly string[]): void {
    this.leavingServers = [...servers].sort()
    this.renewSummary()
  }

  /** The leaving backend servers of all zones, by identifier, as far as their zones' summaries have reached this instance. */
  leavingServersOfAllZones (): readonly string[] {
    const { own } = this.summaries
    return [...own?.leavingServers ?? [], ...this.summaries.otherZones().flatMap(({ summary }) => summary.leavingServers)]
  }

  /** Records that a read of the store that began at `startedAt` (monotonic milliseconds) returned the revision `head`. */
  confirmRead (startedAt: number, head: number): void {
    this.confirmation.confirmByRead(startedAt, head, this.installed.revision)
    if (this.confirmation.confirmedAt >= startedAt) this.hasRefreshed = true
  }

  /** Installs changes from any source and returns those that were new. */
  installChanges (changes: readonly CatalogueChange[]): readonly CatalogueChange[] {
    const before = this.installed.revision
    this.installed.installChanges(changes)
    return changes.filter(({ revision }) => revision > before && revision <= this.installed.revision)
  }

  /** Installs a snapshot unless the installed revision is as high; returns whether it was installed. */
  installSnapshot (snapshot: Parameters<InstalledCatalogue['installSnapshot']>[0]): boolean {
    return this.installed.installSnapshot(snapshot)
  }

  /** Creates the request of an exchange. `changes` are newly installed changes that a triggered exchange passes on. */
  createRequest (kind: ExchangeKind, changes: readonly CatalogueChange[] = []): ExchangeMessage {
    if (kind === 'other-zone') this.renewSummary()
    const { own } = this.summaries
    return {
      ...this.createMessage(kind),
      ...(kind === 'triggered' ? {} : { clocks: this.summaries.digest() }),
      ...(this.isIntroduced || kind === 'triggered' || kind === 'other-zone' ? {} : { entries: [this.selfEntry()] }),
      ...(kind === 'other-zone' && own !== undefined ? { summaries: [own] } : {}),
      ...(changes.length > 0 ? { changes } : {}),
      // A starting instance first asks several peers for their revisions and requests the catalogue from only one of them.
      ...(kind !== 'join' && this.isFarBehind() ? { wantsSnapshot: true } : {})
    }
  }

  /** Merges a request and returns the reply. The request may be old, so it does not advance the confirmation. */
  handleRequest (message: ExchangeMessage): ExchangeMessage {
    this.mergeMembers(message)
    this.summaries.merge(message.summaries ?? [])
    this.installChanges(message.changes ?? [])
    const isOwnZone = message.zone === this.settings.zone
    const beats = isOwnZone && message.beats !== undefined ? unpackHeartbeats(message.beats, message.revision) : undefined
    const entries = beats === undefined ? [] : this.membership.entriesMissingFrom(beats)
    if (message.kind === 'other-zone') this.renewSummary()
    const summaries = message.clocks === undefined ? [] : this.summaries.newerThan(message.clocks)
    return {
      ...this.createMessage(message.kind),
      ...(entries.length > 0 ? { entries } : {}),
      ...(summaries.length > 0 ? { summaries } : {}),
      ...this.createCatalogueUpdate(message)
    }
  }

  /** Merges the reply to a request that was sent at `startedAt` (monotonic milliseconds) and returns the newly installed changes. */
  handleReply (message: ExchangeMessage, startedAt: number): readonly CatalogueChange[] {
    this.mergeMembers(message)
    this.summaries.merge(message.summaries ?? [])
    if (message.snapshot !== undefined) this.installSnapshot(message.snapshot)
    const installed = this.installChanges(message.changes ?? [])
    if (message.confirmed !== undefined) this.confirmation.confirmByReply(startedAt, message.confirmed, this.installed.revision)
    this.updateBehindSince(message.revision)
    if (message.zone === this.settings.zone && message.beats !== undefined) {
      this.isIntroduced = unpackHeartbeats(message.beats, message.revision).some(({ key }) => key === this.membership.selfKey)
    }
    this.lastExchangeAt = this.clock.monotonic()
    this.hasRefreshed = true
    return installed
  }

  private advanceHeartbeat (now: number): void {
    const { membership } = this
    membership.changeDetails({ demands: this.demandMeter.endPeriod(now - this.lastHeartbeatAt) })
    membership.advanceHeartbeat(this.installed.revision, Math.max(0, this.confirmation.age))
    const members = [membership.self, ...this.otherMembers()].map(({ details }) => demandsOf(details))
    this.zoneDemands = this.zoneAverage.update(sumDemands(members), now - this.lastHeartbeatAt)
    membership.removeExpired()
    this.summaries.removeExpired()
    this.lastHeartbeatAt = now
  }

  private createMessage (kind: ExchangeKind): ExchangeMessage {
    const { revision } = this.installed
    const confirmed = this.confirmation.report()
    return {
      kind,
      zone: this.settings.zone,
      revision,
      ...(confirmed === undefined ? {} : { confirmed }),
      ...(kind === 'zone' || kind === 'join' ? { beats: packHeartbeats(this.membership.heartbeats(), revision) } : {})
    }
  }

  private createCatalogueUpdate ({ revision, wantsSnapshot }: ExchangeMessage): Pick<ExchangeMessage, 'changes' | 'snapshot'> {
    if (revision >= this.installed.revision) return {}
    const changes = this.installed.changesAfter(revision)
    if (changes !== undefined && changes.length <= MAXIMUM_CHANGES_BEFORE_SNAPSHOT) return { changes }
    // An instance that installed a snapshot lacks the changes below its revision. When no peer has them, the sender requests a snapshot later.
    const isGapLarge = revision > 0 && this.installed.revision - revision > MAXIMUM_CHANGES_BEFORE_SNAPSHOT
    return wantsSnapshot === true || isGapLarge ? { snapshot: this.installed.snapshot() } : {}
  }

  private mergeMembers ({ zone, entries, beats, revision }: ExchangeMessage): void {
    if (zone !== this.settings.zone) return
    this.membership.mergeEntries(entries ?? [])
    if (beats !== undefined) this.membership.mergeHeartbeats(unpackHeartbeats(beats, revision))
  }

  private updateBehindSince (peerRevision: number): void {
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

  private otherMembers (): readonly Member[] {
    const { membership } = this
    return membership.all().filter(member => member.key !== membership.selfKey && membership.stateOf(member) !== 'dead')
  }

  private renewSummary (): void {
    const peers = this.membership.livePeersOfZone().map(({ address }) => address)
    // The servers that another member read remain in the summary until this instance, as the zone's writer, has read the list itself.
    const { own } = this.summaries
    const leavingServers = (this.isZoneWriter ? this.leavingServers : undefined) ?? own?.leavingServers ?? []
    this.summaries.renew({
      members: this.otherMembers().length + 1,
      contacts: this.random.sample([this.settings.address, ...peers], SUMMARY_CONTACTS),
      demands: packDemands(this.zoneDemands, own === undefined ? undefined : demandsOf(own)),
      leavingServers
    })
  }
}
