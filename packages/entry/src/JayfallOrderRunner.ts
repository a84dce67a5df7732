/**
 * Brings engines to the state that the catalogue wants, on behalf of all instances, under the lease `orders`.
 *
 * An order states the whole wanted state, so repeating it does no harm. Each round compares every
 * engine's state with the wanted one, so that an order of an earlier holder that arrives late at an
 * engine that ignores fencing numbers is corrected.
 */

import { type ReadonlyCatalogue, type ServerEntry } from '#jayfall/catalogue'
import { isPlatformError, type Lease, type PlatformServices } from '#jayfall/store'
import { type Clock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { type BackendClient } from './JayfallBackendClient'

/** Milliseconds after which an order that was sent no longer takes effect. */
const ORDER_TIMEOUT_MILLISECONDS = 10_000
const STATE_TIMEOUT_MILLISECONDS = 2000
/** Milliseconds of the lease that an order must have left. */
const ORDER_MARGIN_MILLISECONDS = 1000

export interface OrderRunnerParts {
  readonly lease: Lease
  readonly services: Pick<PlatformServices, 'putWeight'>
  readonly catalogue: ReadonlyCatalogue
  readonly backend: Pick<BackendClient, 'send' | 'read'>
  readonly clock: Clock
  readonly log: Log
}

/** The state that an engine should have. */
interface WantedState {
  readonly versions: readonly string[]
  readonly role: string
}

/** One instance's part in giving orders. */
export class OrderRunner {
  private fencing: number | undefined
  /** When this process became the holder. Monotonic milliseconds. */
  private heldSince = 0

  constructor (private readonly parts: OrderRunnerParts) {}

  /** One round; does nothing unless the lease is held. @throws PlatformError when the store gives no answer. */
  async run (): Promise<void> {
    if (!await this.parts.lease.maintain()) return
    const fencing = this.parts.lease.fencingFor(0)
    if (fencing !== this.fencing) [this.fencing, this.heldSince] = [fencing, this.parts.clock.monotonic()]
    for (const server of this.parts.catalogue.all('server')) {
      if (this.parts.catalogue.get('service', server.service)?.type !== 'engine' || server.leaving) continue
      try {
        await this.bringToWanted(server)
      } catch (error) {
        // Above the weight store's rate nothing more is loaded in this round.
        if (isPlatformError(error, 'rate_limited')) return
        this.parts.log.warn('order_failed', { server: server.id, message: (error as Error).message })
      }
    }
  }

  private async bringToWanted (server: ServerEntry): Promise<void> {
    const wanted = this.wantedState(server)
    const state = await this.readState(server)
    if (isSameState(state, wanted)) return
    // An order of the holder before may be on its way for one order timeout.
    if (!server.checksFencing && this.parts.clock.monotonic() - this.heldSince < ORDER_TIMEOUT_MILLISECONDS) return
    if (wanted.versions.some(version => !state.versions.includes(version))) await this.parts.services.putWeight(server.id, 1)
    const fencing = this.parts.lease.fencingFor(ORDER_MARGIN_MILLISECONDS)
    if (fencing === undefined) return
    const response = await this.parts.backend.send({
      method: 'POST',
      address: server.address,
      path: '/orders',
      headers: { 'content-type': 'application/json' },
      payload: JSON.stringify({ fencing, wanted }),
      headTimeout: ORDER_TIMEOUT_MILLISECONDS
    })
    response.resume()
    this.parts.log.info('order_sent', { server: server.id, fencing, versions: wanted.versions.join(','), status: response.statusCode })
  }

  /** All versions of the server's service that are not withdrawn. */
  private wantedState ({ service }: ServerEntry): WantedState {
    const { catalogue } = this.parts
    const versions = (catalogue.get('service', service)?.versions ?? []).filter(id => {
      const version = catalogue.get('version', id)
      return version !== undefined && version.state !== 'withdrawn'
    })
    return { versions, role: 'serving' }
  }

  private async readState ({ address }: ServerEntry): Promise<WantedState> {
    const response = await this.parts.backend.send({ method: 'GET', address, path: '/state', headers: {}, headTimeout: STATE_TIMEOUT_MILLISECONDS })
    return JSON.parse((await this.parts.backend.read(response, STATE_TIMEOUT_MILLISECONDS)).toString()) as WantedState
  }
}

function isSameState (state: WantedState, wanted: WantedState): boolean {
  return state.role === wanted.role && [...state.versions].sort().join() === [...wanted.versions].sort().join()
}
