/**
 * Membership of the instance in the group of all instances, and propagation of the catalogue: the listener for other
 * instances, the message exchanges with them, the platform's list of instances and the status row of the zone.
 */

import { ANNOUNCE_MILLISECONDS, ControlNode, ControlService, INSTANCE_LIST_BYTES_PER_SECOND, INSTANCE_LIST_MILLISECONDS, LISTED_INSTANCE_BYTES, ZONE_STATUS_MILLISECONDS, ZONE_STATUS_TABLE, createControlRouter, createPeerSender, createZoneStatus, type KnownAddress, type PeerSender } from '#jayfall/control'
import { createPeerRouter, PeerServer, type PeerDirectory, type PeerRouter } from '#jayfall/peers'
import { type CatalogueStore, type ListedInstance, type PlatformServices, type TableStore } from '#jayfall/store'
import { createRandomSource, type Clock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

/** Identity and addresses of the instance. */
export interface PeerControlSettings {
  readonly instanceId: string
  readonly zone: string
  /** Wall-clock milliseconds of the start of this process. */
  readonly incarnation: number
  /** IP address and port of the listener for other instances. */
  readonly peersAddress: string
  /** IP address and port at which other instances reach the listener. */
  readonly announcedAddress: string
  /** IP addresses and ports of instances that are contacted at the start. */
  readonly seeds: readonly string[]
}

/** What the membership depends on. */
export interface PeerControlParts {
  readonly catalogueStore: CatalogueStore
  readonly tables: TableStore
  readonly services: PlatformServices
  readonly clock: Clock
  readonly log: Log
}

/** Runs membership and propagation for one instance. */
export class PeerControl {
  readonly node: ControlNode
  private readonly service: ControlService
  private readonly sender: PeerSender
  private server: PeerServer | undefined
  private listedInstances: readonly ListedInstance[] = []
  /** Monotonic milliseconds before which the platform's list is not read again. */
  private nextListReadAt = -Infinity
  private timers: readonly NodeJS.Timeout[] = []

  constructor (private readonly settings: PeerControlSettings, private readonly parts: PeerControlParts) {
    const { instanceId, zone, incarnation, announcedAddress, peersAddress } = settings
    const { clock, catalogueStore, log } = parts
    const random = createRandomSource()
    this.sender = createPeerSender(peersAddress.split(':')[0])
    this.node = new ControlNode({ instanceId, zone, address: announcedAddress, incarnation }, clock, random)
    this.service = new ControlService({
      node: this.node,
      source: catalogueStore,
      send: this.sender.send,
      knownAddresses: () => this.knownAddresses(),
      clock,
      random,
      onFailure: (work, address, error) => log.debug('exchange_failed', { work, address, message: error.message })
    })
  }

  get directory (): PeerDirectory {
    return this.node.membership
  }

  /** Starts the listener, joins the group of instances, and installs a catalogue if one can be obtained. */
  async start (additionalRouters: Readonly<Record<string, PeerRouter>> = {}): Promise<void> {
    const router = createPeerRouter({
      control: createControlRouter(request => this.service.answer(request)),
      ...additionalRouters
    })
    this.server = await PeerServer.start(this.settings.peersAddress, router)
    await this.readInstanceList().catch((error: Error) => this.parts.log.warn('instance_list_unread', { message: error.message }))
    await this.service.start()
    this.timers = [
      this.schedule(ANNOUNCE_MILLISECONDS, () => this.announce()),
      this.schedule(ZONE_STATUS_MILLISECONDS, () => this.writeZoneStatus()),
      this.schedule(INSTANCE_LIST_MILLISECONDS, () => this.readInstanceListWhenDue())
    ]
  }

  /** Tells the other instances and the platform whether this instance is leaving. */
  setLeaving (leaving: boolean): void {
    this.node.membership.changeDetails({ leaving })
    this.announce().catch((error: Error) => this.parts.log.warn('announcement_failed', { message: error.message }))
  }

  async stop (): Promise<void> {
    for (const timer of this.timers) clearInterval(timer)
    this.service.stop()
    this.sender.close()
    await this.server?.stop()
  }

  /** Runs `task` now and at each interval (in milliseconds). */
  private schedule (interval: number, task: () => Promise<void>): NodeJS.Timeout {
    const run = () => { task().catch((error: Error) => this.parts.log.debug('control_work_failed', { message: error.message })) }
    run()
    return setInterval(run, interval)
  }

  /** Addresses of other instances from the settings and from the platform's list. */
  private knownAddresses (): readonly KnownAddress[] {
    const { seeds, announcedAddress } = this.settings
    const liveEntries = this.listedInstances.filter(({ role, state }) => role === 'entry' && state === 'live')
    const zones = new Map(liveEntries.map(({ address, zone }) => [address, zone]))
    return [...new Set([...seeds, ...zones.keys()])]
      .filter(address => address !== announcedAddress)
      .map(address => ({ address, zone: zones.get(address) }))
  }

  /** All addresses with which messages may be exchanged; connections to others are closed. */
  private currentAddresses (): ReadonlySet<string> {
    const { membership, summaries } = this.node
    return new Set([
      ...membership.all().map(({ facts }) => facts.address),
      ...summaries.otherZones().flatMap(({ summary }) => summary.contacts),
      ...this.knownAddresses().map(({ address }) => address)
    ])
  }

  private async announce (): Promise<void> {
    const { instanceId: id, zone, announcedAddress: address } = this.settings
    const state = this.node.membership.self.details.leaving ? 'leaving' : 'live'
    await this.parts.services.announceInstance({ id, role: 'entry', zone, address, state })
  }

  private async writeZoneStatus (): Promise<void> {
    if (!this.node.isZoneWriter) return
    const { clock, tables } = this.parts
    await tables.transact([{ table: ZONE_STATUS_TABLE, key: this.settings.zone, value: createZoneStatus(this.node, clock.monotonic(), clock.wall()) }])
  }

  private async readInstanceListWhenDue (): Promise<void> {
    this.sender.keepOnly(this.currentAddresses())
    const isNeeded = this.node.isZoneWriter || this.node.membership.livePeersOfZone().length === 0
    if (isNeeded && this.parts.clock.monotonic() >= this.nextListReadAt) await this.readInstanceList()
  }

  private async readInstanceList (): Promise<void> {
    this.listedInstances = await this.parts.services.listInstances()
    const transferMilliseconds = this.listedInstances.length * LISTED_INSTANCE_BYTES / INSTANCE_LIST_BYTES_PER_SECOND * 1000
    this.nextListReadAt = this.parts.clock.monotonic() + Math.max(transferMilliseconds, INSTANCE_LIST_MILLISECONDS / 2)
    this.node.setLeavingServers(this.listedInstances
      .filter(({ role, state, zone }) => role === 'backend' && state === 'leaving' && zone === this.settings.zone)
      .map(({ id }) => id))
  }
}
