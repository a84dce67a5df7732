/**
 * Holds which availability zones operators have evacuated.
 *
 * Nothing is sent to the servers of an evacuated zone, even when there are no others. While the store does not respond,
 * the last known state stays in force. When the store comes back from a copy, an evacuation that is not in the copy stays
 * in force, because operators write again what was lost.
 */

import { type Log } from '#jayfall/telemetry'

export class ZoneEvacuations {
  private readonly zones = new Set<string>()

  /** @param onEnded called with each zone whose evacuation has ended. */
  constructor (private readonly log: Log, private readonly onEnded: (zone: string) => void) {}

  begin (zone: string): void {
    if (this.zones.has(zone)) return
    this.zones.add(zone)
    this.log.info('zone_evacuated', { zone })
  }

  end (zone: string): void {
    if (!this.zones.delete(zone)) return
    this.log.info('zone_evacuation_ended', { zone })
    this.onEnded(zone)
  }

  isEvacuated (zone: string): boolean {
    return this.zones.has(zone)
  }
}
