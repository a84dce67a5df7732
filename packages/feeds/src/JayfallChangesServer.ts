/** Answers other instances from the histories of the tables that this instance follows. */

import { type Clock } from '#jayfall/shared'

import { MAXIMUM_READING_AGE, MAXIMUM_RELAYED_BYTES } from './JayfallFeedConstants'
import { type FeedHistory } from './JayfallFeedHistory'
import { ChangesSource, type ChangesReply, type ChangesRequest, type TableReply } from './JayfallFeedPeers'
import { type ReaderChoice } from './JayfallReaderChoice'
import { RelayedChanges } from './JayfallRelayedChange'

export class ChangesServer extends ChangesSource {
  private isStopping = false
  /** Calls that wait for a change. */
  private readonly waiting = new Set<() => void>()
  private readonly relayed = new RelayedChanges()

  constructor (private readonly histories: ReadonlyMap<string, FeedHistory>, private readonly choice: ReaderChoice, private readonly clock: Clock) {
    super()
  }

  /** Answers at once when there are changes or a table is refused, else after the wait or when a table is too old. */
  override async answer (request: ChangesRequest): Promise<ChangesReply> {
    const { clock } = this
    this.choice.noteAsked(clock.monotonic())
    const end = clock.monotonic() + request.wait
    for (;;) {
      const now = clock.monotonic()
      const replies = Object.entries(request.tables).map(([table, revision]) => [table, this.answerTable(table, revision, now)] as const)
      if (now >= end || replies.some(([, reply]) => isWorthSending(reply))) return Object.fromEntries(replies)
      await this.waitForChange(Math.min(end, this.freshUntil(request)) - now)
    }
  }

  /** Lets the waiting calls look at the histories again. */
  noteChange (): void {
    for (const wake of this.waiting) wake()
  }

  /** Refuses everything from now on. */
  stop (): void {
    this.isStopping = true
    this.noteChange()
  }

  private answerTable (table: string, revision: number, now: number): TableReply {
    const history = this.histories.get(table)
    if (this.isStopping || this.hasLostStore(now)) return { kind: 'refused', reason: 'stale' }
    const reading = history?.after(revision, now)
    if (history === undefined || reading === undefined || !isFresh(history, now)) return { kind: 'refused', reason: 'not_kept' }
    const changes = this.relayed.within(MAXIMUM_RELAYED_BYTES, reading.changes)
    if (changes === undefined) return { kind: 'refused', reason: 'too_large' }
    return { kind: 'changes', reading: { ...reading, changes }, age: now - history.completeUntil }
  }

  /** Whether no table was heard of lately; a single old one is no longer followed. */
  private hasLostStore (now: number): boolean {
    return !this.choice.isNewReader(now) && ![...this.histories.values()].some(history => isFresh(history, now))
  }

  private freshUntil ({ tables }: ChangesRequest): number {
    return Math.min(...Object.keys(tables).map(table => (this.histories.get(table)?.completeUntil ?? -Infinity) + MAXIMUM_READING_AGE))
  }

  private waitForChange (milliseconds: number): Promise<void> {
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
}

function isFresh ({ completeUntil }: FeedHistory, now: number): boolean {
  return now - completeUntil < MAXIMUM_READING_AGE
}

function isWorthSending (reply: TableReply): boolean {
  return reply.kind === 'refused' || reply.reading.changes.length > 0
}
