/**
 * Selects the instance of an availability zone that reads the store's changes for the others.
 *
 * All instances compute the same ranking of the zone's instances, with wide links first, so they agree on the
 * reader without messages. An instance to which a reader does not answer excludes that reader for some time.
 * Two readers at the same time are harmless: changes are only read twice from the store.
 */

import { rendezvousRank } from '#jayfall/shared'

import { STORE_POLL_WAIT_MILLISECONDS, MAXIMUM_READ_AGE_MILLISECONDS, MAXIMUM_EXCLUSION_MILLISECONDS, MINIMUM_SHARING_INSTANCES, PEER_READ_SUSPENSION_MILLISECONDS, READER_ROLE_MILLISECONDS, FIRST_EXCLUSION_MILLISECONDS, WIDE_LINK_FRACTION } from './JayfallFeedConstants'

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

const RANK_KEY = 'feed-reader'

/** One instance's view of the readers of its zone. Times are monotonic milliseconds. */
export class ReaderSelector {
  /** The instances of the zone, with the preferred reader first. */
  private ranked: readonly FeedInstance[] = []
  /** Excluded readers by identifier. */
  private readonly exclusions = new Map<string, Exclusion>()
  /** Whether this instance is the preferred reader. */
  private isPreferred = false
  private lastPeerCallAt = -Infinity
  /** Time since which other instances have been reading from this one. */
  private readerSince = -Infinity
  private lastOwnFailureAt = -Infinity

  /** @param link bandwidth of this instance's link in Mbit/s. */
  constructor (private readonly id: string, private readonly zone: string, private readonly link = 0) {}

  /**
   * Replaces the known instances and ranks those of the zone.
   * @param instances all known instances, with or without this one.
   */
  updateInstances (instances: readonly FeedInstance[]): void {
    const others = new Map(instances.filter(({ id, zone }) => id !== this.id && zone === this.zone).map(instance => [instance.id, instance]))
    const all = [...others.values(), { id: this.id, zone: this.zone, address: '', link: this.link }]
    const widest = Math.max(...all.map(linkBandwidth))
    const isWide = (instance: FeedInstance): boolean => linkBandwidth(instance) >= widest * WIDE_LINK_FRACTION
    this.ranked = [...rankByHash(all.filter(isWide)), ...rankByHash(all.filter(instance => !isWide(instance)))]
    this.isPreferred = this.isSharing && this.ranked[0].id === this.id
    for (const id of this.exclusions.keys()) if (!others.has(id)) this.exclusions.delete(id)
  }

  private get isSharing (): boolean {
    return this.ranked.length >= MINIMUM_SHARING_INSTANCES
  }

  /** Records that another instance reads from this one. */
  recordPeerCall (now: number): void {
    if (now - this.lastPeerCallAt >= READER_ROLE_MILLISECONDS) this.readerSince = now
    this.lastPeerCallAt = now
  }

  /** Records that a reader did not answer or has lost the store, and excludes it. */
  recordReaderFailure (id: string, now: number): void {
    const previous = this.exclusions.get(id)
    const duration = previous === undefined ? FIRST_EXCLUSION_MILLISECONDS : Math.min(MAXIMUM_EXCLUSION_MILLISECONDS, previous.duration * 2)
    this.exclusions.set(id, { until: now + duration, duration })
  }

  /** Records that a reader answered, and ends its exclusion. */
  recordReaderSuccess (id: string): void {
    this.exclusions.delete(id)
  }

  /** Records that the store did not answer this instance. In this case it most likely does not answer the readers either. */
  recordOwnFailure (now: number): void {
    this.lastOwnFailureAt = now
  }

  /** Whether other instances read from this one, or prefer it as reader. */
  isReader (now: number): boolean {
    return this.isPreferred || now - this.lastPeerCallAt < READER_ROLE_MILLISECONDS
  }

  /** Whether a long poll that this instance began before it became a reader may still be running. */
  isNewReader (now: number): boolean {
    return now - this.readerSince < STORE_POLL_WAIT_MILLISECONDS + MAXIMUM_READ_AGE_MILLISECONDS
  }

  /** The instance to read from, or undefined when this instance reads from the store itself. */
  selectReader (now: number): FeedInstance | undefined {
    if (!this.isSharing || this.isReader(now) || now - this.lastOwnFailureAt < PEER_READ_SUSPENSION_MILLISECONDS) return undefined
    const reader = this.ranked.find(({ id }) => now >= (this.exclusions.get(id)?.until ?? -Infinity))
    return reader === undefined || reader.id === this.id ? undefined : reader
  }
}

function linkBandwidth ({ link = 0 }: FeedInstance): number {
  return link
}

/** Ranks instances by rendezvous hashing, so that all instances obtain the same order. */
function rankByHash (instances: readonly FeedInstance[]): readonly FeedInstance[] {
  const byId = new Map(instances.map(instance => [instance.id, instance]))
  return rendezvousRank(RANK_KEY, byId.keys()).map(id => byId.get(id)).filter(instance => instance !== undefined)
}
