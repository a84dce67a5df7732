/**
 * Selects the instance that reads the store's changes for this one.
 *
 * In each availability zone one instance reads for the others, and one of these readers, the root, reads the store
 * for the readers of all zones. All instances compute the same ranking, with wide links first, so they agree without
 * messages. An instance to which a reader does not answer excludes that reader for some time and takes the next one.
 * An instance only reads from one that is ranked before it, so that there are no cycles. Several readers at the same
 * time are harmless: changes are only read more often from the store.
 *
 * An instance that the store turns away reads from any other one. Two instances may then read from each other, until
 * their reading is too old to be passed on and one of them reads from the store.
 */

import { rendezvousWeight } from '#jayfall/shared'

import { MAXIMUM_EXCLUSION_MILLISECONDS, OWN_FAILURE_MEMORY_MILLISECONDS, PEER_READ_SUSPENSION_MILLISECONDS, FIRST_EXCLUSION_MILLISECONDS, STALE_READER_EXCLUSION_MILLISECONDS, WIDE_LINK_FRACTION } from './JayfallFeedConstants'

/** An instance that can read for other instances of its zone. */
export interface FeedInstance {
  readonly id: string
  readonly zone: string
  /** IP address and port on which it accepts calls from other instances. */
  readonly address: string
  /** Bandwidth of its link in Mbit/s; undefined when it is unknown. */
  readonly link?: number
}

/** The exclusion of a reader that failed. */
interface Exclusion {
  /** End of the exclusion, in monotonic milliseconds. */
  readonly until: number
  /** Duration of the exclusion in milliseconds; doubles with each consecutive failure. */
  readonly duration: number
}

/** What this instance does for others. A root reads the store itself. */
export type FeedRole = 'root' | 'zone_reader' | 'follower'

const RANK_KEY = 'feed-reader'

/** One instance's view of the readers. Times are monotonic milliseconds. */
export class ReaderSelector {
  /** The other instances of the zone that are ranked before this one, the preferred reader first. */
  private zoneReaders: readonly FeedInstance[] = []
  /** The preferred readers of the zones that are ranked before this instance, the preferred root first. */
  private roots: readonly FeedInstance[] = []
  /** Excluded readers by identifier. */
  private readonly exclusions = new Map<string, Exclusion>()
  private isPreferredInZone = false
  /** The preferred readers of all zones and then the other instances of the zone, whatever their rank. */
  private otherReaders: readonly FeedInstance[] = []
  private hasOthers = false
  private lastOwnFailureAt = -Infinity
  /** Time of the first failure since the store last answered this instance; undefined when it answered the last call. */
  private firstOwnFailureAt: number | undefined
  /** Weights of the ranking by identifier. */
  private readonly weights = new Map<string, number>()

  /**
   * @param link bandwidth of this instance's link in Mbit/s.
   * @param hasSubscribers whether other instances read from this one.
   */
  constructor (private readonly id: string, private readonly zone: string, private readonly link = 0, private readonly hasSubscribers: (now: number) => boolean = () => false) {}

  /**
   * Replaces the known instances and ranks them.
   * @param instances all known instances, with or without this one.
   */
  updateInstances (instances: readonly FeedInstance[]): void {
    const own: FeedInstance = { id: this.id, zone: this.zone, address: '', link: this.link }
    const all = [...instances.filter(({ id }) => id !== this.id), own]
    const inZone = this.rankReaders(all.filter(({ zone }) => zone === this.zone))
    this.zoneReaders = rankedBefore(inZone, this.id)
    this.isPreferredInZone = inZone[0].id === this.id
    const preferred = [...new Set(all.map(({ zone }) => zone))].map(zone => this.rankReaders(all.filter(instance => instance.zone === zone))[0])
    const rankedRoots = this.rankReaders(preferred)
    this.roots = rankedBefore(rankedRoots, this.id)
    this.otherReaders = [...rankedRoots, ...inZone].filter(({ id }) => id !== this.id)
    this.hasOthers = all.length > 1
    const ids = new Set(all.map(({ id }) => id))
    for (const id of this.exclusions.keys()) if (!ids.has(id)) this.exclusions.delete(id)
  }

  /** Records that a reader did not answer, and excludes it. */
  recordReaderFailure (id: string, now: number): void {
    const previous = this.exclusions.get(id)
    const duration = Math.min(MAXIMUM_EXCLUSION_MILLISECONDS, Math.max(FIRST_EXCLUSION_MILLISECONDS, (previous?.duration ?? 0) * 2))
    this.exclusions.set(id, { until: now + duration, duration })
  }

  /** Records that a reader has lost the store. It answers, so it is asked again soon. */
  recordStaleReader (id: string, now: number): void {
    this.exclusions.set(id, { until: now + STALE_READER_EXCLUSION_MILLISECONDS, duration: this.exclusions.get(id)?.duration ?? 0 })
  }

  /** Records that a reader answered, and ends its exclusion. */
  recordReaderSuccess (id: string): void {
    this.exclusions.delete(id)
  }

  /** Records that the store did not answer this instance. In this case it most likely does not answer the readers either. */
  recordOwnFailure (now: number): void {
    if (now - this.lastOwnFailureAt > OWN_FAILURE_MEMORY_MILLISECONDS) this.firstOwnFailureAt = undefined
    this.firstOwnFailureAt ??= now
    this.lastOwnFailureAt = now
  }

  /** Records that the store answered this instance. */
  recordOwnSuccess (): void {
    this.firstOwnFailureAt = undefined
  }

  /** Forgets all failures: the store answers again, so that readers whose readings were late can read again too. */
  forgetFailures (): void {
    this.exclusions.clear()
    this.lastOwnFailureAt = -Infinity
    this.firstOwnFailureAt = undefined
  }

  roleAt (now: number): FeedRole {
    if (!this.isPreferredInZone && !this.hasSubscribers(now)) return 'follower'
    return this.findUsable(this.roots, now) === undefined ? 'root' : 'zone_reader'
  }

  /** Whether this instance reads for others, or will when they notice that it is preferred. */
  readsForOthers (now: number): boolean {
    return this.hasOthers && this.roleAt(now) !== 'follower'
  }

  /** The instance to read from, or undefined when this instance reads from the store itself. */
  selectReader (now: number): FeedInstance | undefined {
    const isTurnedAway = this.isTurnedAway(now)
    if (this.hasFailedLately(now) && !isTurnedAway) return undefined
    const reader = this.findUsable(this.roleAt(now) === 'follower' ? this.zoneReaders : this.roots, now)
    return reader ?? (isTurnedAway ? this.findUsable(this.otherReaders, now) : undefined)
  }

  /** Whether the store goes on not answering this instance, while it may answer others. */
  isTurnedAway (now: number): boolean {
    return this.hasFailedLately(now) && this.firstOwnFailureAt !== undefined && now - this.firstOwnFailureAt >= PEER_READ_SUSPENSION_MILLISECONDS
  }

  /** Whether the store has not answered the last call of this instance. */
  get isStoreFailing (): boolean {
    return this.firstOwnFailureAt !== undefined
  }

  private hasFailedLately (now: number): boolean {
    return now - this.lastOwnFailureAt < PEER_READ_SUSPENSION_MILLISECONDS
  }

  private findUsable (readers: readonly FeedInstance[], now: number): FeedInstance | undefined {
    return readers.find(({ id }) => now >= (this.exclusions.get(id)?.until ?? -Infinity))
  }

  /** Ranks instances in the same order at all instances, those with wide links first. */
  private rankReaders (instances: readonly FeedInstance[]): readonly FeedInstance[] {
    const widest = Math.max(...instances.map(linkBandwidth))
    const isNarrow = (instance: FeedInstance): boolean => linkBandwidth(instance) < widest * WIDE_LINK_FRACTION
    return [...instances].sort((left, right) => Number(isNarrow(left)) - Number(isNarrow(right)) || this.weightOf(right) - this.weightOf(left) || (left.id < right.id ? -1 : 1))
  }

  private weightOf ({ id }: FeedInstance): number {
    const weight = this.weights.get(id) ?? rendezvousWeight(RANK_KEY, id)
    this.weights.set(id, weight)
    return weight
  }
}

/** The instances that are ranked before one of them, or all when it is not among them. */
function rankedBefore (ranked: readonly FeedInstance[], id: string): readonly FeedInstance[] {
  const index = ranked.findIndex(instance => instance.id === id)
  return index === -1 ? ranked : ranked.slice(0, index)
}

function linkBandwidth ({ link = 0 }: FeedInstance): number {
  return link
}
