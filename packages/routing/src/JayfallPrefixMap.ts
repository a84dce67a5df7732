/** A map of prompt prefixes to the servers that are likely to hold them in their caches. */

import { LRUCache } from 'lru-cache'

import { MAXIMUM_REMEMBERED_BLOCKS, SERVERS_PER_BLOCK } from './JayfallRoutingConstants'

/**
 * Learns from the router's own dispatches and from the engines' cache events. Events arrive late
 * and with gaps, so an entry is a likelihood and not a guarantee.
 */
export class PrefixMap {
  private readonly serversByBlock = new LRUCache<string, readonly string[]>({ max: MAXIMUM_REMEMBERED_BLOCKS })

  recordStored (server: string, blocks: readonly string[]): void {
    for (const block of blocks) {
      const previous = this.serversByBlock.get(block) ?? []
      if (previous[0] === server) continue
      this.serversByBlock.set(block, [server, ...previous.filter(other => other !== server)].slice(0, SERVERS_PER_BLOCK))
    }
  }

  recordEvicted (server: string, blocks: readonly string[]): void {
    for (const block of blocks) {
      const remaining = this.serversByBlock.peek(block)?.filter(other => other !== server)
      if (remaining !== undefined && remaining.length > 0) this.serversByBlock.set(block, remaining)
      else this.serversByBlock.delete(block)
    }
  }

  /** Returns the fraction of `blocks` that each server is likely to hold, 0 to 1, for the servers that hold the longest prefixes. */
  findHolders (blocks: readonly string[]): ReadonlyMap<string, number> {
    const holders = new Map<string, number>()
    // The search starts at the longest prefix, as a server that holds a block once held the blocks before it.
    for (let index = blocks.length - 1; index >= 0 && holders.size < SERVERS_PER_BLOCK; index--) {
      for (const server of this.serversByBlock.get(blocks[index]) ?? []) {
        if (!holders.has(server)) holders.set(server, (index + 1) / blocks.length)
      }
    }
    return holders
  }
}
