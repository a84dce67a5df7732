/** Answers long polls of other instances from the recent changes of the tables that this instance follows. */

import { type Clock } from '#jayfall/shared'

import { MAXIMUM_READ_AGE_MILLISECONDS, MAXIMUM_RELAYED_BYTES } from './JayfallFeedConstants'
import { type FeedHistory } from './JayfallFeedHistory'
import { ChangesSource, type ChangesReply, type ChangesRequest, type TableReply } from './JayfallFeedPeerClient'
import { type ReaderSelector } from './JayfallReaderSelector'
import { ChangeEncoder } from './JayfallRelayedChange'

/** Serves changes while this instance is the reader of its zone. */
export class ChangesServer extends ChangesSource {
  private isStopping = false
  /** Functions that wake the calls waiting for a change. */
  private readonly wakeCallbacks = new Set<() => void>()
  private readonly encoder = new ChangeEncoder()

  constructor (private readonly histories: ReadonlyMap<string, FeedHistory>, private readonly readerSelector: ReaderSelector, private readonly clock: Clock) {
    super()
  }

  /** Answers immediately when a table has changes or is refused, and otherwise at the end of the wait or when the data of a table becomes too old. */
  override async answer (request: ChangesRequest): Promise<ChangesReply> {
    const { clock } = this
    this.readerSelector.recordPeerCall(clock.monotonic())
    const end = clock.monotonic() + request.wait
    for (;;) {
      const now = clock.monotonic()
      const replies = Object.entries(request.tables).map(([table, revision]) => [table, this.answerTable(table, revision, now)] as const)
      if (now >= end || replies.some(([, reply]) => isReadyToSend(reply))) return Object.fromEntries(replies)
      await this.waitForChange(Math.min(end, this.freshUntil(request)) - now)
    }
  }

  /** Makes the waiting calls check the histories again. */
  notifyOfChange (): void {
    for (const wake of this.wakeCallbacks) wake()
  }

  /** Refuses all requests from now on. */
  stop (): void {
    this.isStopping = true
    this.notifyOfChange()
  }

  private answerTable (table: string, revision: number, now: number): TableReply {
    const history = this.histories.get(table)
    if (this.isStopping || this.hasLostStore(now)) return { kind: 'refused', reason: 'stale' }
    const reading = history?.changesAfter(revision, now)
    if (history === undefined || reading === undefined || !isFresh(history, now)) return { kind: 'refused', reason: 'not_kept' }
    const changes = this.encoder.encodeWithin(MAXIMUM_RELAYED_BYTES, reading.changes)
    if (changes === undefined) return { kind: 'refused', reason: 'too_large' }
    return { kind: 'changes', reading: { ...reading, changes }, age: now - history.completeUntil }
  }

  /** Whether no table was read from the store recently. A single table with an old read is one that this instance no longer follows. */
  private hasLostStore (now: number): boolean {
    return !this.readerSelector.isNewReader(now) && ![...this.histories.values()].some(history => isFresh(history, now))
  }

  /** Monotonic milliseconds until which all tables of the request are fresh; -Infinity when one is not followed. */
  private freshUntil ({ tables }: ChangesRequest): number {
    return Math.min(...Object.keys(tables).map(table => (this.histories.get(table)?.completeUntil ?? -Infinity) + MAXIMUM_READ_AGE_MILLISECONDS))
  }

  private waitForChange (milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        this.wakeCallbacks.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, Math.max(1, milliseconds))
      this.wakeCallbacks.add(wake)
    })
  }
}

/** Whether the last read of the table from the store is recent enough for other instances. */
function isFresh ({ completeUntil }: FeedHistory, now: number): boolean {
  return now - completeUntil < MAXIMUM_READ_AGE_MILLISECONDS
}

function isReadyToSend (reply: TableReply): boolean {
  return reply.kind === 'refused' || reply.reading.changes.length > 0
}
