/** Admission control by the workspaces' shares of their limits. */

import { MINIMUM_RETRY_MILLISECONDS } from './JayfallRoutingConstants'
import { type WorkspaceShare } from './JayfallRouter'

/** A workspace's share and what is left of it. */
interface WorkspaceBucket {
  readonly share: WorkspaceShare
  /** Requests and tokens that may still be admitted. They are refilled over time, up to one second's worth. */
  readonly requests: number
  readonly tokens: number
  /** Monotonic time of the last refill, in milliseconds. */
  readonly refilledAt: number
  /** Number of admitted requests that have not ended. */
  readonly openRequests: number
}

/** Admits requests within the shares. A workspace without a share is not limited, as before the first shares arrive. */
export class Admission {
  private buckets: ReadonlyMap<string, WorkspaceBucket> = new Map()

  updateShares (shares: readonly WorkspaceShare[], now: number): void {
    this.buckets = new Map(shares.map(share => {
      const previous = this.buckets.get(share.workspace)
      const bucket = previous === undefined
        ? { share, requests: burstCapacity(share.requestsPerSecond), tokens: share.tokensPerSecond, refilledAt: now, openRequests: 0 }
        : { ...refill(previous, now), share }
      return [share.workspace, bucket]
    }))
  }

  /** Admits a request and returns undefined, or returns the milliseconds after which another try may succeed. */
  tryAdmit (workspace: string, tokens: number, now: number): number | undefined {
    const previous = this.buckets.get(workspace)
    if (previous === undefined) return undefined
    const bucket = refill(previous, now)
    const { share } = bucket
    if (bucket.openRequests >= Math.max(1, share.concurrentRequests)) return MINIMUM_RETRY_MILLISECONDS * 2
    // A request for more than one second's tokens is admitted when the bucket is full, and leaves a negative balance.
    const neededTokens = Math.min(tokens, share.tokensPerSecond)
    const wait = Math.max((1 - bucket.requests) / share.requestsPerSecond, (neededTokens - bucket.tokens) / share.tokensPerSecond) * 1000
    if (wait > 1e-6) return Math.max(MINIMUM_RETRY_MILLISECONDS, wait)
    this.replaceBucket({ ...bucket, requests: bucket.requests - 1, tokens: bucket.tokens - tokens, openRequests: bucket.openRequests + 1 })
    return undefined
  }

  /** Records the end of an admitted request and returns `unusedTokens` to the bucket. */
  release (workspace: string, unusedTokens: number): void {
    const bucket = this.buckets.get(workspace)
    if (bucket !== undefined) this.replaceBucket({ ...bucket, openRequests: Math.max(0, bucket.openRequests - 1), tokens: bucket.tokens + unusedTokens })
  }

  private replaceBucket (bucket: WorkspaceBucket): void {
    (this.buckets as Map<string, WorkspaceBucket>).set(bucket.share.workspace, bucket)
  }
}

function refill (bucket: WorkspaceBucket, now: number): WorkspaceBucket {
  const seconds = Math.max(0, now - bucket.refilledAt) / 1000
  return {
    ...bucket,
    requests: Math.min(burstCapacity(bucket.share.requestsPerSecond), bucket.requests + seconds * bucket.share.requestsPerSecond),
    tokens: Math.min(bucket.share.tokensPerSecond, bucket.tokens + seconds * bucket.share.tokensPerSecond),
    refilledAt: now
  }
}

/** Returns one second's worth, but at least one request, as a share can be below one request a second. */
function burstCapacity (perSecond: number): number {
  return Math.max(1, perSecond)
}
