/** One entry instance: its control thread and data threads, and its start and planned stop. */

import { delay } from '#jayfall/shared'
import { type EntrySettings } from '#jayfall/settings'
import { type Log } from '#jayfall/telemetry'
import 'reflect-metadata'
import { inject, injectable } from 'tsyringe'

import { createLocalLink } from './JayfallControlLink'
import { ControlPlane } from './JayfallControlPlane'
import { DataPlane } from './JayfallDataPlane'

/** Names under which the container holds what an instance is made of. */
export const ENTRY_SETTINGS = Symbol('EntrySettings')
export const ENTRY_LOG = Symbol('EntryLog')

/** Interval at which a stopping instance looks for open requests. */
const DRAIN_POLL_MILLISECONDS = 50

/** An instance that can be started and stopped once. */
@injectable()
export class EntryInstance {
  private readonly controlPlane: ControlPlane
  private readonly dataPlane: DataPlane

  constructor (@inject(ENTRY_SETTINGS) private readonly settings: EntrySettings, @inject(ENTRY_LOG) private readonly log: Log) {
    const { instance, callers, peers, platform, keys, ledger } = settings
    const localAddress = peers.address.split(':')[0]
    this.controlPlane = new ControlPlane({
      instanceId: instance.id,
      zone: instance.zone,
      peersAddress: peers.address,
      announcedAddress: peers.announce ?? peers.address,
      seeds: peers.seeds,
      platformAddress: platform.address,
      platformTimeout: platform.timeout,
      batchInterval: ledger['batch-interval']
    }, log)
    const link = createLocalLink()
    this.controlPlane.attach(link.control)
    this.dataPlane = new DataPlane({
      instanceId: instance.id,
      localAddress,
      limits: { bodyLimit: callers['body-limit'], headerTimeout: callers['header-timeout'], connectionLimit: callers['connection-limit'] },
      requestDeadline: callers['request-deadline'],
      sealPasswords: keys['seal-passwords']
    }, link.data, log)
  }

  async start (): Promise<void> {
    const [host, port] = this.settings.callers.address.split(':')
    await this.controlPlane.start()
    await this.dataPlane.listen({ host, port: Number(port) })
    this.log.info('instance_started', { zone: this.settings.instance.zone, callers: this.settings.callers.address })
  }

  /** Reports itself unready, waits until the balancer has seen it, and finishes what is open. */
  async stop (): Promise<void> {
    const { 'drain-notice': notice, 'stop-limit': limit } = this.settings.stop
    this.log.info('instance_stopping', { open_requests: this.dataPlane.openRequests })
    this.controlPlane.announceLeaving()
    await delay(notice)
    this.dataPlane.closeListener()
    for (let waited = 0; waited < limit && this.dataPlane.openRequests > 0; waited += DRAIN_POLL_MILLISECONDS) await delay(DRAIN_POLL_MILLISECONDS)
    await this.stopNow()
  }

  /** Writes the bills and closes everything. */
  async stopNow (): Promise<void> {
    await this.controlPlane.stop()
    await this.dataPlane.stop()
    this.log.info('instance_stopped')
  }
}
