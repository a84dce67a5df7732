/**
 * Servers that this instance saw leave, for when the store comes back from a copy that still lists them.
 *
 * A copy may show a server as ready that has announced its leaving since, or list one that is gone. The entry of a
 * server that is gone disappears when the server has been silent for the lifetime of an entry, so an entry that is
 * still there after that belongs to a server that runs.
 */

import { type BackendServer } from './JayfallForwardingCatalogue'
import { DEPARTED_SERVER_MEMORY_MILLISECONDS } from './JayfallForwardingConstants'

/** A server whose entry is not used yet. */
interface HeldServer {
  readonly server: BackendServer
  /** Monotonic milliseconds until which it is held back. */
  readonly until: number
}

export class DepartedServers {
  /** The servers that are gone, and when they left, by identifier. */
  private readonly departed = new Map<string, { readonly server: BackendServer, readonly leftAt: number }>()
  private readonly held = new Map<string, HeldServer>()

  /** @param entryLifetime milliseconds after which the store removes the entry of a silent server. */
  constructor (private readonly entryLifetime: number) {}

  /** Records that a server is gone. */
  recordDeparture (server: BackendServer, now: number): void {
    this.departed.delete(server.id)
    this.departed.set(server.id, { server, leftAt: now })
    for (const [id, { leftAt }] of this.departed) {
      if (now - leftAt <= DEPARTED_SERVER_MEMORY_MILLISECONDS) return
      this.departed.delete(id)
    }
  }

  /** Records that an entry was written or removed by its server in the present era. */
  forget (id: string): void {
    this.departed.delete(id)
    this.held.delete(id)
  }

  /** Holds the entry of a copy back if its server has left. Returns whether it did. */
  hold (server: BackendServer, now: number): boolean {
    const known = this.departed.get(server.id)
    if (known === undefined || !isSameIncarnation(known.server, server)) return false
    this.held.set(server.id, { server, until: now + this.entryLifetime })
    return true
  }

  /** Removes and returns the servers that have shown by their entries that they run. */
  release (now: number): readonly BackendServer[] {
    const due = [...this.held.values()].filter(({ until }) => now >= until).map(({ server }) => server)
    for (const { id } of due) this.forget(id)
    return due
  }
}

/** Whether both entries belong to one start of a server. Older entries name none. */
export function isSameIncarnation (left: BackendServer, right: BackendServer): boolean {
  return left.id === right.id && left.address === right.address && (left.startedAt ?? right.startedAt) === (right.startedAt ?? left.startedAt)
}
