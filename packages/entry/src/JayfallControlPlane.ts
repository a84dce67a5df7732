/**
 * The control thread of an instance. It installs the catalogue, and owns the connections to the store, to the ledger
 * and to other instances.
 *
 * It publishes the catalogue to the data threads, and executes their calls to the store.
 */

import { type ReadonlyCatalogue } from '#jayfall/catalogue'
import { CatalogueStore, HttpTableStore, PlatformHttp, PlatformServices } from '#jayfall/store'
import { JayfallError, SystemClock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { type CallHandlers, type ControlCallName } from './JayfallControlCalls'
import { ControlTasks } from './JayfallControlTasks'
import { type ControlLinkEnd, type ControlMessage, type DataMessage, type ReplaceableKeys } from './JayfallControlLink'
import { InstanceLedger, type InstanceLedgerSettings } from './JayfallInstanceLedger'
import { LeavingServers } from './JayfallLeavingServers'
import { PeerControl, type PeerControlSettings } from './JayfallPeerControl'
import { ThreadReportCollector } from './JayfallThreadReportCollector'

/** Interval at which a new confirmation of the catalogue is published to the data threads. */
const CONFIRMATION_INTERVAL_MILLISECONDS = 250
/** Interval at which the data threads receive their shares of the workspaces' limits. */
const LIMIT_SHARES_INTERVAL_MILLISECONDS = 1000

/** Interval at which the data threads are told whether memory for bills is available. */
const BACKLOG_INTERVAL_MILLISECONDS = 100

export type ControlPlaneSettings = Omit<PeerControlSettings & InstanceLedgerSettings, 'incarnation'>

/** Runs the control plane of one instance. */
export class ControlPlane {
  private readonly clock = new SystemClock()
  private readonly http: PlatformHttp
  private readonly peers: PeerControl
  private readonly tasks: ControlTasks
  private readonly ledger: InstanceLedger
  private readonly handlers: CallHandlers
  private readonly leavingServers = new LeavingServers(this.clock)
  private readonly threadReports = new ThreadReportCollector()
  private links: readonly ControlLinkEnd[] = []
  private timers: readonly NodeJS.Timeout[] = []
  private isStopping = false
  /** Whether the catalogue marks this instance as leaving. */
  private isMarkedLeaving = false
  /** Highest catalogue revision that has been published to the data threads. */
  private sentRevision = 0
  /** Monotonic milliseconds of the last confirmation that has been published. */
  private sentConfirmation = -Infinity
  private isBacklogFull = false

  constructor (private readonly settings: ControlPlaneSettings, private readonly log: Log) {
    const incarnation = this.clock.wall()
    this.http = new PlatformHttp({ address: settings.platformAddress, timeout: settings.platformTimeout, localAddress: settings.localAddress })
    const tables = new HttpTableStore(this.http)
    const catalogueStore = new CatalogueStore(tables)
    this.peers = new PeerControl({ ...settings, incarnation }, {
      catalogueStore, tables, services: new PlatformServices(this.http), clock: this.clock, log
    })
    this.tasks = new ControlTasks({
      ...settings,
      http: this.http,
      tables,
      catalogueStore,
      catalogue: this.catalogue,
      clock: this.clock,
      log,
      isLeaseCandidate: () => this.peers.node.isStoreReader,
      onQuality: quality => this.postToAll({ kind: 'cascade-quality', quality })
    })
    this.ledger = new InstanceLedger({ ...settings, incarnation }, this.catalogue, this.peers.directory, this.tasks.recoveryRight, log)
    this.handlers = { ...this.ledger.handlers, offer: async offer => { await this.tasks.offerRating(offer) }, collect: ({ traceId }) => this.threadReports.collect(traceId) }
    this.catalogue.registerInstallListener(() => this.publishCatalogue())
  }

  get catalogue (): ReadonlyCatalogue {
    return this.peers.node.catalogue
  }

  /** Connects a data thread. */
  attach (link: ControlLinkEnd): void {
    this.links = [...this.links, link]
    link.onMessage(message => this.handleMessage(link, message))
    this.threadReports.addLink(link)
    if (this.catalogue.revision > 0) link.post({ kind: 'catalogue-snapshot', snapshot: this.catalogue.snapshot() })
  }

  /** Starts all tasks; resolves when the listener for other instances is open. */
  async start (): Promise<void> {
    this.timers = [
      setInterval(() => this.publishConfirmation(), CONFIRMATION_INTERVAL_MILLISECONDS),
      setInterval(() => this.publishLimitShares(), LIMIT_SHARES_INTERVAL_MILLISECONDS),
      setInterval(() => this.publishBacklogState(), BACKLOG_INTERVAL_MILLISECONDS)
    ]
    this.ledger.start()
    await this.peers.start({ ledger: this.ledger.router })
    this.tasks.start()
    this.publishConfirmation()
    this.publishLimitShares()
  }

  /** Sends replaced keys to the data threads; open requests continue with the previous keys. */
  replaceKeys (keys: ReplaceableKeys): void {
    this.postToAll({ kind: 'keys', keys })
  }

  /** Tells the data threads, the other instances and the platform that the instance is shutting down. */
  announceLeaving (): void {
    this.isStopping = true
    this.updateLifecycle()
  }

  async stop (): Promise<void> {
    for (const timer of this.timers) clearInterval(timer)
    await this.tasks.stop()
    await this.ledger.stop()
    await this.peers.stop()
    this.http.close()
  }

  private postToAll (message: ControlMessage): void {
    for (const link of this.links) link.post(message)
  }

  /** Publishes a new catalogue as changes if the data threads have an earlier one, and applies the instance's own mark. */
  private publishCatalogue (): void {
    const { catalogue, sentRevision } = this
    const changes = sentRevision === 0 ? undefined : catalogue.changesAfter(sentRevision)
    this.postToAll(changes === undefined ? { kind: 'catalogue-snapshot', snapshot: catalogue.snapshot() } : { kind: 'catalogue-changes', changes })
    this.sentRevision = catalogue.revision
    this.log.info('catalogue_installed', { revision: catalogue.revision })
    const isMarkedLeaving = catalogue.get('instance-mark', this.settings.instanceId)?.leaving === true
    if (isMarkedLeaving === this.isMarkedLeaving) return
    this.isMarkedLeaving = isMarkedLeaving
    this.updateLifecycle()
  }

  private publishConfirmation (): void {
    const { confirmedAt } = this.peers.node.confirmation
    if (confirmedAt === this.sentConfirmation) return
    this.sentConfirmation = confirmedAt
    this.postToAll({ kind: 'confirmation', confirmedAt })
  }

  /** Publishes the limits that each data thread enforces, an equal part of the instance's shares, and the leaving servers. */
  private publishLimitShares (): void {
    const dataThreadCount = Math.max(this.links.length, 1)
    const shares = this.peers.node.updateShares().map(share => ({
      workspace: share.workspace,
      requestsPerSecond: share.requestsPerSecond / dataThreadCount,
      tokensPerSecond: share.tokensPerSecond / dataThreadCount,
      concurrentRequests: share.concurrentRequests / dataThreadCount
    }))
    this.postToAll({ kind: 'limit-shares', shares })
    const servers = this.leavingServers.update(this.peers.node.leavingServersOfAllZones())
    if (servers !== undefined) this.postToAll({ kind: 'leaving-servers', servers })
  }

  private publishBacklogState (): void {
    if (this.ledger.isBacklogFull === this.isBacklogFull) return
    this.isBacklogFull = this.ledger.isBacklogFull
    this.log.warn('billing_backlog', { full: this.isBacklogFull })
    this.postToAll({ kind: 'billing-backlog', full: this.isBacklogFull })
  }

  private updateLifecycle (): void {
    const isLeaving = this.isStopping || this.isMarkedLeaving
    this.log.info('lifecycle_changed', { state: isLeaving ? 'leaving' : 'serving', marked: this.isMarkedLeaving })
    this.postToAll({ kind: 'lifecycle', state: isLeaving ? 'leaving' : 'serving' })
    this.peers.setLeaving(isLeaving)
  }

  private handleMessage (link: ControlLinkEnd, message: DataMessage): void {
    switch (message.kind) {
      case 'call':
        this.answerCall(link, message)
        break
      case 'collected':
        this.threadReports.handleReport(message)
        break
      case 'demand':
        for (const { workspace, requests, tokens } of message.demands) this.peers.node.demandMeter.count(workspace, { requests, tokens })
        break
      case 'server-leaving':
        this.leavingServers.addReport(message.server)
        break
      case 'state':
    }
  }

  private answerCall (link: ControlLinkEnd, message: Extract<DataMessage, { kind: 'call' }>): void {
    const handler = this.handlers[message.name as ControlCallName] as (argument: unknown) => Promise<unknown>
    handler(message.argument).then(
      result => link.post({ kind: 'reply', id: message.id, result }),
      (error: Error) => link.post({ kind: 'reply', id: message.id, error: { code: error instanceof JayfallError ? error.code : 'internal', message: error.message } })
    )
  }
}
