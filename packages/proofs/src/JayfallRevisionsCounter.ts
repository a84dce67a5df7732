/**
 * Preloaded into the processes of the counter-proof: instances exchange nothing and read the
 * store only now and then, as a cache with a long lifetime would.
 */

import { ControlService } from '#jayfall/control'

const READ_INTERVAL_MILLISECONDS = 30_000

interface ServiceInternals {
  readonly node: { tick (): number }
  readonly reader: { read (): Promise<void> }
  readonly clock: { monotonic (): number }
}

const lastReads = new WeakMap<ServiceInternals, number>()

ControlService.prototype.tick = function (this: ControlService): void {
  const internals = this as unknown as ServiceInternals
  const now = internals.clock.monotonic()
  internals.node.tick()
  if (now - (lastReads.get(internals) ?? now) < READ_INTERVAL_MILLISECONDS && lastReads.has(internals)) return
  lastReads.set(internals, now)
  internals.reader.read().catch(() => {})
}
