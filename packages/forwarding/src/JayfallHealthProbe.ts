/** Queries the load of backend servers through their health path. */

import Wreck from '@hapi/wreck'
import { messageOf } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { PROBE_TIMEOUT_MILLISECONDS } from './JayfallForwardingConstants'
import { type ForwardingProtocol } from './JayfallForwardingProtocol'
import { type ForwardingState } from './JayfallForwardingState'
import { LoadProbe } from './JayfallRolloutCoordinator'

export class HealthProbe extends LoadProbe {
  constructor (private readonly protocol: ForwardingProtocol, private readonly state: ForwardingState, private readonly log: Log) {
    super()
  }

  override async queryLoad (address: string, service: string): Promise<number | undefined> {
    const path = this.state.routes?.catalogue.services.get(service)?.healthPath ?? '/'
    try {
      const response = await Wreck.request('GET', `http://${address}${path}`, { timeout: PROBE_TIMEOUT_MILLISECONDS })
      // The load is in the headers. The body is not read, because that of a faulty server may never end.
      response.destroy()
      const { load } = this.protocol.decodeAnswerHeaders(response.headers)
      return load === undefined ? undefined : load.running + load.waiting
    } catch (error) {
      this.log.info('probe_failed', { address, service, message: messageOf(error) })
      return undefined
    }
  }
}
