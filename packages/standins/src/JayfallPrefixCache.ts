/** The prompt-prefix cache of the engine stand-in. */

import { LRUCache } from 'lru-cache'
import { createHash } from 'node:crypto'

import { CACHE_EVENT_LOSS_INTERVAL, CHARACTERS_PER_TOKEN, MAXIMUM_CACHE_EVENTS, PREFIX_BLOCK_TOKENS } from './JayfallStandInConstants'

export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  readonly block: string
}

/** Hashes of each block-aligned prefix of the prompt, shortest first. */
export function prefixBlocks (prompt: string): readonly string[] {
  const width = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
  const hash = createHash('sha256')
  const blocks: string[] = []
  for (let start = 0; start + width <= prompt.length; start += width) {
    hash.update(prompt.slice(start, start + width))
    blocks.push(hash.copy().digest('hex').slice(0, 16))
  }
  return blocks
}

/** A bounded cache of prefixes that publishes its changes late and with gaps. */
export class PrefixCache {
  private readonly blocks: LRUCache<string, true>
  private events: readonly CacheEvent[] = []
  private sequence = 0

  constructor (capacityTokens: number) {
    this.blocks = new LRUCache<string, true>({
      max: Math.max(1, Math.floor(capacityTokens / PREFIX_BLOCK_TOKENS)),
      dispose: (_value, block) => this.publish('evicted', block)
    })
  }

  /** Looks the prompt up, stores it, and returns the number of tokens that were cached. */
  use (prompt: string): number {
    const blocks = prefixBlocks(prompt)
    let hits = 0
    while (hits < blocks.length && this.blocks.get(blocks[hits]) === true) hits++
    this.store(blocks.slice(hits))
    return hits * PREFIX_BLOCK_TOKENS
  }

  store (blocks: readonly string[]): void {
    for (const block of blocks) {
      this.blocks.set(block, true)
      this.publish('stored', block)
    }
  }

  eventsAfter (sequence: number): readonly CacheEvent[] {
    return this.events.filter(event => event.sequence > sequence)
  }

  private publish (kind: CacheEvent['kind'], block: string): void {
    this.sequence++
    if (this.sequence % CACHE_EVENT_LOSS_INTERVAL === 0) return
    this.events = [...this.events.slice(1 - MAXIMUM_CACHE_EVENTS), { sequence: this.sequence, kind, block }]
  }
}
