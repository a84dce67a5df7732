/**
 * Detects that the server of a running attempt is unreachable together with its whole availability zone.
 *
 * When a zone becomes unreachable, its connections are not reset; their streams merely receive no more
 * data. When other requests find that the zone cannot be reached, and the attempt has received no data
 * for a short time either, the attempt is ended earlier than one at a server that is only slow.
 */

import { type Clock } from '#jayfall/shared'

import { type BackendDirectory } from './JayfallBackendDirectory'
import { ZONE_OUTAGE_CONFIRMATION_MILLISECONDS } from './JayfallForwardingConstants'

export class ZoneOutageDetector {
  private readonly controller = new AbortController()
  private readonly removeListener: () => void
  private timer: NodeJS.Timeout | undefined
  private activityCount = 0

  constructor (private readonly directory: BackendDirectory, private readonly clock: Clock, private readonly zone: string) {
    this.removeListener = directory.addZoneOutageListener(zone, () => this.scheduleCheck())
  }

  /** Aborted when the server is found to be unreachable. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Records that data arrived from the server. */
  recordActivity (): void {
    this.activityCount++
  }

  close (): void {
    clearTimeout(this.timer)
    this.removeListener()
  }

  private scheduleCheck (): void {
    if (this.timer !== undefined) return
    const { activityCount } = this
    this.timer = setTimeout(() => {
      this.timer = undefined
      if (this.activityCount === activityCount && this.directory.isZoneUnreachable(this.zone, this.clock.monotonic())) this.controller.abort()
    }, ZONE_OUTAGE_CONFIRMATION_MILLISECONDS)
  }
}
