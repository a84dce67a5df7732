/**
 * The budget of repeats of each service.
 *
 * The deployment allows so many arrivals beyond the first of each request, as a part of the
 * requests in a sliding window, over all instances. Each instance keeps to the same part of its
 * own requests, which needs no messages and adds up.
 */

import { RETRY_FREE_COUNT, RETRY_RATIO_SHARE, RETRY_WINDOW } from './JayfallForwardingConstants'

interface ServiceWindow {
  requests: number[]
  repeats: number[]
}

export class RetryBudget {
  private readonly windows = new Map<string, ServiceWindow>()

  /** @param ratio repeats for each request that the deployment allows. */
  constructor (private ratio: number, private readonly window: number = RETRY_WINDOW) {}

  setRatio (ratio: number): void {
    this.ratio = ratio
  }

  noteRequest (service: string, now: number): void {
    this.windowOf(service, now).requests.push(now)
  }

  /** Whether a repeat is left in the budget. */
  hasRoom (service: string, now: number): boolean {
    const { repeats, requests } = this.windowOf(service, now)
    return repeats.length + 1 <= this.ratio * RETRY_RATIO_SHARE * requests.length + RETRY_FREE_COUNT
  }

  /** Takes one repeat out of the budget when there is one left. */
  trySpend (service: string, now: number): boolean {
    if (!this.hasRoom(service, now)) return false
    this.windowOf(service, now).repeats.push(now)
    return true
  }

  private windowOf (service: string, now: number): ServiceWindow {
    const window = this.windows.get(service) ?? { requests: [], repeats: [] }
    this.windows.set(service, window)
    dropBefore(window.requests, now - this.window)
    dropBefore(window.repeats, now - this.window)
    return window
  }
}

/** Removes the times before `start` from the front of an ascending list. */
function dropBefore (times: number[], start: number): void {
  const kept = times.findIndex(time => time >= start)
  times.splice(0, kept === -1 ? times.length : kept)
}
