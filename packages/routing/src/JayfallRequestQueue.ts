/**
 * The queue of the waiting requests of one lane of a pool.
 *
 * It has a queue for each workspace and serves them by deficit round robin in estimated tokens.
 * Within a workspace, requests are in arrival order.
 */

import { QUEUE_QUANTUM_TOKENS } from './JayfallRoutingConstants'
import { type RequestRow } from './JayfallRoutingTables'

/** Decides which waiting request is sent next. */
export abstract class RequestQueue {
  abstract readonly size: number
  /** Returns the estimated work of a workspace's waiting requests, in tokens. */
  abstract queuedWorkOf (workspace: string): number
  abstract push (row: RequestRow): void
  /** Returns the next request, which stays in the queue. */
  abstract peek (): RequestRow | undefined
  /** Removes and returns the next request. */
  abstract shift (): RequestRow | undefined
  /** Removes a request and returns whether it was in the queue. */
  abstract remove (requestId: string): boolean
  abstract rows (): Iterable<RequestRow>
}

/** Waiting requests of one workspace. */
interface WorkspaceQueue {
  readonly rows: Map<string, RequestRow>
  /** Estimated work of the requests, in tokens. */
  work: number
  /** Tokens that the workspace may still send in its turn. */
  deficit: number
}

/** Serves the workspaces by deficit round robin. */
export class FairRequestQueue extends RequestQueue {
  /** Queues in round-robin order; the first is being served. */
  private readonly queues = new Map<string, WorkspaceQueue>()
  private readonly workspaceByRequest = new Map<string, string>()

  override get size (): number {
    return this.workspaceByRequest.size
  }

  override queuedWorkOf (workspace: string): number {
    return this.queues.get(workspace)?.work ?? 0
  }

  override push (row: RequestRow): void {
    const { workspace, id } = row.request
    const queue = this.queues.get(workspace) ?? { rows: new Map(), work: 0, deficit: 0 }
    this.queues.set(workspace, queue)
    queue.rows.set(id, row)
    queue.work += row.work
    this.workspaceByRequest.set(id, workspace)
  }

  override peek (): RequestRow | undefined {
    while (this.queues.size > 0) {
      const [workspace, queue] = this.queues.entries().next().value as [string, WorkspaceQueue]
      const [row] = queue.rows.values()
      if (queue.deficit >= row.work) return row
      // The queue's turn is over. It gets its quantum for the next one, and at least the work of its first request when it is the only queue.
      const quantum = Math.max(QUEUE_QUANTUM_TOKENS, this.queues.size === 1 ? row.work : 0)
      queue.deficit += quantum
      this.queues.delete(workspace)
      this.queues.set(workspace, queue)
    }
    return undefined
  }

  override shift (): RequestRow | undefined {
    const row = this.peek()
    if (row === undefined) return undefined
    const queue = this.queues.get(row.request.workspace)
    if (queue !== undefined) queue.deficit -= row.work
    this.remove(row.request.id)
    return row
  }

  override remove (requestId: string): boolean {
    const workspace = this.workspaceByRequest.get(requestId)
    const queue = workspace === undefined ? undefined : this.queues.get(workspace)
    const row = queue?.rows.get(requestId)
    if (workspace === undefined || queue === undefined || row === undefined) return false
    queue.rows.delete(requestId)
    queue.work -= row.work
    this.workspaceByRequest.delete(requestId)
    // An empty queue loses its deficit, so that idle workspaces cannot accumulate turns.
    if (queue.rows.size === 0) this.queues.delete(workspace)
    return true
  }

  override * rows (): Iterable<RequestRow> {
    for (const { rows } of this.queues.values()) yield * rows.values()
  }
}
