/**
 * Notices by which a reader tells the instances that read from it what it has read.
 *
 * A notice is a datagram and may be lost. It holds no rows: an instance that lacks a change calls the reader, and
 * one that gets no notice for too long does so too. So an idle deployment costs a datagram per instance and poll.
 */

import { comparePositions, type TablePosition } from '#jayfall/store'
import * as z from 'zod'

const tableNotice = z.object({
  /** Revision of the newest change that the reader knows of. */
  changed: z.number(),
  /** Revision up to which the reader knows all changes. */
  complete: z.number(),
  /** Eras of the store in which both revisions count; absent in notices of older versions. */
  changedEra: z.number().prefault(0),
  era: z.number().prefault(0),
  /** Milliseconds since the reading from the store. */
  age: z.number().nonnegative()
}).readonly()

const feedMessage = z.discriminatedUnion('feed', [
  z.object({
    feed: z.literal('notice'),
    reader: z.string(),
    /** The store's clock at the time of the notice, in milliseconds. */
    storeTime: z.number(),
    tables: z.record(z.string(), tableNotice)
  }).readonly(),
  /** The reader is about to stop. */
  z.object({ feed: z.literal('leaving'), reader: z.string() }).readonly(),
  /** Asks for notices, or for no more of them. `address`: IP address and port that they are sent to. */
  z.object({ feed: z.enum(['subscribe', 'unsubscribe']), address: z.string() }).readonly()
])

export type FeedMessage = z.infer<typeof feedMessage>
export type FeedNotice = Extract<FeedMessage, { readonly feed: 'notice' }>
export type TableNotice = z.infer<typeof tableNotice>

/** Encodes what a reader has read of a table. @param age milliseconds since the reading. */
export function encodeTableNotice (changed: TablePosition, complete: TablePosition, age: number): TableNotice {
  return { changed: changed.revision, changedEra: changed.era, complete: complete.revision, era: complete.era, age }
}

/** Returns undefined when the message is of another kind. */
export function readFeedMessage (message: unknown): FeedMessage | undefined {
  return feedMessage.safeParse(message).data
}

/** What a reader has read of one table. Times are monotonic milliseconds of this instance. */
export interface KnownReading {
  readonly changed: TablePosition
  readonly complete: TablePosition
  readonly readAt: number
  /** The store's clock minus the monotonic clock of this instance. */
  readonly storeTimeOffset: number
}

/** The latest notices of the readers that this instance reads from. */
export class ReaderNotices {
  private readonly readings = new Map<string, KnownReading>()
  private readonly waiting = new Set<() => void>()
  private readonly notifyingReaders = new Set<string>()

  /** Whether the reader has sent a notice. A reader of a version that sends none must not be sent messages either. */
  hasNotified (reader: string): boolean {
    return this.notifyingReaders.has(reader)
  }

  /** Records a notice that arrived as a datagram. */
  recordNotice (notice: FeedNotice, now: number): void {
    this.notifyingReaders.add(notice.reader)
    this.record(notice, now)
  }

  /** Records what a notice or the reply to a call tells. */
  record ({ reader, storeTime, tables }: FeedNotice, now: number): void {
    for (const [table, { age, changed, changedEra, complete, era }] of Object.entries(tables)) {
      const known = { changed: { era: changedEra, revision: changed }, complete: { era, revision: complete } }
      const key = keyOf(reader, table)
      const previous = this.readings.get(key)
      // Datagrams may overtake each other.
      if (previous === undefined || comparePositions(known.complete, previous.complete) >= 0) this.readings.set(key, { ...known, readAt: now - age, storeTimeOffset: storeTime - now })
    }
    this.wake()
  }

  /** Forgets the notices of a reader that has failed or has left. */
  forget (reader: string): void {
    this.notifyingReaders.delete(reader)
    for (const key of this.readings.keys()) if (key.startsWith(keyOf(reader, ''))) this.readings.delete(key)
    this.wake()
  }

  get (reader: string, table: string): KnownReading | undefined {
    return this.readings.get(keyOf(reader, table))
  }

  /** Resolves at the next notice, or when `milliseconds` have passed. */
  waitForNotice (milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        this.waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, Math.max(1, milliseconds))
      this.waiting.add(wake)
    })
  }

  /** Makes the waiting reads check again whom to read from. */
  wake (): void {
    for (const wake of [...this.waiting]) wake()
  }
}

function keyOf (reader: string, table: string): string {
  return `${reader}\0${table}`
}
