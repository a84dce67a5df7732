/**
 * The data path of one thread: the callers' server, the router and the clients of backend servers.
 *
 * It learns the catalogue, limit shares and the instance's lifecycle from the control thread.
 */

import { InstalledCatalogue, type ServerEntry } from '#jayfall/catalogue'
import { ModelAwareRouter, TICK_INTERVAL_MILLISECONDS, type RoutedServer } from '#jayfall/routing'
import { createRandomSource, SystemClock } from '#jayfall/shared'
import { Metrics, Traces, type Log, type TraceSettings } from '#jayfall/telemetry'

import { BackendClient } from './JayfallBackendClient'
import { CallerApi, type CallerApiLimits, type ListenTarget, type Readiness } from './JayfallCallerApi'
import { CascadeBook } from './JayfallCascadeBook'
import { ControlCaller } from './JayfallControlCalls'
import { type ControlMessage, type DataLinkEnd } from './JayfallControlLink'
import { type DataContext } from './JayfallDataContext'
import { type DataParts } from './JayfallDataParts'
import { RatingSampler } from './JayfallRatingSampler'
import { RequestBook } from './JayfallRequestBook'
import { type ThreadReport } from './JayfallThreadReports'
import { TokenSeal } from './JayfallTokenSeal'

/** Interval at which the control thread is told what the workspaces asked for. */
const DEMAND_INTERVAL_MILLISECONDS = 1000

/** Settings of a data thread; structured-clonable. */
export interface DataPlaneSettings {
  readonly instanceId: string
  /** IP address that connections to backend servers are made from. */
  readonly localAddress: string
  readonly limits: CallerApiLimits
  /** Milliseconds that a caller's request may take. */
  readonly requestDeadline: number
  /** Milliseconds after which a caller that reads nothing is disconnected. */
  readonly idleStreamTimeout: number
  readonly sealPasswords: readonly string[]
  readonly operatorHashes: readonly string[]
  readonly traces: TraceSettings
}

/** One data thread's part of the instance. */
export class DataPlane {
  private readonly clock = new SystemClock()
  private readonly catalogue = new InstalledCatalogue()
  private readonly metrics = new Metrics()
  private readonly book = new RequestBook(new ModelAwareRouter({ clock: this.clock, random: createRandomSource() }))
  private readonly control: ControlCaller
  private readonly context: DataContext
  private readonly api: CallerApi
  private readonly ticker: NodeJS.Timeout
  private readonly demandTimer: NodeJS.Timeout
  private readonly traces: Traces
  private confirmedAt = -Infinity
  private backlogFull = false
  private operatorHashes: readonly string[]
  private lifecycle: 'serving' | 'leaving' = 'serving'
  private leavingServers: ReadonlySet<string> = new Set()

  constructor (settings: DataPlaneSettings, private readonly link: DataLinkEnd, log: Log, private readonly parts: DataParts) {
    this.control = new ControlCaller(link)
    this.operatorHashes = settings.operatorHashes
    this.traces = new Traces(settings.traces)
    const backend = new BackendClient(this.clock, {
      onLoad: (address, report) => this.serverAt(address).forEach(server => this.book.router.reportLoad(server.id, report)),
      onLeaving: address => this.serverAt(address).forEach(server => this.markLeaving(server.id))
    }, parts.leavingPolicy, settings.localAddress)
    const random = createRandomSource()
    const context = {
      catalogue: this.catalogue,
      book: this.book,
      backend,
      control: this.control,
      parts,
      seal: new TokenSeal(settings.sealPasswords),
      clock: this.clock,
      random,
      cascades: new CascadeBook(this.catalogue, this.clock, random),
      log,
      metrics: this.metrics,
      traces: this.traces,
      operatorHashes: () => this.operatorHashes,
      instanceId: settings.instanceId,
      requestDeadline: settings.requestDeadline,
      idleStreamTimeout: settings.idleStreamTimeout,
      confirmedAt: () => this.confirmedAt,
      isBacklogFull: () => this.backlogFull
    }
    this.context = { ...context, ratings: new RatingSampler(context) }
    this.api = new CallerApi(this.context, settings.limits, () => this.readiness())
    this.catalogue.registerInstallListener(() => this.updateServers())
    this.ticker = setInterval(() => this.book.tick(), TICK_INTERVAL_MILLISECONDS)
    this.demandTimer = setInterval(() => this.reportDemands(), DEMAND_INTERVAL_MILLISECONDS)
    link.receive(message => this.take(message))
  }

  /** Callers' requests whose answers have not ended, those before and after routing included. */
  get openRequests (): number {
    return this.api.openExchanges
  }

  /** File descriptor of the listening socket. */
  get descriptor (): number {
    return this.api.descriptor
  }

  async listen (target: ListenTarget): Promise<void> {
    await this.api.listen(target)
  }

  /**
   * Takes no new connections and closes the idle ones, so that no further request can arrive
   * once `openRequests` is 0. Called again while requests end, as their connections become idle.
   */
  drain (): void {
    this.api.drain()
  }

  /** Ends open requests with an error that says how to go on. */
  interruptAll (): void {
    this.book.interruptAll()
  }

  async stop (): Promise<void> {
    clearInterval(this.ticker)
    clearInterval(this.demandTimer)
    await this.api.stop()
    this.context.backend.close()
    await this.traces.close()
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
        if (this.parts.leavingPolicy.hasExternalSources) this.leavingServers = new Set(message.servers)
        this.updateServers()
        break
      case 'billing-backlog':
        this.backlogFull = message.full
        break
      case 'keys':
        this.operatorHashes = message.keys.operatorHashes
        this.context.seal.replacePasswords(message.keys.sealPasswords)
        break
      case 'lifecycle':
        this.lifecycle = message.state
        break
      case 'collect':
        this.report(message.traceId).then(report => this.link.post({ kind: 'collected', id: message.id, report }), () => {})
        break
      case 'reply':
        this.control.settle(message)
    }
  }

  private reportDemands (): void {
    const demands = this.book.takeDemands()
    if (demands.length > 0) this.link.post({ kind: 'demand', demands })
  }

  private async report (traceId: string | undefined): Promise<ThreadReport> {
    return {
      metrics: this.metrics.snapshot(),
      openRequests: this.openRequests,
      connections: await this.api.countConnections(),
      revision: this.catalogue.revision,
      confirmationAge: this.clock.monotonic() - this.confirmedAt,
      readiness: this.readiness(),
      spans: traceId === undefined ? [] : this.traces.find(traceId)
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
    return { id, zone, service, versions, leaving: (leaving && this.parts.leavingPolicy.hasExternalSources) || this.leavingServers.has(id) }
  }
}
