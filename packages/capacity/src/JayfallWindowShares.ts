/**
 * Distributes the requests that a server can handle in each window of time to the instances, without a shared counter.
 *
 * Time is divided into windows by the store's clock, which all instances know. The whole number of requests that a rate
 * allows in a window is distributed by rendezvous hashing: all instances compute the same shares, and the shares add up to
 * the rate however many instances there are. A share that is not used in its window is lost, so that shares never add
 * up later. An instance that does not know the list of instances or the store's clock has no share.
 */

import { combineHashes, hashName } from '#jayfall/shared'
import { LRUCache } from 'lru-cache'

import { MAXIMUM_TRACKED_HASHES } from './JayfallCapacityConstants'

export interface WindowSharesParts {
  /** Milliseconds of the store's clock; not finite when it is unknown. */
  readonly storeTime: () => number
  /** Identifier of this instance. */
  readonly instance: string
  /** Identifiers of all instances with this one; undefined as long as they are unknown. */
  readonly instances: () => readonly string[] | undefined
}

export class WindowShares {
  /** Hashes of the names of instances and servers. */
  private readonly hashes = new LRUCache<string, number>({ max: MAXIMUM_TRACKED_HASHES })

  /** @param length milliseconds of a window. */
  constructor (private readonly parts: WindowSharesParts, private readonly length: number) {}

  /** The number of the present window; not finite when the store's clock is unknown. */
  get window (): number {
    return Math.floor(this.parts.storeTime() / this.length)
  }

  /** Milliseconds until the next window begins; 0 when the store's clock is unknown. */
  get untilNextWindow (): number {
    const time = this.parts.storeTime()
    return Number.isFinite(time) ? this.length - time % this.length : 0
  }

  /** Number of requests that this instance may send to the server in the window. */
  shareOf (server: string, requestsPerSecond: number, window: number): number {
    const instances = this.parts.instances()
    if (instances === undefined || !Number.isFinite(window)) return 0
    const requestsPerWindow = requestsPerSecond * this.length / 1000
    const total = Math.floor((window + 1) * requestsPerWindow) - Math.floor(window * requestsPerWindow)
    const remainder = total % instances.length
    return Math.floor(total / instances.length) + Number(this.isRankedBefore(remainder, server, window, instances))
  }

  /** Whether this instance is among the first `places` in the ranking for the server's window. */
  private isRankedBefore (places: number, server: string, window: number, instances: readonly string[]): boolean {
    if (places === 0) return false
    const key = combineHashes(this.hashOf(server), window % 2 ** 32)
    const weightOf = (instance: string): number => combineHashes(key, this.hashOf(instance))
    const ownWeight = weightOf(this.parts.instance)
    let before = 0
    for (const instance of instances) {
      if (instance === this.parts.instance) continue
      const weight = weightOf(instance)
      if (weight > ownWeight || (weight === ownWeight && instance < this.parts.instance)) before++
      if (before >= places) return false
    }
    return true
  }

  private hashOf (name: string): number {
    const known = this.hashes.get(name)
    if (known !== undefined) return known
    const hash = hashName(name)
    this.hashes.set(name, hash)
    return hash
  }
}
