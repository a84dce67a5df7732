/** Remembers which servers hold the parts of prompts, from the requests that this instance sent there. */

import { LRUCache } from 'lru-cache'

import { MAXIMUM_REMEMBERED_PARTS, PART_LIFETIME } from './JayfallForwardingConstants'
import { type PromptPart } from './JayfallForwardingProtocol'

export class PromptHolders {
  private readonly holders = new LRUCache<string, ReadonlyMap<string, number>>({ max: MAXIMUM_REMEMBERED_PARTS })

  /** Takes note that `server` reads the parts with `model`. */
  noteSent (server: string, model: string, parts: readonly PromptPart[], now: number): void {
    for (const { id } of parts) {
      const key = `${model}/${id}`
      const known = [...this.holders.get(key) ?? []].filter(([other, at]) => other !== server && now - at < PART_LIFETIME)
      this.holders.set(key, new Map([...known, [server, now]]))
    }
  }

  /** Tokens of the parts that `server` likely holds; a part counts only after all parts before it. */
  heldTokens (server: string, model: string, parts: readonly PromptPart[], now: number): number {
    let tokens = 0
    for (const part of parts) {
      const heldAt = this.holders.get(`${model}/${part.id}`)?.get(server)
      if (heldAt === undefined || now - heldAt >= PART_LIFETIME) return tokens
      tokens += part.tokens
    }
    return tokens
  }
}
