/**
 * The control thread of an instance: the installed catalogue, the store and the ledger.
 *
 * Data threads receive what it installs, and their calls to the store pass through it.
 */

import { type ReadonlyCatalogue } from '#jayfall/catalogue'
import { CatalogueStore, HttpTableStore, PlatformHttp, PlatformServices } from '#jayfall/store'
import { JayfallError, SystemClock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { type CallHandlers, type ControlCallName } from './JayfallControlCalls'
import { ControlDuties } from './JayfallControlDuties'
import { type ControlLinkEnd, type ControlMessage, type DataMessage, type ReplaceableKeys } from './JayfallControlLink'
import { InstanceLedger, type InstanceLedgerSettings } from './JayfallInstanceLedger'
import { LeavingServers } from './JayfallLeavingServers'
import { PeerControl, type PeerControlSettings } from './JayfallPeerControl'
import { ThreadReports } from './JayfallThreadReports'

/** Interval at which a new confirmation is passed on. */
const CONFIRMATION_INTERVAL_MILLISECONDS = 250
const SHARES_INTERVAL_MILLISECONDS = 1000

/** Interval at which data threads learn whether memory is left for bills. */
const BACKLOG_INTERVAL_MILLISECONDS = 100

export type ControlPlaneSettings = Omit<PeerControlSettings & InstanceLedgerSettings, 'incarnation'>

/** The control thread's part of the instance. */
export class ControlPlane {
  private readonly clock = new SystemClock()
  private readonly http: PlatformHttp
  private readonly peers: PeerControl
  private readonly duties: ControlDuties
  private readonly ledger: InstanceLedger
  private readonly handlers: CallHandlers
  private readonly leavingServers = new LeavingServers(this.clock)
  private readonly threadReports = new ThreadReports()
  private links: readonly ControlLinkEnd[] = []
  private timers: readonly NodeJS.Timeout[] = []
  private isStopping = false
  private isMarked = false
  /** Highest revision that the data threads were sent. */
  private sentRevision = 0
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
    this.duties = new ControlDuties({
      ...settings,
      http: this.http,
      tables,
      catalogueStore,
      catalogue: this.catalogue,
      clock: this.clock,
      log,
      isCandidate: () => this.peers.node.isStoreReader,
      onQuality: quality => this.post({ kind: 'cascade-quality', quality })
    })
    this.ledger = new InstanceLedger({ ...settings, incarnation }, this.catalogue, this.peers.directory, this.duties.recoveryRight, log)
    this.handlers = { ...this.ledger.handlers, offer: async offer => { await this.duties.offerRating(offer) }, collect: ({ traceId }) => this.threadReports.collect(traceId) }
    this.catalogue.registerInstallListener(() => this.passInstallation())
  }

  get catalogue (): ReadonlyCatalogue {
    return this.peers.node.catalogue
  }

  /** Connects a data thread. */
  attach (link: ControlLinkEnd): void {
    this.links = [...this.links, link]
    link.receive(message => this.take(link, message))
    this.threadReports.attach(link)
    if (this.catalogue.revision > 0) link.post({ kind: 'catalogue-snapshot', snapshot: this.catalogue.snapshot() })
  }

  /** Resolves when the listener for other instances is open. */
  async start (): Promise<void> {
    this.timers = [
      setInterval(() => this.passConfirmation(), CONFIRMATION_INTERVAL_MILLISECONDS),
      setInterval(() => this.passShares(), SHARES_INTERVAL_MILLISECONDS),
      setInterval(() => this.passBacklog(), BACKLOG_INTERVAL_MILLISECONDS)
    ]
    this.ledger.start()
    await this.peers.start({ ledger: this.ledger.router })
    this.duties.start()
    this.passConfirmation()
    this.passShares()
  }

  /** Gives the data threads other keys; open requests go on with those they began with. */
  replaceKeys (keys: ReplaceableKeys): void {
    this.post({ kind: 'keys', keys })
  }

  /** Tells the data threads, the other instances and the platform that the instance is leaving for good. */
  announceLeaving (): void {
    this.isStopping = true
    this.changeLifecycle()
  }

  async stop (): Promise<void> {
    for (const timer of this.timers) clearInterval(timer)
    await this.duties.stop()
    await this.ledger.stop()
    await this.peers.stop()
    this.http.close()
  }

  private post (message: ControlMessage): void {
    for (const link of this.links) link.post(message)
  }

  private passInstallation (): void {
    const { catalogue, sentRevision } = this
    const changes = sentRevision === 0 ? undefined : catalogue.changesAfter(sentRevision)
    this.post(changes === undefined ? { kind: 'catalogue-snapshot', snapshot: catalogue.snapshot() } : { kind: 'catalogue-changes', changes })
    this.sentRevision = catalogue.revision
    this.log.info('catalogue_installed', { revision: catalogue.revision })
    const isMarked = catalogue.get('instance-mark', this.settings.instanceId)?.leaving === true
    if (isMarked === this.isMarked) return
    this.isMarked = isMarked
    this.changeLifecycle()
  }

  private passConfirmation (): void {
    const { confirmedAt } = this.peers.node.confirmation
    if (confirmedAt === this.sentConfirmation) return
    this.sentConfirmation = confirmedAt
    this.post({ kind: 'confirmation', confirmedAt })
  }

  /** Each data thread admits an equal part of the instance's shares. */
  private passShares (): void {
    const parts = Math.max(this.links.length, 1)
    const shares = this.peers.node.updateShares().map(share => ({
      workspace: share.workspace,
      requestsPerSecond: share.requestsPerSecond / parts,
      tokensPerSecond: share.tokensPerSecond / parts,
      concurrentRequests: share.concurrentRequests / parts
    }))
    this.post({ kind: 'limit-shares', shares })
    const servers = this.leavingServers.update(this.peers.node.leavingServersOfAllZones())
    if (servers !== undefined) this.post({ kind: 'leaving-servers', servers })
  }

  private passBacklog (): void {
    if (this.ledger.isBacklogFull === this.isBacklogFull) return
    this.isBacklogFull = this.ledger.isBacklogFull
    this.log.warn('billing_backlog', { full: this.isBacklogFull })
    this.post({ kind: 'billing-backlog', full: this.isBacklogFull })
  }

  private changeLifecycle (): void {
    const isLeaving = this.isStopping || this.isMarked
    this.log.info('lifecycle_changed', { state: isLeaving ? 'leaving' : 'serving', marked: this.isMarked })
    this.post({ kind: 'lifecycle', state: isLeaving ? 'leaving' : 'serving' })
    this.peers.changeLeaving(isLeaving)
  }

  private take (link: ControlLinkEnd, message: DataMessage): void {
    switch (message.kind) {
      case 'call':
        this.answer(link, message)
        break
      case 'collected':
        this.threadReports.take(message)
        break
      case 'demand':
        for (const { workspace, requests, tokens } of message.demands) this.peers.node.demandMeter.count(workspace, { requests, tokens })
        break
      case 'server-leaving':
        this.leavingServers.report(message.server)
        break
      case 'state':
    }
  }

  private answer (link: ControlLinkEnd, message: Extract<DataMessage, { kind: 'call' }>): void {
    const handler = this.handlers[message.name as ControlCallName] as (argument: unknown) => Promise<unknown>
    handler(message.argument).then(
      result => link.post({ kind: 'reply', id: message.id, result }),
      (error: Error) => link.post({ kind: 'reply', id: message.id, error: { code: error instanceof JayfallError ? error.code : 'internal', message: error.message } })
    )
  }
}
