/**
 * The control thread of an instance: the installed catalogue, the store and the ledger.
 *
 * Data threads receive what it installs, and their calls to the store pass through it.
 */

import { InstalledCatalogue } from '#jayfall/catalogue'
import { BillBatches, CallClaims } from '#jayfall/ledger'
import { CatalogueStore, HttpObjectStore, HttpTableStore, PlatformHttp } from '#jayfall/platform'
import { JayfallError, SystemClock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { type ControlCallName, type ControlCalls } from './JayfallControlCalls'
import { ControlDuties } from './JayfallControlDuties'
import { type ControlLinkEnd, type DataMessage } from './JayfallControlLink'

/** Interval at which the store's head row is read. */
const HEAD_INTERVAL_MILLISECONDS = 1000

type CallHandlers = {
  readonly [Name in ControlCallName]: (argument: ControlCalls[Name]['argument']) => Promise<ControlCalls[Name]['result']>
}

export interface ControlPlaneSettings {
  readonly instanceId: string
  /** IP address that connections are made from. */
  readonly localAddress: string
  readonly platformAddress: string
  readonly platformTimeout: number
  /** Milliseconds between writes of bills. */
  readonly batchInterval: number
}

/** The control thread's part of the instance. */
export class ControlPlane {
  readonly catalogue = new InstalledCatalogue()
  private readonly clock = new SystemClock()
  private readonly http: PlatformHttp
  private readonly catalogueStore: CatalogueStore
  private readonly bills: BillBatches
  private readonly duties: ControlDuties
  private readonly handlers: CallHandlers
  private links: readonly ControlLinkEnd[] = []
  private timers: readonly NodeJS.Timeout[] = []

  constructor (private readonly settings: ControlPlaneSettings, private readonly log: Log) {
    this.http = new PlatformHttp({ address: settings.platformAddress, timeout: settings.platformTimeout, localAddress: settings.localAddress })
    const tables = new HttpTableStore(this.http)
    const claims = new CallClaims(tables)
    this.catalogueStore = new CatalogueStore(tables)
    this.bills = new BillBatches(new HttpObjectStore(this.http), settings.instanceId)
    this.duties = new ControlDuties({
      ...settings,
      http: this.http,
      tables,
      catalogueStore: this.catalogueStore,
      catalogue: this.catalogue,
      clock: this.clock,
      log,
      isCandidate: () => true,
      onQuality: quality => this.links.forEach(link => link.post({ kind: 'cascade-quality', quality }))
    })
    this.handlers = {
      claim: argument => claims.claim(argument),
      complete: async ({ claim, outcome, bill }) => { await claims.complete(claim, outcome, bill) },
      withdraw: async claim => { await claims.withdraw(claim) },
      find: ({ workspace, key }) => claims.find(workspace, key),
      bill: async bill => { this.bills.record(bill) },
      offer: async offer => { await this.duties.offerRating(offer) }
    }
  }

  /** Connects a data thread. */
  attach (link: ControlLinkEnd): void {
    this.links = [...this.links, link]
    link.receive(message => this.take(link, message))
    if (this.catalogue.revision > 0) link.post({ kind: 'catalogue-snapshot', snapshot: this.catalogue.snapshot() })
  }

  start (): void {
    this.duties.start()
    this.timers = [
      this.every(HEAD_INTERVAL_MILLISECONDS, () => this.readCatalogue()),
      this.every(this.settings.batchInterval, () => this.bills.flush())
    ]
  }

  /** Tells the data threads that the instance is leaving. */
  announceLeaving (): void {
    for (const link of this.links) link.post({ kind: 'lifecycle', state: 'leaving' })
  }

  async stop (): Promise<void> {
    for (const timer of this.timers) clearInterval(timer)
    await this.duties.stop()
    await this.bills.flush().catch((error: Error) => this.log.error('bills_not_written', { message: error.message }))
    this.http.close()
  }

  private every (interval: number, work: () => Promise<void>): NodeJS.Timeout {
    const run = () => { work().catch((error: Error) => this.log.warn('control_work_failed', { message: error.message })) }
    run()
    return setInterval(run, interval)
  }

  private async readCatalogue (): Promise<void> {
    const startedAt = this.clock.monotonic()
    const before = this.catalogue.revision
    const head = await this.catalogueStore.readHead()
    if (head > before) await this.install(before)
    if (this.catalogue.revision < head) return
    for (const link of this.links) link.post({ kind: 'confirmation', confirmedAt: startedAt })
  }

  private async install (before: number): Promise<void> {
    if (before === 0) {
      const snapshot = await this.catalogueStore.readSnapshot()
      this.catalogue.installSnapshot(snapshot)
      for (const link of this.links) link.post({ kind: 'catalogue-snapshot', snapshot })
    } else {
      const changes = await this.catalogueStore.readChanges(before)
      this.catalogue.installChanges(changes)
      for (const link of this.links) link.post({ kind: 'catalogue-changes', changes })
    }
    this.log.info('catalogue_installed', { revision: this.catalogue.revision })
  }

  private take (link: ControlLinkEnd, message: DataMessage): void {
    if (message.kind !== 'call') return
    const handler = this.handlers[message.name as ControlCallName] as (argument: unknown) => Promise<unknown>
    handler(message.argument).then(
      result => link.post({ kind: 'reply', id: message.id, result }),
      (error: Error) => link.post({ kind: 'reply', id: message.id, error: { code: error instanceof JayfallError ? error.code : 'internal', message: error.message } })
    )
  }
}
