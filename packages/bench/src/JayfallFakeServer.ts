/**
 * A backend server for benches: slots, a token time that depends on the batch, priorities, a
 * prefix cache, slow moments and reports that lag.
 *
 * All running streams progress at the same rate, so their milestones are kept in "work time",
 * which advances by that rate; only the next milestone needs an event.
 */

import { LRUCache } from 'lru-cache'
import { type LoadReport } from '#jayfall/routing'
import { type EventQueue } from '#jayfall/shared'

export interface FakeServerSettings {
  readonly slots: number
  /** Milliseconds for a token of a stream that runs alone. */
  readonly tokenInterval: number
  /** Part of `tokenInterval` that each further stream of the batch adds. */
  readonly batchSlowdown: number
  /** Milliseconds for one prompt token that is not cached, alone. */
  readonly promptTokenTime: number
  /** Prefix blocks that the cache holds. */
  readonly cacheBlocks: number
  /** Prompt tokens of one block. */
  readonly blockTokens: number
}

/** One attempt as the server sees it. */
export interface FakeStream {
  readonly priority: number
  readonly promptTokens: number
  readonly outputTokens: number
  readonly prefixBlocks: readonly string[]
  /** Takes the prefix blocks that the cache did not hold. */
  onStart (missingBlocks: readonly string[]): void
  onFirstToken (): void
  onFinish (): void
}

interface RunningStream {
  readonly stream: FakeStream
  readonly startedAt: number
  readonly firstTokenAt: number
  readonly endsAt: number
  hasFirstToken: boolean
}

interface Snapshot {
  readonly at: number
  readonly load: Omit<LoadReport, 'receivedAt'>
}

/** Cache changes that are published together. */
export interface CacheChanges {
  readonly stored: readonly string[]
  readonly evicted: readonly string[]
}

/** Work of a request in milliseconds of a server on which it runs alone. */
export function aloneMilliseconds (settings: FakeServerSettings, promptTokens: number, outputTokens: number): number {
  return promptTokens * settings.promptTokenTime + outputTokens * settings.tokenInterval
}

/** Work that a full server does in a millisecond. */
export function capacityOf ({ slots, batchSlowdown }: FakeServerSettings): number {
  return slots / (1 + batchSlowdown * (slots - 1))
}

export class FakeServer {
  private queue: FakeStream[] = []
  private running: RunningStream[] = []
  private workTime = 0
  private updatedAt = 0
  private slowFactor = 1
  private generation = 0
  private snapshots: Snapshot[] = []
  private readonly cache: LRUCache<string, true>
  private changes: { stored: string[], evicted: string[] } = { stored: [], evicted: [] }

  constructor (readonly id: string, private readonly settings: FakeServerSettings, private readonly events: EventQueue, private readonly now: () => number) {
    this.cache = new LRUCache<string, true>({
      max: settings.cacheBlocks,
      dispose: (_value, block, reason) => { if (reason === 'evict') this.changes.evicted.push(block) }
    })
  }

  /** Streams that run or wait. */
  get load (): number {
    return this.running.length + this.queue.length
  }

  /** Puts the stream behind those of the same or a higher priority. */
  submit (stream: FakeStream): void {
    const behind = this.queue.findIndex(other => other.priority < stream.priority)
    this.queue.splice(behind === -1 ? this.queue.length : behind, 0, stream)
    this.advance()
    this.fillSlots()
    this.schedule()
  }

  /** Stops a stream and returns the work it used; 0 when it is not here. */
  cancel (stream: FakeStream): number {
    this.advance()
    const found = this.running.find(other => other.stream === stream)
    this.queue = this.queue.filter(other => other !== stream)
    if (found === undefined) return 0
    this.running = this.running.filter(other => other !== found)
    this.fillSlots()
    this.schedule()
    return this.workTime - found.startedAt
  }

  /** Makes everything on the server `factor` times slower from now on. */
  slowDown (factor: number): void {
    this.advance()
    this.slowFactor = factor
    this.schedule()
  }

  takeSnapshot (): void {
    const queuedTokens = this.queue.reduce((sum, { promptTokens, outputTokens }) => sum + promptTokens + outputTokens, 0)
    this.snapshots.push({ at: this.now(), load: { active: this.running.length, slots: this.settings.slots, queuedTokens } })
  }

  /** The last snapshot that is at least `lag` old; earlier ones are forgotten. */
  reportWithLag (lag: number): LoadReport | undefined {
    const limit = this.now() - lag
    const next = this.snapshots.findIndex(({ at }) => at > limit)
    const last = next === -1 ? this.snapshots.length - 1 : next - 1
    if (last < 0) return undefined
    this.snapshots = this.snapshots.slice(last)
    return { ...this.snapshots[0].load, receivedAt: this.now() }
  }

  takeCacheChanges (): CacheChanges {
    const { changes } = this
    this.changes = { stored: [], evicted: [] }
    return changes
  }

  private get rate (): number {
    return 1 / ((1 + this.settings.batchSlowdown * Math.max(0, this.running.length - 1)) * this.slowFactor)
  }

  private advance (): void {
    this.workTime += (this.now() - this.updatedAt) * this.rate
    this.updatedAt = this.now()
  }

  private fillSlots (): void {
    while (this.running.length < this.settings.slots) {
      const stream = this.queue.shift()
      if (stream === undefined) return
      const missing = this.useCache(stream.prefixBlocks)
      const uncached = stream.promptTokens - (stream.prefixBlocks.length - missing.length) * this.settings.blockTokens
      const firstTokenAt = this.workTime + uncached * this.settings.promptTokenTime + this.settings.tokenInterval
      const endsAt = firstTokenAt + (stream.outputTokens - 1) * this.settings.tokenInterval
      this.running.push({ stream, startedAt: this.workTime, firstTokenAt, endsAt, hasFirstToken: false })
      stream.onStart(missing)
    }
  }

  /** Looks the blocks up, stores those that are missing, and returns them. */
  private useCache (blocks: readonly string[]): readonly string[] {
    let hits = 0
    while (hits < blocks.length && this.cache.get(blocks[hits]) === true) hits++
    const missing = blocks.slice(hits)
    for (const block of missing) {
      this.cache.set(block, true)
      this.changes.stored.push(block)
    }
    return missing
  }

  private schedule (): void {
    const generation = ++this.generation
    const next = this.running.reduce((least, { hasFirstToken, firstTokenAt, endsAt }) => Math.min(least, hasFirstToken ? endsAt : firstTokenAt), Infinity)
    if (next === Infinity) return
    this.events.push(this.now() + Math.max(0, next - this.workTime) / this.rate, () => {
      if (generation === this.generation) this.reach(next)
    })
  }

  private reach (milestone: number): void {
    this.advance()
    // The sum of many small advances can fall just short of the milestone.
    this.workTime = Math.max(this.workTime, milestone)
    const ended = this.running.filter(({ endsAt }) => endsAt <= this.workTime)
    for (const running of this.running) {
      if (running.hasFirstToken || running.firstTokenAt > this.workTime) continue
      running.hasFirstToken = true
      running.stream.onFirstToken()
    }
    this.running = this.running.filter(({ endsAt }) => endsAt > this.workTime)
    for (const { stream } of ended) stream.onFinish()
    this.fillSlots()
    this.schedule()
  }
}
