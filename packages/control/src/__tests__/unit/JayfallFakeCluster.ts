/** A cluster of control nodes for tests, with one manual clock, a fake store and a fake network. */

import { type CatalogueChange, type CatalogueSnapshot, type WorkspaceEntry } from '#jayfall/catalogue'
import { createRandomSource, ManualClock, type RandomSource } from '#jayfall/shared'

import { TICK_INTERVAL_MILLISECONDS } from '../../JayfallControlConstants'
import { ControlNode } from '../../JayfallControlNode'
import { ControlService } from '../../JayfallControlService'
import { type ExchangeMessage } from '../../JayfallExchangeMessage'
import { type CatalogueSource } from '../../JayfallStoreReader'

export function workspaceEntry (id: string, requestsPerSecond = 1000): WorkspaceEntry {
  return { kind: 'workspace', id, owner: 'test', allowed: [], limits: { requestsPerSecond, tokensPerSecond: 1e6, concurrentRequests: 100 }, keys: [] }
}

/** A catalogue store in memory. Each change replaces one workspace. */
export class FakeStore implements CatalogueSource {
  changes: readonly CatalogueChange[] = []
  /** Acceptance time of each revision, in monotonic milliseconds. */
  readonly acceptedAt = new Map<number, number>()
  isDown = false
  /** Number of the last changes that reads do not return, as if they were not accepted yet. */
  hiddenChanges = 0
  /** Times of the reads of the head, in monotonic milliseconds. */
  readTimes: readonly number[] = []

  constructor (private readonly clock: ManualClock) {}

  get revision (): number {
    return this.changes.length
  }

  accept (entry: WorkspaceEntry = workspaceEntry('w')): number {
    const revision = this.revision + 1
    this.changes = [...this.changes, { revision, key: `workspace/${entry.id}`, entry, writer: 'test', writeId: String(revision) }]
    this.acceptedAt.set(revision, this.clock.monotonic())
    return revision
  }

  async readHead (): Promise<number> {
    this.readTimes = [...this.readTimes, this.clock.monotonic()]
    if (this.isDown) throw new Error('down')
    return Math.max(0, this.revision - this.hiddenChanges)
  }

  async readChanges (revision: number): Promise<readonly CatalogueChange[]> {
    return this.changes.slice(revision, Math.max(0, this.revision - this.hiddenChanges))
  }

  async readSnapshot (): Promise<CatalogueSnapshot> {
    const revision = Math.max(0, this.revision - this.hiddenChanges)
    const entries = new Map(this.changes.slice(0, revision).map(change => [change.key, change]))
    return { revision, entries: [...entries.values()].flatMap(({ revision: changed, entry }) => entry === null ? [] : [{ revision: changed, entry }]) }
  }
}

export interface FakeInstance {
  readonly id: string
  readonly zone: string
  readonly node: ControlNode
  readonly service: ControlService
}

/** A request that will be delivered a second time. */
interface RepeatedRequest {
  readonly address: string
  readonly request: ExchangeMessage
}

/** Instances with the identifiers `{zone}{number}`, which are also their addresses. */
export class FakeCluster {
  readonly clock = new ManualClock(1000)
  readonly store = new FakeStore(this.clock)
  readonly instances = new Map<string, FakeInstance>()
  /** Instances that neither tick nor answer. */
  readonly paused = new Set<string>()
  /** Zones whose instances reach neither the store nor other zones. */
  readonly isolatedZones = new Set<string>()
  /** Probabilities that a request is lost, that a reply is lost, and that a request is delivered a second time later. */
  loss = { request: 0, reply: 0, repeat: 0 }
  private readonly random: RandomSource
  private repeats: readonly RepeatedRequest[] = []
  private startCount = 0

  constructor (seed: number, zones: Readonly<Record<string, number>>) {
    this.random = createRandomSource(seed)
    for (const [zone, count] of Object.entries(zones)) {
      for (let number = 1; number <= count; number++) this.add(`${zone}${number}`, zone)
    }
  }

  get all (): readonly FakeInstance[] {
    return [...this.instances.values()]
  }

  instance (id: string): FakeInstance {
    return this.instances.get(id) as FakeInstance
  }

  /** Adds an instance, or replaces one that has the same identifier, as a restart does. */
  add (id: string, zone: string): FakeInstance {
    this.startCount++
    const node = new ControlNode({ instanceId: id, zone, address: id, incarnation: this.clock.wall() + this.startCount }, this.clock, createRandomSource(this.startCount))
    const { store } = this
    const assertReachable = (): void => { if (this.isolatedZones.has(zone)) throw new Error('cut off') }
    const service = new ControlService({
      node,
      source: {
        readHead: async () => { assertReachable(); return await store.readHead() },
        readChanges: async revision => { assertReachable(); return await store.readChanges(revision) },
        readSnapshot: async () => { assertReachable(); return await store.readSnapshot() }
      },
      send: (address, request) => this.send(zone, address, request),
      knownAddresses: () => this.all.map(other => ({ address: other.id, zone: other.zone })).filter(({ address }) => address !== id),
      clock: this.clock,
      random: createRandomSource(1000 + this.startCount)
    })
    const instance = { id, zone, node, service }
    this.instances.set(id, instance)
    return instance
  }

  /** Runs the cluster for `milliseconds` and calls `check` after each tick. */
  async run (milliseconds: number, check: (step: number) => void = () => {}): Promise<void> {
    for (let step = 0; step < milliseconds / TICK_INTERVAL_MILLISECONDS; step++) {
      this.clock.advance(TICK_INTERVAL_MILLISECONDS)
      this.deliverRepeats()
      for (const { id, service } of this.all) if (!this.paused.has(id)) service.tick()
      // Exchanges and reads are chains of promises without timers, so they end before the next turn of the event loop.
      await new Promise(resolve => setImmediate(resolve))
      check(step)
    }
  }

  private async send (from: string, address: string, request: ExchangeMessage): Promise<ExchangeMessage> {
    const target = this.instances.get(address)
    const isCut = target !== undefined && target.zone !== from && (this.isolatedZones.has(from) || this.isolatedZones.has(target.zone))
    if (target === undefined || isCut || this.paused.has(address) || this.random.chance(this.loss.request)) throw new Error('no answer')
    if (this.random.chance(this.loss.repeat)) this.repeats = [...this.repeats, { address, request: copy(request) }]
    const reply = copy(target.service.answer(copy(request)))
    if (this.random.chance(this.loss.reply)) throw new Error('no answer')
    return reply
  }

  /** Delivers some earlier requests again, in random order. */
  private deliverRepeats (): void {
    const due = this.repeats.filter(() => this.random.chance(0.1))
    this.repeats = this.repeats.filter(repeat => !due.includes(repeat))
    for (const { address, request } of due) if (!this.paused.has(address)) this.instances.get(address)?.service.answer(request)
  }
}

function copy (message: ExchangeMessage): ExchangeMessage {
  return JSON.parse(JSON.stringify(message)) as ExchangeMessage
}
