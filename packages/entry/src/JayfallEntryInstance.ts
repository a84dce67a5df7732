/** One entry instance: creates its control plane and data planes, and runs its start and its planned stop. */

import { delay } from '#jayfall/shared'
import { type EntrySettings } from '#jayfall/settings'
import { SPAN_RING_SIZE, type Log } from '#jayfall/telemetry'
import 'reflect-metadata'
import { inject, injectable } from 'tsyringe'

import { ControlPlane } from './JayfallControlPlane'
import { LocalDataHost, type DataHost } from './JayfallDataHost'
import { type DataParts } from './JayfallDataParts'
import { type DataPlaneSettings } from './JayfallDataPlane'
import { ThreadedDataHost } from './JayfallThreadedDataHost'

/** Tokens under which the dependency injection container holds the dependencies of an instance. */
export const ENTRY_SETTINGS = Symbol('EntrySettings')
export const ENTRY_LOG = Symbol('EntryLog')
export const ENTRY_PARTS = Symbol('EntryParts')

/** Interval at which a stopping instance checks for open requests. */
const DRAIN_POLL_MILLISECONDS = 50

/** An instance that can be started and stopped once. */
@injectable()
export class EntryInstance {
  private readonly controlPlane: ControlPlane
  private readonly dataHost: DataHost

  constructor (@inject(ENTRY_SETTINGS) private readonly settings: EntrySettings, @inject(ENTRY_LOG) private readonly log: Log, @inject(ENTRY_PARTS) components: DataParts) {
    const { instance, callers, peers, platform, keys, ledger, telemetry } = settings
    const localAddress = peers.address.split(':')[0]
    this.controlPlane = new ControlPlane({
      instanceId: instance.id,
      zone: instance.zone,
      localAddress,
      peersAddress: peers.address,
      announcedAddress: peers.announce ?? peers.address,
      seeds: peers.seeds,
      platformAddress: platform.address,
      platformTimeout: platform.timeout,
      batchInterval: ledger['batch-interval'],
      billMemory: ledger['bill-memory']
    }, log)
    const dataSettings: DataPlaneSettings = {
      instanceId: instance.id,
      localAddress,
      limits: { bodyLimit: callers['body-limit'], headerTimeout: callers['header-timeout'], bodyTimeout: callers['body-timeout'], connectionLimit: callers['connection-limit'] },
      requestDeadline: callers['request-deadline'],
      idleStreamTimeout: callers['idle-stream-timeout'],
      sealPasswords: keys['seal-passwords'],
      operatorHashes: keys['operator-hashes'],
      traces: {
        instanceId: instance.id,
        zone: instance.zone,
        file: telemetry['trace-file'],
        otlpAddress: telemetry['otlp-address'],
        ringSize: Math.ceil(SPAN_RING_SIZE / Math.max(1, settings.threads['data-threads']))
      }
    }
    const attach: ControlPlane['attach'] = link => this.controlPlane.attach(link)
    const threads = settings.threads['data-threads']
    this.dataHost = threads === 0
      ? new LocalDataHost(dataSettings, attach, log, components)
      : new ThreadedDataHost(threads, dataSettings, telemetry['log-level'], attach, log)
  }

  /** Resolves with the cause when the instance cannot continue and must be stopped. */
  get failure (): Promise<Error> {
    return this.dataHost.failure
  }

  async start (): Promise<void> {
    const [host, port] = this.settings.callers.address.split(':')
    await this.controlPlane.start()
    await this.dataHost.listen({ host, port: Number(port) })
    this.log.info('instance_started', { zone: this.settings.instance.zone, callers: this.settings.callers.address })
  }

  /** Replaces the operators' keys and the token passwords while the instance runs. */
  replaceKeys (keys: EntrySettings['keys']): void {
    this.controlPlane.replaceKeys({ operatorHashes: keys['operator-hashes'], sealPasswords: keys['seal-passwords'] })
    this.log.info('keys_replaced', { operator_keys: keys['operator-hashes'].length, seal_passwords: keys['seal-passwords'].length })
  }

  /** Reports that the instance is unready, waits until load balancers have noticed, and stops once open requests have finished or the limit is reached. */
  async stop (): Promise<void> {
    const { 'drain-notice': notice, 'stop-limit': limit } = this.settings.stop
    this.log.info('instance_stopping', { open_requests: this.dataHost.openRequests })
    this.controlPlane.announceLeaving()
    await delay(notice)
    for (let waited = 0; waited < limit && await this.dataHost.drain() > 0; waited += DRAIN_POLL_MILLISECONDS) await delay(DRAIN_POLL_MILLISECONDS)
    await this.stopNow()
  }

  /** Ends open requests with an error, writes pending bills and closes all connections. */
  async stopNow (): Promise<void> {
    await this.dataHost.interrupt()
    await this.controlPlane.stop()
    await this.dataHost.stop()
    this.log.info('instance_stopped')
  }
}
