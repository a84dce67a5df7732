/**
 * Limits the retries of each service.
 *
 * The deployment limits the ratio of retries to requests in a sliding window, over all instances. Each
 * instance applies the ratio to its own requests. This needs no messages between instances, and the
 * limits of all instances add up to that of the deployment.
 */

import { RETRY_BUDGET_BASE_COUNT, RETRY_RATIO_SHARE, RETRY_WINDOW_MILLISECONDS } from './JayfallForwardingConstants'

interface ServiceWindow {
  requests: number[]
  retries: number[]
}

export class RetryBudget {
  private readonly windows = new Map<string, ServiceWindow>()

  /**
   * @param allowedRatio allowed retries per request.
   * @param windowMilliseconds length of the sliding window.
   */
  constructor (private allowedRatio: number, private readonly windowMilliseconds: number = RETRY_WINDOW_MILLISECONDS) {}

  setRatio (ratio: number): void {
    this.allowedRatio = ratio
  }

  recordRequest (service: string, now: number): void {
    this.currentWindow(service, now).requests.push(now)
  }

  /** Whether the budget allows another retry. */
  hasRetryLeft (service: string, now: number): boolean {
    const { retries, requests } = this.currentWindow(service, now)
    return retries.length + 1 <= this.allowedRatio * RETRY_RATIO_SHARE * requests.length + RETRY_BUDGET_BASE_COUNT
  }

  /** Takes one retry out of the budget. Returns false when none is left. */
  trySpendRetry (service: string, now: number): boolean {
    if (!this.hasRetryLeft(service, now)) return false
    this.currentWindow(service, now).retries.push(now)
    return true
  }

  private currentWindow (service: string, now: number): ServiceWindow {
    const window = this.windows.get(service) ?? { requests: [], retries: [] }
    this.windows.set(service, window)
    removeBefore(window.requests, now - this.windowMilliseconds)
    removeBefore(window.retries, now - this.windowMilliseconds)
    return window
  }
}

/** Removes the times before `start` from the front of an ascending list. */
function removeBefore (times: number[], start: number): void {
  const firstKept = times.findIndex(time => time >= start)
  times.splice(0, firstKept === -1 ? times.length : firstKept)
}
