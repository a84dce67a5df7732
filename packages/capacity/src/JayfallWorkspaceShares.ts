/**
 * Finds the requests by which a workspace exceeds its usual share of a service.
 *
 * Load that it answers: one workspace that sends several times its usual, by a flood of new requests or by callers that
 * repeat theirs at once. What it sends beyond twice its usual comes after the requests of the other workspaces of the
 * same priority, so the flood costs first those who send it. Nothing is refused for it: where there is room, all are
 * served.
 *
 * Each instance compares what it receives itself in some seconds with its own moving average. Large workspaces are not
 * held back for being large, and no messages pass between instances.
 */

import { halfLifeWeight, Table } from '#jayfall/shared'

import { FLOOD_FACTOR, MINIMUM_FLOOD_REQUESTS, RECENT_REQUESTS_HALF_LIFE_MILLISECONDS, USUAL_REQUESTS_HALF_LIFE_MILLISECONDS } from './JayfallCapacityConstants'

interface WorkspaceRow {
  /** Sums of requests, in which older ones count less; as of `updatedAt`. */
  readonly recent: number
  readonly usual: number
  /** Monotonic milliseconds. */
  readonly updatedAt: number
  readonly firstAt: number
}

export class WorkspaceShares {
  private readonly rows = new Table<WorkspaceRow>()

  /**
   * Records a request of a workspace.
   * @param draw a number in [0, 1) that follows from the request.
   * @returns whether it belongs to what the workspace sends beyond its usual share.
   */
  record (service: string, workspace: string, draw: number, now: number): boolean {
    const key = JSON.stringify([service, workspace])
    const known = this.rows.get(key) ?? { recent: 0, usual: 0, updatedAt: now, firstAt: now }
    const elapsed = now - known.updatedAt
    const recent = known.recent * halfLifeWeight(elapsed, RECENT_REQUESTS_HALF_LIFE_MILLISECONDS) + 1
    const usual = known.usual * halfLifeWeight(elapsed, USUAL_REQUESTS_HALF_LIFE_MILLISECONDS)
    const allowed = Math.max(MINIMUM_FLOOD_REQUESTS, this.expectedRecent(usual, now - known.firstAt) * FLOOD_FACTOR)
    const isExcess = draw >= allowed / recent
    // The excess does not count as usual, so a flood that lasts does not become the usual by itself.
    this.rows.set(key, { ...known, recent, usual: usual + Number(!isExcess), updatedAt: now })
    return isExcess
  }

  /** The sum of recent requests that the usual rate would give. */
  private expectedRecent (usual: number, age: number): number {
    // A workspace that was first seen a short time ago has no usual rate yet.
    const observed = 1 - halfLifeWeight(Math.max(age, RECENT_REQUESTS_HALF_LIFE_MILLISECONDS), USUAL_REQUESTS_HALF_LIFE_MILLISECONDS)
    return usual / observed * RECENT_REQUESTS_HALF_LIFE_MILLISECONDS / USUAL_REQUESTS_HALF_LIFE_MILLISECONDS
  }
}
