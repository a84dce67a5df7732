/**
 * The data plane of one thread: the HTTP server for callers, the router and the client of the backend servers.
 *
 * It receives the catalogue, the shares of limits and the lifecycle state of the instance from the control thread.
 */

import { InstalledCatalogue, type ServerEntry } from '#jayfall/catalogue'
import { ModelAwareRouter, TICK_INTERVAL_MILLISECONDS, type RoutedServer } from '#jayfall/routing'
import { createRandomSource, SystemClock } from '#jayfall/shared'
import { Metrics, Traces, type Log, type TraceSettings } from '#jayfall/telemetry'

import { BackendClient } from './JayfallBackendClient'
import { CallerApi, type CallerApiLimits, type ListenTarget, type Readiness } from './JayfallCallerApi'
import { CascadePlanner } from './JayfallCascadePlanner'
import { ControlClient } from './JayfallControlCalls'
import { type ControlMessage, type DataLinkEnd } from './JayfallControlLink'
import { type DataContext } from './JayfallDataContext'
import { type DataParts } from './JayfallDataParts'
import { RatingSampler } from './JayfallRatingSampler'
import { RequestDispatcher } from './JayfallRequestDispatcher'
import { type ThreadReport } from './JayfallThreadReportCollector'
import { TokenSealer } from './JayfallTokenSealer'

/** Interval at which the demand of the workspaces is reported to the control thread. */
const DEMAND_INTERVAL_MILLISECONDS = 1000

/** Settings of a data thread; they are copied to the thread by the structured clone algorithm. */
export interface DataPlaneSettings {
  readonly instanceId: string
  /** IP address that connections to backend servers are made from. */
  readonly localAddress: string
  readonly limits: CallerApiLimits
  /** Milliseconds within which a plain call must be answered and a model request must receive its first event. */
  readonly requestDeadline: number
  /** Milliseconds after which a caller that does not read its response is disconnected. */
  readonly idleStreamTimeout: number
  /** Passwords for session and stream tokens as `identifier:password`, newest first. */
  readonly sealPasswords: readonly string[]
  /** SHA-256 hashes of the operators' keys, in hexadecimal. */
  readonly operatorHashes: readonly string[]
  readonly traces: TraceSettings
}

/** Runs the data plane of one thread. */
export class DataPlane {
  private readonly clock = new SystemClock()
  private readonly catalogue = new InstalledCatalogue()
  private readonly metrics = new Metrics()
  private readonly requests = new RequestDispatcher(new ModelAwareRouter({ clock: this.clock, random: createRandomSource() }))
  private readonly control: ControlClient
  private readonly context: DataContext
  private readonly api: CallerApi
  private readonly tickTimer: NodeJS.Timeout
  private readonly demandTimer: NodeJS.Timeout
  private readonly traces: Traces
  /** Monotonic milliseconds at which the catalogue was last confirmed as current. */
  private confirmedAt = -Infinity
  private hasFullBacklog = false
  private operatorHashes: readonly string[]
  private lifecycle: 'serving' | 'leaving' = 'serving'
  private leavingServers: ReadonlySet<string> = new Set()

  constructor (settings: DataPlaneSettings, private readonly link: DataLinkEnd, log: Log, private readonly components: DataParts) {
    this.control = new ControlClient(link)
    this.operatorHashes = settings.operatorHashes
    this.traces = new Traces(settings.traces)
    const backend = new BackendClient(this.clock, {
      onLoad: (address, report) => this.findServersAt(address).forEach(server => this.requests.router.reportLoad(server.id, report)),
      onLeaving: address => this.findServersAt(address).forEach(server => this.markLeaving(server.id))
    }, components.leavingPolicy, settings.localAddress)
    const random = createRandomSource()
    const context = {
      catalogue: this.catalogue,
      requests: this.requests,
      backend,
      control: this.control,
      components,
      tokenSealer: new TokenSealer(settings.sealPasswords),
      clock: this.clock,
      random,
      cascades: new CascadePlanner(this.catalogue, this.clock, random),
      log,
      metrics: this.metrics,
      traces: this.traces,
      operatorHashes: () => this.operatorHashes,
      instanceId: settings.instanceId,
      requestDeadline: settings.requestDeadline,
      idleStreamTimeout: settings.idleStreamTimeout,
      confirmedAt: () => this.confirmedAt,
      isBacklogFull: () => this.hasFullBacklog
    }
    this.context = { ...context, ratings: new RatingSampler(context) }
    this.api = new CallerApi(this.context, settings.limits, () => this.readiness())
    this.catalogue.registerInstallListener(() => this.updateServers())
    this.tickTimer = setInterval(() => this.requests.tick(), TICK_INTERVAL_MILLISECONDS)
    this.demandTimer = setInterval(() => this.reportDemands(), DEMAND_INTERVAL_MILLISECONDS)
    link.onMessage(message => this.handleMessage(message))
  }

  /** Number of requests whose responses are not complete, including those that are not routed. */
  get openRequests (): number {
    return this.api.openRequests
  }

  /** File descriptor of the listening socket. */
  get descriptor (): number {
    return this.api.descriptor
  }

  async listen (target: ListenTarget): Promise<void> {
    await this.api.listen(target)
  }

  /**
   * Stops accepting connections and closes the idle ones, so that no further request can arrive once `openRequests`
   * is 0. It is called repeatedly, because connections become idle when their requests end.
   */
  drain (): void {
    this.api.drain()
  }

  /** Ends open requests with an error that tells the caller how to continue. */
  interruptAll (): void {
    this.requests.interruptAll()
  }

  async stop (): Promise<void> {
    clearInterval(this.tickTimer)
    clearInterval(this.demandTimer)
    await this.api.stop()
    this.context.backend.close()
    await this.traces.close()
  }

  private handleMessage (message: ControlMessage): void {
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
        this.requests.router.updateShares(message.shares)
        break
      case 'cascade-quality':
        this.context.cascades.updateRatings(message.quality)
        break
      case 'leaving-servers':
        if (this.components.leavingPolicy.hasExternalSources) this.leavingServers = new Set(message.servers)
        this.updateServers()
        break
      case 'billing-backlog':
        this.hasFullBacklog = message.full
        break
      case 'keys':
        this.operatorHashes = message.keys.operatorHashes
        this.context.tokenSealer.replacePasswords(message.keys.sealPasswords)
        break
      case 'lifecycle':
        this.lifecycle = message.state
        break
      case 'collect':
        this.createReport(message.traceId).then(report => this.link.post({ kind: 'collected', id: message.id, report }), () => {})
        break
      case 'reply':
        this.control.handleReply(message)
    }
  }

  private reportDemands (): void {
    const demands = this.requests.takeDemands()
    if (demands.length > 0) this.link.post({ kind: 'demand', demands })
  }

  private async createReport (traceId: string | undefined): Promise<ThreadReport> {
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

  private findServersAt (address: string): readonly ServerEntry[] {
    return this.catalogue.all('server').filter(server => server.address === address)
  }

  private markLeaving (server: string): void {
    if (this.leavingServers.has(server)) return
    this.leavingServers = new Set([...this.leavingServers, server])
    this.updateServers()
    this.link.post({ kind: 'server-leaving', server })
  }

  private updateServers (): void {
    this.requests.router.updateServers(this.catalogue.all('server').map(server => this.toRoutedServer(server)))
  }

  private toRoutedServer ({ id, zone, service, leaving }: ServerEntry): RoutedServer {
    const versions = this.catalogue.get('service', service)?.versions ?? []
    return { id, zone, service, versions, leaving: (leaving && this.components.leavingPolicy.hasExternalSources) || this.leavingServers.has(id) }
  }
}
