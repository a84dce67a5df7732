/**
 * A fleet of instances after the store came back from a copy, in virtual time and without a network.
 *
 * The decisions are those of the product: the ranking of readers, the plan of each instance and what a reader can
 * pass on. Only the times of calls are modelled.
 */

import { createRandomSource, EventQueue, type RandomSource } from '#jayfall/shared'
import { type TableChange } from '#jayfall/store'

import { planEraCatchUp, type CatchUpOutcome, type CatchUpStep } from '../../JayfallEraCatchUp'
import { ERA_WAIT_MILLISECONDS, PEER_TIMEOUT_MILLISECONDS } from '../../JayfallFeedConstants'
import { FeedHistory } from '../../JayfallFeedHistory'
import { ReaderSelector, type FeedInstance } from '../../JayfallReaderSelector'
import { at, createChange, createReading } from './JayfallFeedFixture'

/** Time of one call to the store or to another instance, in milliseconds. */
const STORE_CALL_MILLISECONDS = 8
const PEER_CALL_MILLISECONDS = 4
const PAGE_ROWS = 500
/** Rows that the model keeps; the others of a large table never differ. */
const MODELLED_ROWS = 20
/** Time after its return within which each instance asks the store again: a call that hangs and the pause after it, in milliseconds. */
const LONGEST_RETRY_MILLISECONDS = 1450

export interface FleetOptions {
  readonly instances: number
  readonly zones: number
  readonly rows: number
  /** Number of rows that differ in the copy. */
  readonly lostRows: number
  readonly seed: number
  /** Instances that do not answer others, although they read for themselves. */
  readonly isSilent?: (member: FleetMember, fleet: EraFleet) => boolean
  /** Instances whose last reading was one change ahead of the root's. */
  readonly isAhead?: (member: FleetMember) => boolean
}

export interface FleetMember {
  readonly instance: FeedInstance
  readonly selector: ReaderSelector
  readonly history: FeedHistory
  /** Time at which the instance began to read; undefined as long as it has not heard of the new era. */
  startedAt: number | undefined
  /** Time at which it knew the rows of the new era. */
  finishedAt: number | undefined
  hasReadAll: boolean
}

export class EraFleet {
  readonly members: ReadonlyMap<string, FleetMember>
  /** Times of the calls that read a page of rows. */
  readonly storePageTimes: number[] = []
  peerCalls = 0
  private now = 0
  private readonly random: RandomSource
  private readonly events = new EventQueue()
  /** By instance, what is to be done when it knows the new era. */
  private readonly waiting = new Map<string, (() => void)[]>()
  private readonly copy: readonly TableChange[]

  constructor (private readonly options: FleetOptions) {
    const { instances: count, zones, lostRows, seed, isAhead = () => false } = options
    const rows = MODELLED_ROWS
    this.random = createRandomSource(seed)
    const instances = Array.from({ length: count }, (_, index): FeedInstance => ({ id: `entry-${index}`, zone: `zone-${index % zones}`, address: `127.0.0.1:${index + 1}`, link: 10 }))
    const before = Array.from({ length: rows }, (_, index) => createChange(`row-${index}`, index + 1))
    this.copy = before.map(({ key, value, position: { revision } }, index) => createChange(key, revision, index >= rows - lostRows ? 'older' : value, 2))
    this.members = new Map(instances.map(instance => {
      const selector = new ReaderSelector(instance.id, instance.zone, instance.link)
      selector.updateInstances(instances)
      const member: FleetMember = { instance, selector, history: new FeedHistory(), startedAt: undefined, finishedAt: undefined, hasReadAll: false }
      member.history.replace(createReading(at(rows), before), -10)
      if (isAhead(member)) member.history.append(at(rows), createReading(at(rows + 1), [createChange('row-0', rows + 1)]), -5)
      return [instance.id, member]
    }))
  }

  get root (): FleetMember {
    return this.find(member => member.selector.roleAt(0) === 'root')
  }

  /** Lets all instances notice the new era in turn, and runs until nothing is left to do. */
  run (): void {
    for (const member of this.members.values()) this.schedule(this.random.uniform() * LONGEST_RETRY_MILLISECONDS, () => this.start(member))
    while (this.events.nextAt < Infinity) {
      this.now = this.events.nextAt
      this.events.shift()?.()
    }
  }

  get finishTimes (): readonly number[] {
    return [...this.members.values()].map(({ finishedAt = Infinity }) => finishedAt)
  }

  get wholeReadings (): number {
    return [...this.members.values()].filter(({ hasReadAll }) => hasReadAll).length
  }

  /** The highest number of pages that were read from the store within a second. */
  get mostPagesInSecond (): number {
    const times = this.storePageTimes.toSorted((left, right) => left - right)
    let first = 0
    return times.reduce((most, time, index) => {
      while (times[first] <= time - 1000) first++
      return Math.max(most, index - first + 1)
    }, 0)
  }

  private find (condition: (member: FleetMember) => boolean): FleetMember {
    const found = [...this.members.values()].find(condition)
    if (found === undefined) throw new Error('no such instance')
    return found
  }

  private schedule (time: number, run: () => void): void {
    this.events.push(time, run)
  }

  private start (member: FleetMember): void {
    if (member.startedAt !== undefined) return
    member.startedAt = this.now
    const plan = planEraCatchUp({ selectReader: () => member.selector.selectReader(this.now), instanceCount: () => this.members.size, rowCount: this.options.rows, uniform: () => this.random.uniform() })
    this.continue(member, plan, plan.next())
  }

  private continue (member: FleetMember, plan: Generator<CatchUpStep, void, CatchUpOutcome>, next: IteratorResult<CatchUpStep, void>): void {
    if (next.done === true) {
      member.finishedAt = this.now
      this.notifyWaiting(member)
      return
    }
    this.execute(member, next.value, outcome => this.continue(member, plan, plan.next(outcome)))
  }

  private execute (member: FleetMember, step: CatchUpStep, onOutcome: (outcome: CatchUpOutcome) => void): void {
    switch (step.kind) {
      case 'wait':
        this.schedule(this.now + step.milliseconds, () => onOutcome('done'))
        break
      case 'read_all':
        this.readAll(member, () => onOutcome('done'))
        break
      case 'ask_reader':
        this.askReader(member, step.reader, onOutcome)
    }
  }

  private readAll (member: FleetMember, onDone: () => void): void {
    const pages = Math.ceil(this.options.rows / PAGE_ROWS)
    for (let page = 0; page < pages; page++) this.storePageTimes.push(this.now + page * STORE_CALL_MILLISECONDS)
    this.schedule(this.now + pages * STORE_CALL_MILLISECONDS, () => {
      member.hasReadAll = true
      member.history.replace(createReading(at(this.copy.length, 2), this.copy), this.now)
      onDone()
    })
  }

  private askReader (member: FleetMember, { id }: FeedInstance, onOutcome: (outcome: CatchUpOutcome) => void): void {
    this.peerCalls++
    const reader = this.find(({ instance }) => instance.id === id)
    const fail = (): void => {
      member.selector.recordReaderFailure(id, this.now)
      onOutcome('failed')
    }
    if (this.options.isSilent?.(reader, this) === true) {
      this.schedule(this.now + PEER_TIMEOUT_MILLISECONDS, fail)
      return
    }
    // The question tells the reader of the new era.
    this.schedule(this.now + PEER_CALL_MILLISECONDS, () => this.start(reader))
    let isAnswered = false
    const answer = (): void => {
      if (isAnswered) return
      isAnswered = true
      this.schedule(this.now + PEER_CALL_MILLISECONDS, () => onOutcome(reader.history.completePosition.era === 2 ? this.serve(member, reader) : 'waiting'))
    }
    this.schedule(this.now + PEER_CALL_MILLISECONDS, () => {
      if (reader.history.completePosition.era === 2) answer()
      else this.waiting.set(id, [...this.waiting.get(id) ?? [], answer])
    })
    this.schedule(this.now + PEER_CALL_MILLISECONDS + ERA_WAIT_MILLISECONDS, answer)
  }

  private notifyWaiting ({ instance: { id } }: FleetMember): void {
    for (const answer of this.waiting.get(id) ?? []) answer()
    this.waiting.delete(id)
  }

  private serve (member: FleetMember, reader: FleetMember): CatchUpOutcome {
    const after = member.history.completePosition
    const reading = reader.history.changesAfter(after, this.now)
    if (reading === undefined) return 'refused'
    member.history.append(after, reading, this.now)
    return 'done'
  }
}
