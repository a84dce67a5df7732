/**
 * The order in which waiting requests of one pool are sent.
 *
 * Each lane of a pool has a queue for each workspace, served by deficit round robin in
 * estimated tokens. The queues are in arrival order within a workspace.
 */

import { QUEUE_QUANTUM_TOKENS } from './JayfallRoutingConstants'
import { type RequestRow } from './JayfallRoutingTables'

/** Decides which waiting request goes next. */
export abstract class QueueOrder {
  abstract readonly size: number
  /** Tokens that wait for a workspace. */
  abstract workOf (workspace: string): number
  abstract push (row: RequestRow): void
  /** The next request, which stays in the queue. */
  abstract peek (): RequestRow | undefined
  /** Removes the next request. */
  abstract shift (): RequestRow | undefined
  abstract remove (requestId: string): boolean
  abstract rows (): Iterable<RequestRow>
}

interface WorkspaceQueue {
  readonly rows: Map<string, RequestRow>
  work: number
  deficit: number
}

/** Deficit round robin over workspaces. */
export class FairQueueOrder extends QueueOrder {
  /** In round-robin order: the first is being served. */
  private readonly queues = new Map<string, WorkspaceQueue>()
  private readonly workspaceOf = new Map<string, string>()

  override get size (): number {
    return this.workspaceOf.size
  }

  override workOf (workspace: string): number {
    return this.queues.get(workspace)?.work ?? 0
  }

  override push (row: RequestRow): void {
    const { workspace, id } = row.request
    const queue = this.queues.get(workspace) ?? { rows: new Map(), work: 0, deficit: 0 }
    this.queues.set(workspace, queue)
    queue.rows.set(id, row)
    queue.work += row.work
    this.workspaceOf.set(id, workspace)
  }

  override peek (): RequestRow | undefined {
    while (this.queues.size > 0) {
      const [workspace, queue] = this.queues.entries().next().value as [string, WorkspaceQueue]
      const [row] = queue.rows.values()
      if (queue.deficit >= row.work) return row
      // The queue's turn is over; it gets its quantum for the next one, more when all heads are large.
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
    const workspace = this.workspaceOf.get(requestId)
    const queue = workspace === undefined ? undefined : this.queues.get(workspace)
    const row = queue?.rows.get(requestId)
    if (workspace === undefined || queue === undefined || row === undefined) return false
    queue.rows.delete(requestId)
    queue.work -= row.work
    this.workspaceOf.delete(requestId)
    // An empty queue loses its deficit, so that idle workspaces cannot save up turns.
    if (queue.rows.size === 0) this.queues.delete(workspace)
    return true
  }

  override * rows (): Iterable<RequestRow> {
    for (const { rows } of this.queues.values()) yield * rows.values()
  }
}
