/**
 * The control thread of an instance: the installed catalogue, the store and the ledger.
 *
 * Data threads receive what it installs, and their calls to the store pass through it.
 */

import { InstalledCatalogue } from '#jayfall/catalogue'
import { CatalogueStore, HttpTableStore, PlatformHttp } from '#jayfall/platform'
import { JayfallError, SystemClock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { type ControlCallName } from './JayfallControlCalls'
import { type ControlLinkEnd, type DataMessage } from './JayfallControlLink'
import { InstanceLedger, type InstanceLedgerSettings } from './JayfallInstanceLedger'

/** Interval at which the store's head row is read. */
const HEAD_INTERVAL_MILLISECONDS = 1000
/** Interval at which data threads learn whether memory is left for bills. */
const BACKLOG_INTERVAL_MILLISECONDS = 100

export type ControlPlaneSettings = InstanceLedgerSettings

/** The control thread's part of the instance. */
export class ControlPlane {
  readonly catalogue = new InstalledCatalogue()
  private readonly clock = new SystemClock()
  private readonly http: PlatformHttp
  private readonly catalogueStore: CatalogueStore
  private readonly ledger: InstanceLedger
  private links: readonly ControlLinkEnd[] = []
  private timers: readonly NodeJS.Timeout[] = []
  private backlogFull = false

  constructor (settings: ControlPlaneSettings, private readonly log: Log) {
    this.http = new PlatformHttp({ address: settings.platformAddress, timeout: settings.platformTimeout, localAddress: settings.localAddress })
    this.catalogueStore = new CatalogueStore(new HttpTableStore(this.http))
    this.ledger = new InstanceLedger(settings, this.catalogue, log)
  }

  /** Connects a data thread. */
  attach (link: ControlLinkEnd): void {
    this.links = [...this.links, link]
    link.receive(message => this.take(link, message))
    if (this.catalogue.revision > 0) link.post({ kind: 'catalogue-snapshot', snapshot: this.catalogue.snapshot() })
  }

  async start (): Promise<void> {
    await this.ledger.start()
    this.timers = [
      this.every(HEAD_INTERVAL_MILLISECONDS, () => this.readCatalogue()),
      this.every(BACKLOG_INTERVAL_MILLISECONDS, async () => this.reportBacklog())
    ]
  }

  /** Tells the data threads that the instance is leaving. */
  announceLeaving (): void {
    this.ledger.announceLeaving()
    for (const link of this.links) link.post({ kind: 'lifecycle', state: 'leaving' })
  }

  async stop (): Promise<void> {
    for (const timer of this.timers) clearInterval(timer)
    await this.ledger.stop()
    this.http.close()
  }

  private every (interval: number, work: () => Promise<void>): NodeJS.Timeout {
    const run = () => { work().catch((error: Error) => this.log.warn('control_work_failed', { message: error.message })) }
    run()
    return setInterval(run, interval)
  }

  private reportBacklog (): void {
    if (this.ledger.isBacklogFull === this.backlogFull) return
    this.backlogFull = this.ledger.isBacklogFull
    this.log.warn('billing_backlog', { full: this.backlogFull })
    for (const link of this.links) link.post({ kind: 'billing-backlog', full: this.backlogFull })
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
    const handler = this.ledger.handlers[message.name as ControlCallName] as (argument: unknown) => Promise<unknown>
    handler(message.argument).then(
      result => link.post({ kind: 'reply', id: message.id, result }),
      (error: Error) => link.post({ kind: 'reply', id: message.id, error: { code: error instanceof JayfallError ? error.code : 'internal', message: error.message } })
    )
  }
}
