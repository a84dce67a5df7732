/** Tracks which servers have cached which prompt parts, based on the requests that this instance sent to them. */

import { LRUCache } from 'lru-cache'

import { MAXIMUM_TRACKED_PROMPT_PARTS, PROMPT_PART_LIFETIME_MILLISECONDS } from './JayfallForwardingConstants'
import { type PromptPart } from './JayfallForwardingProtocol'

export class PromptCacheTracker {
  private readonly sentTimesByPart = new LRUCache<string, ReadonlyMap<string, number>>({ max: MAXIMUM_TRACKED_PROMPT_PARTS })

  /** Records that `server` processes the parts with `model` from `now` on. */
  recordSent (server: string, model: string, parts: readonly PromptPart[], now: number): void {
    for (const { id } of parts) {
      const key = `${model}/${id}`
      const recentServers = [...this.sentTimesByPart.get(key) ?? []].filter(([otherServer, sentAt]) => otherServer !== server && now - sentAt < PROMPT_PART_LIFETIME_MILLISECONDS)
      this.sentTimesByPart.set(key, new Map([...recentServers, [server, now]]))
    }
  }

  /** Number of leading prompt tokens that `server` has probably cached. A part counts only if all parts before it are cached. */
  cachedTokens (server: string, model: string, parts: readonly PromptPart[], now: number): number {
    let tokens = 0
    for (const part of parts) {
      const sentAt = this.sentTimesByPart.get(`${model}/${part.id}`)?.get(server)
      if (sentAt === undefined || now - sentAt >= PROMPT_PART_LIFETIME_MILLISECONDS) return tokens
      tokens += part.tokens
    }
    return tokens
  }
}
