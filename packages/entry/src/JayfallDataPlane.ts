/**
 * The data path of one thread: the callers' server, the router and the clients of backend servers.
 *
 * It learns the catalogue, limit shares and the instance's lifecycle from the control thread.
 */

import { type Server as HttpServer } from 'node:http'

import { type Server } from '@hapi/hapi'
import { InstalledCatalogue, type ServerEntry } from '#jayfall/catalogue'
import { LeastOutstandingRouter, TICK_INTERVAL_MILLISECONDS, type RoutedServer } from '#jayfall/routing'
import { createRandomSource, SystemClock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { BackendClient } from './JayfallBackendClient'
import { createCallerApi, type CallerApiLimits, type Readiness } from './JayfallCallerApi'
import { CascadeBook } from './JayfallCascadeBook'
import { ControlCaller } from './JayfallControlCalls'
import { type ControlMessage, type DataLinkEnd } from './JayfallControlLink'
import { type DataContext } from './JayfallDataContext'
import { RatingSampler } from './JayfallRatingSampler'
import { RequestBook } from './JayfallRequestBook'
import { TokenSeal } from './JayfallTokenSeal'

/** Settings of a data thread; structured-clonable. */
export interface DataPlaneSettings {
  readonly instanceId: string
  /** IP address that connections to backend servers are made from. */
  readonly localAddress: string
  readonly limits: CallerApiLimits
  /** Milliseconds that a caller's request may take. */
  readonly requestDeadline: number
  readonly sealPasswords: readonly string[]
}

/** One data thread's part of the instance. */
export class DataPlane {
  private readonly clock = new SystemClock()
  private readonly catalogue = new InstalledCatalogue()
  private readonly book = new RequestBook(new LeastOutstandingRouter())
  private readonly control: ControlCaller
  private readonly context: DataContext
  private readonly server: Server
  private readonly listener: HttpServer
  private readonly ticker: NodeJS.Timeout
  private confirmedAt = -Infinity
  private lifecycle: 'serving' | 'leaving' = 'serving'
  private leavingServers: ReadonlySet<string> = new Set()

  constructor (settings: DataPlaneSettings, private readonly link: DataLinkEnd, log: Log) {
    this.control = new ControlCaller(link)
    const backend = new BackendClient(this.clock, {
      onLoad: (address, report) => this.serverAt(address).forEach(server => this.book.router.reportLoad(server.id, report)),
      onLeaving: address => this.serverAt(address).forEach(server => this.markLeaving(server.id))
    }, settings.localAddress)
    const random = createRandomSource()
    const context = {
      catalogue: this.catalogue,
      book: this.book,
      backend,
      control: this.control,
      seal: new TokenSeal(settings.sealPasswords),
      clock: this.clock,
      random,
      cascades: new CascadeBook(this.catalogue, this.clock, random),
      log,
      instanceId: settings.instanceId,
      requestDeadline: settings.requestDeadline,
      confirmedAt: () => this.confirmedAt
    }
    this.context = { ...context, ratings: new RatingSampler(context) }
    const api = createCallerApi(this.context, settings.limits, () => this.readiness())
    this.server = api.server
    this.listener = api.listener
    this.catalogue.registerInstallListener(() => this.updateServers())
    this.ticker = setInterval(() => this.book.tick(), TICK_INTERVAL_MILLISECONDS)
    link.receive(message => this.take(message))
  }

  /** Requests that have not ended. */
  get openRequests (): number {
    return this.book.size
  }

  /** Listens on `target`: an address, or the file descriptor of a listening socket. */
  async listen (target: { readonly host: string, readonly port: number } | { readonly fd: number }): Promise<void> {
    await this.server.start()
    await new Promise<void>((resolve, reject) => {
      this.listener.once('error', reject)
      this.listener.listen(target, resolve)
    })
  }

  /** Takes no new connections; open requests go on. */
  closeListener (): void {
    this.listener.close()
    this.listener.closeIdleConnections()
  }

  async stop (): Promise<void> {
    clearInterval(this.ticker)
    this.context.backend.close()
    this.listener.closeAllConnections()
    await this.server.stop({ timeout: 0 })
  }

  private take (message: ControlMessage): void {
    switch (message.kind) {
      case 'catalogue-changes':
        this.catalogue.installChanges(message.changes)
        break
      case 'catalogue-snapshot':
        this.catalogue.installSnapshot(message.snapshot)
        break
      case 'confirmation':
        this.confirmedAt = Math.max(this.confirmedAt, message.confirmedAt)
        break
      case 'limit-shares':
        this.book.router.updateShares(message.shares)
        break
      case 'cascade-quality':
        this.context.cascades.updateRatings(message.quality)
        break
      case 'leaving-servers':
        this.leavingServers = new Set(message.servers)
        this.updateServers()
        break
      case 'lifecycle':
        this.lifecycle = message.state
        break
      case 'reply':
        this.control.settle(message)
    }
  }

  private readiness (): Readiness {
    return this.lifecycle === 'leaving' ? 'leaving' : this.catalogue.revision === 0 ? 'starting' : 'serving'
  }

  private serverAt (address: string): readonly ServerEntry[] {
    return this.catalogue.all('server').filter(server => server.address === address)
  }

  private markLeaving (server: string): void {
    if (this.leavingServers.has(server)) return
    this.leavingServers = new Set([...this.leavingServers, server])
    this.updateServers()
    this.link.post({ kind: 'server-leaving', server })
  }

  private updateServers (): void {
    this.book.router.updateServers(this.catalogue.all('server').map(server => this.routedServer(server)))
  }

  private routedServer ({ id, zone, service, leaving }: ServerEntry): RoutedServer {
    const versions = this.catalogue.get('service', service)?.versions ?? []
    return { id, zone, service, versions, leaving: leaving || this.leavingServers.has(id) }
  }
}
