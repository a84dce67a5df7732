/** The instances that read from this one and are sent its notices. */

import { SUBSCRIPTION_LIFETIME_MILLISECONDS } from './JayfallFeedConstants'

export class FeedSubscribers {
  /** Ends of the subscriptions in monotonic milliseconds, by address. */
  private readonly endsByAddress = new Map<string, number>()

  /** Begins or renews a subscription. @param address IP address and port. */
  add (address: string, now: number): void {
    this.endsByAddress.set(address, now + SUBSCRIPTION_LIFETIME_MILLISECONDS)
  }

  remove (address: string): void {
    this.endsByAddress.delete(address)
  }

  addresses (now: number): readonly string[] {
    for (const [address, end] of this.endsByAddress) if (now >= end) this.endsByAddress.delete(address)
    return [...this.endsByAddress.keys()]
  }
}
