/**
 * Notices that the server of a running attempt is out of reach with its whole zone.
 *
 * A cut-off zone resets nothing: its streams only fall silent. When other requests find that the
 * zone cannot be reached and the attempt has heard nothing for a moment either, it need not wait
 * as long as for a server that is merely slow.
 */

import { type Clock } from '#jayfall/shared'

import { type BackendDirectory } from './JayfallBackendDirectory'
import { CUT_ZONE_CONFIRMATION } from './JayfallForwardingConstants'

export class CutOffWatch {
  private readonly controller = new AbortController()
  private readonly unregister: () => void
  private timer: NodeJS.Timeout | undefined
  private heard = 0

  constructor (private readonly directory: BackendDirectory, private readonly clock: Clock, private readonly zone: string) {
    this.unregister = directory.registerCutOffListener(zone, () => this.suspect())
  }

  /** Aborted when the server is out of reach. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Takes note that something came from the server. */
  noteHeard (): void {
    this.heard++
  }

  close (): void {
    clearTimeout(this.timer)
    this.unregister()
  }

  private suspect (): void {
    if (this.timer !== undefined) return
    const { heard } = this
    this.timer = setTimeout(() => {
      this.timer = undefined
      if (this.heard === heard && this.directory.isCutOff(this.zone, this.clock.monotonic())) this.controller.abort()
    }, CUT_ZONE_CONFIRMATION)
  }
}
