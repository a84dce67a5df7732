/** A cluster of control nodes under one manual clock, with a fake store and a fake network. */

import { type CatalogueChange, type CatalogueSnapshot, type WorkspaceEntry } from '#jayfall/catalogue'
import { createRandomSource, ManualClock, type RandomSource } from '#jayfall/shared'

import { TICK_MILLISECONDS } from '../../JayfallControlConstants'
import { ControlNode } from '../../JayfallControlNode'
import { ControlService } from '../../JayfallControlService'
import { type ExchangeMessage } from '../../JayfallExchangeMessage'
import { type CatalogueSource } from '../../JayfallStoreReader'

export function workspaceEntry (id: string, requestsPerSecond = 1000): WorkspaceEntry {
  return { kind: 'workspace', id, owner: 'test', allowed: [], limits: { requestsPerSecond, tokensPerSecond: 1e6, concurrentRequests: 100 }, keys: [] }
}

/** A store whose every change rewrites one workspace. */
export class FakeStore implements CatalogueSource {
  changes: readonly CatalogueChange[] = []
  /** Times at which each revision was accepted. */
  readonly acceptedAt = new Map<number, number>()
  isDown = false
  /** Reads answer as if the last `staleBy` changes were not accepted yet. */
  staleBy = 0
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
    return Math.max(0, this.revision - this.staleBy)
  }

  async readChanges (revision: number): Promise<readonly CatalogueChange[]> {
    return this.changes.slice(revision, Math.max(0, this.revision - this.staleBy))
  }

  async readSnapshot (): Promise<CatalogueSnapshot> {
    const revision = Math.max(0, this.revision - this.staleBy)
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

interface Delayed {
  readonly address: string
  readonly request: ExchangeMessage
}

/** Instances `{zone}{number}`, whose addresses are their identifiers. */
export class FakeCluster {
  readonly clock = new ManualClock(1000)
  readonly store = new FakeStore(this.clock)
  readonly instances = new Map<string, FakeInstance>()
  readonly paused = new Set<string>()
  /** Zones that reach neither the store nor other zones. */
  readonly cutZones = new Set<string>()
  /** Probabilities of a lost request, a lost reply and a request that is delivered again later. */
  loss = { request: 0, reply: 0, repeat: 0 }
  private readonly random: RandomSource
  private repeats: readonly Delayed[] = []
  private starts = 0

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

  /** Adds an instance, or replaces it by a restarted one. */
  add (id: string, zone: string): FakeInstance {
    this.starts++
    const node = new ControlNode({ instanceId: id, zone, address: id, incarnation: this.clock.wall() + this.starts }, this.clock, createRandomSource(this.starts))
    const { store } = this
    const reach = (): void => { if (this.cutZones.has(zone)) throw new Error('cut off') }
    const service = new ControlService({
      node,
      source: {
        readHead: async () => { reach(); return await store.readHead() },
        readChanges: async revision => { reach(); return await store.readChanges(revision) },
        readSnapshot: async () => { reach(); return await store.readSnapshot() }
      },
      send: (address, request) => this.send(zone, address, request),
      knownAddresses: () => this.all.map(other => ({ address: other.id, zone: other.zone })).filter(({ address }) => address !== id),
      clock: this.clock,
      random: createRandomSource(1000 + this.starts)
    })
    const instance = { id, zone, node, service }
    this.instances.set(id, instance)
    return instance
  }

  /** Runs for `milliseconds`; `check` is called after each step. */
  async run (milliseconds: number, check: (step: number) => void = () => {}): Promise<void> {
    for (let step = 0; step < milliseconds / TICK_MILLISECONDS; step++) {
      this.clock.advance(TICK_MILLISECONDS)
      this.deliverRepeats()
      for (const { id, service } of this.all) if (!this.paused.has(id)) service.tick()
      // Exchanges and reads are chains of promises without timers.
      await new Promise(resolve => setImmediate(resolve))
      check(step)
    }
  }

  private async send (from: string, address: string, request: ExchangeMessage): Promise<ExchangeMessage> {
    const target = this.instances.get(address)
    const isCut = target !== undefined && target.zone !== from && (this.cutZones.has(from) || this.cutZones.has(target.zone))
    if (target === undefined || isCut || this.paused.has(address) || this.random.chance(this.loss.request)) throw new Error('no answer')
    if (this.random.chance(this.loss.repeat)) this.repeats = [...this.repeats, { address, request: copy(request) }]
    const reply = copy(target.service.answer(copy(request)))
    if (this.random.chance(this.loss.reply)) throw new Error('no answer')
    return reply
  }

  /** Delivers old requests again, in random order. */
  private deliverRepeats (): void {
    const due = this.repeats.filter(() => this.random.chance(0.1))
    this.repeats = this.repeats.filter(repeat => !due.includes(repeat))
    for (const { address, request } of due) if (!this.paused.has(address)) this.instances.get(address)?.service.answer(request)
  }
}

function copy (message: ExchangeMessage): ExchangeMessage {
  return JSON.parse(JSON.stringify(message)) as ExchangeMessage
}
