/** Admission by the workspaces' limit shares. */

import { MINIMUM_RETRY_MILLISECONDS } from './JayfallRoutingConstants'
import { type WorkspaceShare } from './JayfallRouter'

interface WorkspaceRow {
  readonly share: WorkspaceShare
  /** Requests and tokens that may still be admitted; refilled with time, at most one second's worth. */
  readonly requests: number
  readonly tokens: number
  readonly refilledAt: number
  readonly open: number
}

/** Admits within shares. A workspace without a share is not limited, as before the first shares arrive. */
export class Admission {
  private workspaces: ReadonlyMap<string, WorkspaceRow> = new Map()

  updateShares (shares: readonly WorkspaceShare[], now: number): void {
    this.workspaces = new Map(shares.map(share => {
      const known = this.workspaces.get(share.workspace)
      const row = known === undefined
        ? { share, requests: burst(share.requestsPerSecond), tokens: share.tokensPerSecond, refilledAt: now, open: 0 }
        : { ...refill(known, now), share }
      return [share.workspace, row]
    }))
  }

  /** Admits and returns undefined, or returns the milliseconds after which another try has a prospect. */
  tryAdmit (workspace: string, tokens: number, now: number): number | undefined {
    const known = this.workspaces.get(workspace)
    if (known === undefined) return undefined
    const row = refill(known, now)
    const { share } = row
    if (row.open >= Math.max(1, share.concurrentRequests)) return MINIMUM_RETRY_MILLISECONDS * 2
    // A request larger than one second's tokens passes when the bucket is full, and leaves a debt.
    const neededTokens = Math.min(tokens, share.tokensPerSecond)
    const wait = Math.max((1 - row.requests) / share.requestsPerSecond, (neededTokens - row.tokens) / share.tokensPerSecond) * 1000
    if (wait > 1e-6) return Math.max(MINIMUM_RETRY_MILLISECONDS, wait)
    this.replace({ ...row, requests: row.requests - 1, tokens: row.tokens - tokens, open: row.open + 1 })
    return undefined
  }

  /** Takes the end of an admitted request; `unusedTokens` are given back. */
  release (workspace: string, unusedTokens: number): void {
    const row = this.workspaces.get(workspace)
    if (row !== undefined) this.replace({ ...row, open: Math.max(0, row.open - 1), tokens: row.tokens + unusedTokens })
  }

  private replace (row: WorkspaceRow): void {
    (this.workspaces as Map<string, WorkspaceRow>).set(row.share.workspace, row)
  }
}

function refill (row: WorkspaceRow, now: number): WorkspaceRow {
  const seconds = Math.max(0, now - row.refilledAt) / 1000
  return {
    ...row,
    requests: Math.min(burst(row.share.requestsPerSecond), row.requests + seconds * row.share.requestsPerSecond),
    tokens: Math.min(row.share.tokensPerSecond, row.tokens + seconds * row.share.tokensPerSecond),
    refilledAt: now
  }
}

/** One second's worth, and at least one request, as a share can be below one a second. */
function burst (perSecond: number): number {
  return Math.max(1, perSecond)
}
