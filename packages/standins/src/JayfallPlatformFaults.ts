/** Faults that the platform stand-in injects into its own calls. */

import { type Lifecycle, type ResponseToolkit, type Server } from '@hapi/hapi'
import { delay, type RandomSource } from '#jayfall/shared'

/** Faults in force; probabilities are 0 to 1. */
export interface PlatformFaults {
  /** Every call of the stores is refused with 503. */
  readonly down: boolean
  /** Milliseconds added to each call of the stores. */
  readonly slow: number
  /** The share of calls that are carried out and whose replies are lost. */
  readonly lostReplies: number
  /** Milliseconds by which the list of instances lags. */
  readonly listLag: number
  /** Writes to the weight store accepted in one second. */
  readonly weightWritesPerSecond: number
}

export const NO_FAULTS: PlatformFaults = { down: false, slow: 0, lostReplies: 0, listLag: 2000, weightWritesPerSecond: 5 }

const STORE_PATHS = /^\/(tables|objects)/

/** Applies `faults()` to the store calls of `server`. */
export function registerPlatformFaults (server: Server, faults: () => PlatformFaults, random: RandomSource): void {
  const before: Lifecycle.Method = async (request, toolkit: ResponseToolkit) => {
    if (!STORE_PATHS.test(request.path)) return toolkit.continue
    if (faults().slow > 0) await delay(faults().slow)
    if (faults().down) return toolkit.response({ error: 'down' }).code(503).takeover()
    return toolkit.continue
  }
  server.ext('onPreHandler', before)
  server.ext('onPreResponse', (request, toolkit) => {
    if (!STORE_PATHS.test(request.path) || !random.chance(faults().lostReplies)) return toolkit.continue
    request.raw.req.socket.destroy()
    return toolkit.abandon
  })
}
