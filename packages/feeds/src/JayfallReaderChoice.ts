/**
 * Which instance of an availability zone reads the store's changes for the others.
 *
 * All instances rank the zone's instances alike, those with wide links first, so they agree on the
 * reader without messages. A reader that does not answer is left out for a while by those who noticed
 * it. Two readers at a time do no harm: they only read twice.
 */

import { rendezvousRank } from '#jayfall/shared'

import { FEED_WAIT, MAXIMUM_READING_AGE, MAXIMUM_SUSPECT_SPAN, MINIMUM_SHARING_INSTANCES, OWN_READING_SPAN, READER_SPAN, READER_SUSPECT_SPAN, WIDE_LINK_SHARE } from './JayfallFeedConstants'

/** An instance that can read for others. */
export interface FeedInstance {
  readonly id: string
  readonly zone: string
  /** IP address and port at which it is asked. */
  readonly address: string
  /** Bandwidth of its link, in Mbit/s; undefined when it did not tell. */
  readonly link?: number
}

interface Suspicion {
  /** Monotonic milliseconds. */
  readonly until: number
  /** How long it is left out; doubles with each failure in a row. */
  readonly span: number
}

const RANK_KEY = 'feed-reader'

export class ReaderChoice {
  /** The zone's instances, the preferred reader first. */
  private ranked: readonly FeedInstance[] = []
  /** Instances that are left out. */
  private readonly suspects = new Map<string, Suspicion>()
  private isPreferred = false
  private askedAt = -Infinity
  private readerSince = -Infinity
  private ownFailureAt = -Infinity

  /** @param link bandwidth of the own link, in Mbit/s. */
  constructor (private readonly id: string, private readonly zone: string, private readonly link = 0) {}

  /** @param instances all that are known, with or without this one. */
  takeInstances (instances: readonly FeedInstance[]): void {
    const others = new Map(instances.filter(({ id, zone }) => id !== this.id && zone === this.zone).map(instance => [instance.id, instance]))
    const all = [...others.values(), { id: this.id, zone: this.zone, address: '', link: this.link }]
    const widest = Math.max(...all.map(linkOf))
    const isWide = (instance: FeedInstance): boolean => linkOf(instance) >= widest * WIDE_LINK_SHARE
    this.ranked = [...rank(all.filter(isWide)), ...rank(all.filter(instance => !isWide(instance)))]
    this.isPreferred = this.isSharing && this.ranked[0].id === this.id
    for (const id of this.suspects.keys()) if (!others.has(id)) this.suspects.delete(id)
  }

  private get isSharing (): boolean {
    return this.ranked.length >= MINIMUM_SHARING_INSTANCES
  }

  /** Takes note that another instance reads from this one. */
  noteAsked (now: number): void {
    if (now - this.askedAt >= READER_SPAN) this.readerSince = now
    this.askedAt = now
  }

  /** Takes note that a reader did not answer, or has lost the store. */
  noteReaderFailure (id: string, now: number): void {
    const known = this.suspects.get(id)
    const span = known === undefined ? READER_SUSPECT_SPAN : Math.min(MAXIMUM_SUSPECT_SPAN, known.span * 2)
    this.suspects.set(id, { until: now + span, span })
  }

  /** Takes note that a reader answered. */
  noteReaderSuccess (id: string): void {
    this.suspects.delete(id)
  }

  /** Takes note that the store did not answer this instance; most likely it does not answer others either. */
  noteOwnFailure (now: number): void {
    this.ownFailureAt = now
  }

  /** Whether others read from this instance, or are about to. */
  isReader (now: number): boolean {
    return this.isPreferred || now - this.askedAt < READER_SPAN
  }

  /** Whether this instance may still be in a reading that it began before others asked it. */
  isNewReader (now: number): boolean {
    return now - this.readerSince < FEED_WAIT + MAXIMUM_READING_AGE
  }

  /** The instance to read from; undefined when this one reads from the store itself. */
  readerAt (now: number): FeedInstance | undefined {
    if (!this.isSharing || this.isReader(now) || now - this.ownFailureAt < OWN_READING_SPAN) return undefined
    const reader = this.ranked.find(({ id }) => now >= (this.suspects.get(id)?.until ?? -Infinity))
    return reader === undefined || reader.id === this.id ? undefined : reader
  }
}

function linkOf ({ link = 0 }: FeedInstance): number {
  return link
}

function rank (instances: readonly FeedInstance[]): readonly FeedInstance[] {
  const byId = new Map(instances.map(instance => [instance.id, instance]))
  return rendezvousRank(RANK_KEY, byId.keys()).map(id => byId.get(id)).filter(instance => instance !== undefined)
}
