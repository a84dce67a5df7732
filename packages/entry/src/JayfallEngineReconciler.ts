/**
 * Reconciles the state of all engines with the catalogue, on behalf of all instances, under the lease `orders`.
 *
 * An order is a request that sets the loaded versions and the role of an engine. It contains the complete wanted state,
 * so it is idempotent. Each round compares the state of every engine with the wanted state. This corrects an order of a
 * previous lease holder that arrives late at an engine that ignores fencing numbers.
 */

import { type ReadonlyCatalogue, type ServerEntry } from '#jayfall/catalogue'
import { isPlatformError, type Lease, type PlatformServices } from '#jayfall/store'
import { type Clock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { type BackendClient } from './JayfallBackendClient'

/** Timeout of an order; after this time it no longer takes effect. */
const ORDER_TIMEOUT_MILLISECONDS = 10_000
/** Timeout of a query of an engine's state. */
const STATE_TIMEOUT_MILLISECONDS = 2000
/** Remaining time of the lease that is required to send an order. */
const ORDER_LEASE_MARGIN_MILLISECONDS = 1000

/** What the reconciler depends on. */
export interface EngineReconcilerDependencies {
  readonly lease: Lease
  readonly services: Pick<PlatformServices, 'putWeight'>
  readonly catalogue: ReadonlyCatalogue
  readonly backend: Pick<BackendClient, 'send' | 'read'>
  readonly clock: Clock
  readonly log: Log
}

/** The state of an engine: its loaded versions and its role. */
interface EngineState {
  readonly versions: readonly string[]
  readonly role: string
}

/** Compares the state of engines with the catalogue, and sends orders to those that differ. */
export class EngineReconciler {
  /** Fencing number of the lease in the last round. */
  private fencing: number | undefined
  /** Monotonic milliseconds at which this process acquired the lease. */
  private leaseHeldSince = 0

  constructor (private readonly dependencies: EngineReconcilerDependencies) {}

  /** Runs one round, if this instance holds the lease. @throws PlatformError when the store does not respond. */
  async run (): Promise<void> {
    if (!await this.dependencies.lease.maintain()) return
    const fencing = this.dependencies.lease.fencingFor(0)
    if (fencing !== this.fencing) [this.fencing, this.leaseHeldSince] = [fencing, this.dependencies.clock.monotonic()]
    for (const server of this.dependencies.catalogue.all('server')) {
      if (this.dependencies.catalogue.get('service', server.service)?.type !== 'engine' || server.leaving) continue
      try {
        await this.reconcile(server)
      } catch (error) {
        // The weight store limits the rate of loads; the remaining engines wait for the next round.
        if (isPlatformError(error, 'rate_limited')) return
        this.dependencies.log.warn('order_failed', { server: server.id, message: (error as Error).message })
      }
    }
  }

  private async reconcile (server: ServerEntry): Promise<void> {
    const wanted = this.findWantedState(server)
    const state = await this.readState(server)
    if (isSameState(state, wanted)) return
    // An order of the previous lease holder may still be in flight for one order timeout.
    if (!server.checksFencing && this.dependencies.clock.monotonic() - this.leaseHeldSince < ORDER_TIMEOUT_MILLISECONDS) return
    if (wanted.versions.some(version => !state.versions.includes(version))) await this.dependencies.services.putWeight(server.id, 1)
    const fencing = this.dependencies.lease.fencingFor(ORDER_LEASE_MARGIN_MILLISECONDS)
    if (fencing === undefined) return
    const response = await this.dependencies.backend.send({
      method: 'POST',
      address: server.address,
      path: '/orders',
      headers: { 'content-type': 'application/json' },
      payload: JSON.stringify({ fencing, wanted }),
      headersTimeout: ORDER_TIMEOUT_MILLISECONDS
    })
    response.resume()
    this.dependencies.log.info('order_sent', { server: server.id, fencing, versions: wanted.versions.join(','), status: response.statusCode })
  }

  /** Returns the state that the catalogue requires: all versions of the service that are not withdrawn. */
  private findWantedState ({ service }: ServerEntry): EngineState {
    const { catalogue } = this.dependencies
    const versions = (catalogue.get('service', service)?.versions ?? []).filter(id => {
      const version = catalogue.get('version', id)
      return version !== undefined && version.state !== 'withdrawn'
    })
    return { versions, role: 'serving' }
  }

  private async readState ({ address }: ServerEntry): Promise<EngineState> {
    const response = await this.dependencies.backend.send({ method: 'GET', address, path: '/state', headers: {}, headersTimeout: STATE_TIMEOUT_MILLISECONDS })
    return JSON.parse((await this.dependencies.backend.read(response, STATE_TIMEOUT_MILLISECONDS)).toString()) as EngineState
  }
}

function isSameState (state: EngineState, wanted: EngineState): boolean {
  return state.role === wanted.role && [...state.versions].sort().join() === [...wanted.versions].sort().join()
}
