/** Which servers are likely to hold which prompt prefixes in their caches. */

import { LRUCache } from 'lru-cache'

import { MAXIMUM_REMEMBERED_BLOCKS, SERVERS_PER_BLOCK } from './JayfallRoutingConstants'

/**
 * Learns from own dispatches and from the engines' cache events. Events come late and with gaps,
 * so an entry is a likelihood and never a promise.
 */
export class PrefixMap {
  private readonly servers = new LRUCache<string, readonly string[]>({ max: MAXIMUM_REMEMBERED_BLOCKS })

  noteStored (server: string, blocks: readonly string[]): void {
    for (const block of blocks) {
      const known = this.servers.get(block) ?? []
      if (known[0] === server) continue
      this.servers.set(block, [server, ...known.filter(other => other !== server)].slice(0, SERVERS_PER_BLOCK))
    }
  }

  noteEvicted (server: string, blocks: readonly string[]): void {
    for (const block of blocks) {
      const rest = this.servers.peek(block)?.filter(other => other !== server)
      if (rest !== undefined && rest.length > 0) this.servers.set(block, rest)
      else this.servers.delete(block)
    }
  }

  /** The part of `blocks` that each server holds, 0 to 1, for servers that hold the longest prefixes. */
  findHolders (blocks: readonly string[]): ReadonlyMap<string, number> {
    const holders = new Map<string, number>()
    // From the longest prefix down: a server that holds a block once held the ones before it.
    for (let index = blocks.length - 1; index >= 0 && holders.size < SERVERS_PER_BLOCK; index--) {
      for (const server of this.servers.get(blocks[index]) ?? []) {
        if (!holders.has(server)) holders.set(server, (index + 1) / blocks.length)
      }
    }
    return holders
  }
}
