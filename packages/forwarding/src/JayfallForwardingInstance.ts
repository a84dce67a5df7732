/**
 * An instance that forwards requests. It follows the store, serves callers and takes part in rollouts.
 *
 * All of its state comes from the store or from answers of servers, and ends with the process.
 */

import { type IncomingMessage, type ServerResponse } from 'node:http'

import { ColdServers, LongWorkLanes, NoLoadReports, WorkOrders, WorkspaceShares, ZoneEvacuations, ZoneSpill, type LoadReportChannel } from '#jayfall/capacity'
import { followTable, type FeedReading } from '#jayfall/feeds'
import { NoRumors, type RumorChannel } from '#jayfall/peers'
import { type Clock, delay, messageOf, type OpenListener, type RandomSource, type ReadonlyTable } from '#jayfall/shared'
import { type TablePosition, type WatchableTableStore } from '#jayfall/store'
import { type Log, Metrics } from '#jayfall/telemetry'

import { EstimatedTimeSelector } from './JayfallBackendSelector'
import { BackendDirectory, type BackendRow } from './JayfallBackendDirectory'
import { type DeploymentSource } from './JayfallDeploymentSource'
import { DEFAULT_HELD_BYTES, EVIDENCE_COALESCE_MILLISECONDS, HELD_BYTES_SHARE_OF_MEMORY, RAMP_EVIDENCE_COALESCE_MILLISECONDS, ROLLOUT_INTERVAL_MILLISECONDS, STATE_INTERVAL_MILLISECONDS, MINIMUM_STOP_MILLISECONDS, STOP_RESERVE_MILLISECONDS } from './JayfallForwardingConstants'
import { type ForwardingProtocol } from './JayfallForwardingProtocol'
import { ForwardingServer } from './JayfallForwardingServer'
import { ForwardingState } from './JayfallForwardingState'
import { ConnectionCheck } from './JayfallServerConnectionCheck'
import { ReadPacer } from './JayfallReadPacer'
import { LoadSharing } from './JayfallLoadSharing'
import { OperatorRows } from './JayfallOperatorRows'
import { ReachMonitor } from './JayfallReachMonitor'
import { RelayTargets, type RelayTarget } from './JayfallRelayTargets'
import { ServiceReach } from './JayfallServiceReach'
import { HeldMemory } from './JayfallHeldMemory'
import { HealthProbe } from './JayfallHealthProbe'
import { PromptCacheTracker } from './JayfallPromptCacheTracker'
import { NoPrefillHints, type PrefillHints } from './JayfallPrefillHints'
import { PrefillTimes } from './JayfallPrefillTimes'
import { PromptSuspicions } from './JayfallPromptSuspicions'
import { RetryBudget } from './JayfallRetryBudget'
import { RolloutCoordinator } from './JayfallRolloutCoordinator'
import { RolloutEvidence } from './JayfallRolloutEvidence'
import { EVIDENCE_TABLE, ROLLOUTS_TABLE } from './JayfallRolloutRows'
import { ServerLimits } from './JayfallServerLimits'
import { VersionPolicy } from './JayfallVersionPolicy'

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

export interface ForwardingSettings {
  readonly instance: string
  readonly zone: string
  readonly callers: ListenAddress
  /** Allowed retries of a service per request. */
  readonly retryRatio: number
  /** Maximum fraction of a service's requests that a bad version may receive. */
  readonly exposureShare: number
  /** Maximum time between two requests of one session, in milliseconds. */
  readonly sessionGap: number
  /** Time after which the store removes the entry of a silent server, in milliseconds. */
  readonly serverEntryLifetime: number
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly terminationGracePeriod: number
  /** Memory that the process may use, in bytes; undefined when it is unknown. */
  readonly memoryLimit?: number
}

export interface ForwardingDependencies {
  readonly store: WatchableTableStore
  readonly source: DeploymentSource
  readonly protocol: ForwardingProtocol
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  readonly metrics?: Metrics
  /** Identifiers of all instances of the deployment with this one; undefined as long as they are unknown. This one alone by default. */
  readonly instances?: () => readonly string[] | undefined
  /** No hints are exchanged by default. */
  readonly hints?: PrefillHints
  /** No load reports are exchanged by default. */
  readonly loadReports?: LoadReportChannel
  /** No news is exchanged by default. */
  readonly rumors?: RumorChannel
  /** Listens at the callers' address already; the instance opens it by default. */
  readonly openListener?: OpenListener
  /** IP address from which other instances are called; chosen by the operating system by default. */
  readonly relayHost?: string
}

export class ForwardingInstance {
  readonly metrics: Metrics
  private readonly directory: BackendDirectory
  private readonly state: ForwardingState
  private readonly versionPolicy: VersionPolicy
  private readonly retryBudget: RetryBudget
  private readonly rolloutCoordinator: RolloutCoordinator
  private readonly server: ForwardingServer
  private readonly promptSuspicions: PromptSuspicions
  private readonly reachMonitor: ReachMonitor
  private readonly relays: RelayTargets
  /** IP addresses of the other instances. */
  private peerHosts: ReadonlySet<string> = new Set()
  private readonly coldServers: ColdServers
  private readonly evacuations: ZoneEvacuations
  private readonly operatorRows: OperatorRows
  private readonly loadSharing: LoadSharing
  /** Positions up to which the tables of rollouts were read. */
  private readonly rolloutPositions = new Map<string, TablePosition>()
  private readonly timers: NodeJS.Timeout[] = []
  /** The store's clock minus the monotonic clock of this instance, in milliseconds. */
  private storeTimeOffset = -Infinity
  /** The era of the store whose clock was read. */
  private storeEra = 0
  private isStopping = false
  /** The stop that is in progress. */
  private stopped: Promise<void> | undefined
  private isFollowingRollouts = false
  private settings: ForwardingSettings

  constructor (settings: ForwardingSettings, private readonly dependencies: ForwardingDependencies) {
    const { clock, log, protocol } = dependencies
    const storeTime = (): number => clock.monotonic() + this.storeTimeOffset
    this.settings = settings
    this.metrics = dependencies.metrics ?? new Metrics()
    const instances = dependencies.instances ?? (() => [settings.instance])
    this.directory = new BackendDirectory(settings.zone)
    this.coldServers = new ColdServers({ clock, log, metrics: this.metrics, isRegistered: server => this.directory.get(server) !== undefined, storeTime, instance: settings.instance, instances })
    this.evacuations = new ZoneEvacuations(log, zone => this.presumeCold(zone))
    this.operatorRows = new OperatorRows({ source: dependencies.source, evacuations: this.evacuations, directory: this.directory, log })
    const workOrders = new WorkOrders()
    const zoneSpill = new ZoneSpill(settings.zone)
    const lanes = new LongWorkLanes(settings.zone)
    this.loadSharing = new LoadSharing({ channel: dependencies.loadReports ?? new NoLoadReports(), directory: this.directory, workOrders, zoneSpill, lanes, isEvacuated: zone => this.evacuations.isEvacuated(zone), clock, log, metrics: this.metrics })
    this.state = new ForwardingState(this.directory, { coldServers: this.coldServers, workOrders }, clock, log, settings.serverEntryLifetime)
    this.versionPolicy = new VersionPolicy(settings, storeTime)
    this.retryBudget = new RetryBudget(settings.retryRatio)
    const promptCache = new PromptCacheTracker()
    const prefillTimes = new PrefillTimes()
    const hints = dependencies.hints ?? new NoPrefillHints()
    const rumors = dependencies.rumors ?? new NoRumors()
    const limits = new ServerLimits({ ...dependencies, rumors, storeTime, instance: settings.instance, instances })
    const promptSuspicions = this.promptSuspicions = new PromptSuspicions({ clock, log, metrics: this.metrics, rumors })
    const evidence = new RolloutEvidence(this.versionPolicy, clock)
    const [reach, connectionCheck] = [new ServiceReach(), new ConnectionCheck()]
    this.reachMonitor = new ReachMonitor({ ...dependencies, isEvacuated: zone => this.evacuations.isEvacuated(zone), reach, directory: this.directory, check: connectionCheck, metrics: this.metrics })
    this.relays = new RelayTargets(settings.instance, settings.zone)
    const memory = new HeldMemory(settings.memoryLimit === undefined ? DEFAULT_HELD_BYTES : settings.memoryLimit * HELD_BYTES_SHARE_OF_MEMORY)
    const pacer = new ReadPacer(clock, peer => {
      log.warn('peer_held_up', { peer })
      this.metrics.count('jayfall_forwarding_peers_held_up_total', {})
    })
    this.rolloutCoordinator = new RolloutCoordinator({
      ...dependencies,
      instance: settings.instance,
      instanceCount: () => instances()?.length ?? 1,
      loadProbe: new HealthProbe(protocol, this.state, log),
      directory: this.directory,
      versionPolicy: this.versionPolicy,
      evidence,
      storeTime
    })
    this.server = new ForwardingServer({
      clock, log, protocol, evidence, promptCache, prefillTimes, hints, limits, coldServers: this.coldServers, workOrders, workspaceShares: new WorkspaceShares(), loadSharing: this.loadSharing, promptSuspicions, connectionCheck, reach, reachMonitor: this.reachMonitor, relays: this.relays, memory, pacer, instance: settings.instance, relayHost: dependencies.relayHost, metrics: this.metrics, directory: this.directory, selector: new EstimatedTimeSelector(this.directory, promptCache, prefillTimes, settings.zone, { limits, coldServers: this.coldServers, evacuations: this.evacuations, workOrders, zoneSpill, lanes }), retryBudget: this.retryBudget, versionPolicy: this.versionPolicy
    }, this.state)
    hints.subscribe(({ server, reading, isInLane }) => {
      this.directory.recordPeerPrefill(server, reading, clock.monotonic())
      if (isInLane === true) this.loadSharing.recordLongPrompt(server, reading)
    })
  }

  /** Whether new callers may be sent to this instance. */
  get isReady (): boolean {
    return this.state.isReady && !this.isStopping
  }

  /** The state of the backend servers as this instance observes it. */
  get backends (): ReadonlyTable<BackendRow> {
    return this.directory.rows
  }

  get port (): number {
    return this.server.port
  }

  /** Sets the other instances, which take requests that this one cannot bring to servers. */
  setPeers (peers: readonly RelayTarget[]): void {
    this.relays.setTargets(peers)
    this.peerHosts = new Set(peers.map(({ address }) => address.split(':')[0]))
  }

  /** Takes a request of another instance. */
  handleRelay (request: IncomingMessage, response: ServerResponse): void {
    const { log } = this.dependencies
    const isInstance = this.peerHosts.has(request.socket.remoteAddress ?? '')
    this.server.handleRelay(request, response, isInstance).catch(error => {
      log.error('relay_crashed', { message: error instanceof Error ? error.stack : String(error) })
      response.destroy()
    })
  }

  /** Listens for callers and begins to follow the store. */
  async start (): Promise<void> {
    const { callers, instance, zone } = this.settings
    await this.server.listen(callers.host, callers.port, this.dependencies.openListener)
    this.dependencies.log.info('started', { instance, zone, address: `${callers.host}:${callers.port}` })
    const { source } = this.dependencies
    this.followStoreTable(source.operatorTable, reading => this.applyOperatorRows(reading))
    this.followStoreTable(source.serverTable, reading => this.applyServerRows(reading))
    this.timers.push(setInterval(() => this.updateState(), STATE_INTERVAL_MILLISECONDS), setInterval(() => this.advanceRollouts(), ROLLOUT_INTERVAL_MILLISECONDS))
  }

  replaceSettings (settings: ForwardingSettings): void {
    this.settings = settings
    this.versionPolicy.setSettings(settings)
    this.retryBudget.setRatio(settings.retryRatio)
    this.dependencies.log.info('settings_reloaded', { retry_ratio: settings.retryRatio, exposure_share: settings.exposureShare, session_gap_ms: settings.sessionGap })
  }

  /** Accepts no new callers, waits for open requests within the termination grace period, and ends. */
  stop (): Promise<void> {
    this.stopped ??= this.finishRequests()
    return this.stopped
  }

  private async finishRequests (): Promise<void> {
    const { clock, log } = this.dependencies
    const startedAt = clock.monotonic()
    this.isStopping = true
    this.server.beginClosing()
    log.info('stopping', { open: this.server.openRequestCount })
    const elapsed = (): number => clock.monotonic() - startedAt
    // The balancer continues to send new connections until it notices the stop.
    while (elapsed() < MINIMUM_STOP_MILLISECONDS) await delay(STATE_INTERVAL_MILLISECONDS)
    // A request that arrives later on a persistent connection could not end before the process does.
    this.server.close()
    while (this.server.openRequestCount > 0 && elapsed() < this.settings.terminationGracePeriod - STOP_RESERVE_MILLISECONDS) {
      await delay(STATE_INTERVAL_MILLISECONDS)
      this.server.closeIdleConnections()
    }
    for (const timer of this.timers) clearInterval(timer)
    log.info('stopped', { open: this.server.openRequestCount, after_ms: Math.round(elapsed()) })
  }

  /** Ends immediately and leaves open requests unanswered. */
  terminate (): void {
    this.isStopping = true
    for (const timer of this.timers) clearInterval(timer)
    this.server.close()
    this.server.destroyConnections()
  }

  private updateState (): void {
    this.state.updateServers()
    this.promptSuspicions.update()
    this.reachMonitor.probe()
    this.loadSharing.update()
  }

  private advanceRollouts (): void {
    if (this.storeTimeOffset === -Infinity) return
    this.followRolloutTables()
    this.rolloutCoordinator.run()
  }

  /** Follows the tables in which instances share the state of rollouts, as long as a rollout is in progress. */
  private followRolloutTables (): void {
    if (!this.rolloutCoordinator.isActive || this.isFollowingRollouts) return
    this.isFollowingRollouts = true
    const isStopped = (): boolean => this.isStopping || !this.rolloutCoordinator.isActive
    const feeds = [
      this.followStoreTable(ROLLOUTS_TABLE, reading => this.applyRolloutRows(reading), isStopped, undefined, this.rolloutStart(ROLLOUTS_TABLE)),
      this.followStoreTable(EVIDENCE_TABLE, reading => this.applyEvidenceRows(reading), isStopped, () => this.rolloutCoordinator.isMovingSessions ? RAMP_EVIDENCE_COALESCE_MILLISECONDS : EVIDENCE_COALESCE_MILLISECONDS, this.rolloutStart(EVIDENCE_TABLE))
    ]
    Promise.all(feeds).then(() => { this.isFollowingRollouts = false })
  }

  /** The position at which to begin with a table of rollouts. After the store came back from a copy it is that of the last reading, so that other instances can tell what differs. */
  private rolloutStart (table: string): TablePosition | undefined {
    const last = this.rolloutPositions.get(table)
    return last !== undefined && last.era < this.dependencies.store.era ? last : this.operatorRows.firstOrderPosition(this.dependencies.store.era)
  }

  private async followStoreTable (table: string, onReading: (reading: FeedReading) => void, isStopped = () => this.isStopping, coalescePause?: () => number, after?: TablePosition): Promise<void> {
    const { store, random, log, clock } = this.dependencies
    let lostAt = clock.monotonic()
    for await (const event of followTable({ store, table, random, isStopped, coalescePause, after })) {
      if (event.kind === 'lost') {
        lostAt = clock.monotonic()
        log.warn('store_lost', { table, call_ms: Math.round(event.callDuration), message: messageOf(event.cause) })
        continue
      }
      if (event.isAfterLoss) log.info('store_regained', { table, ...event.position, lost_ms: Math.round(clock.monotonic() - lostAt), call_ms: Math.round(event.callDuration) })
      this.metrics.record('jayfall_forwarding_feed_reading_seconds', { table, through: event.reader === undefined ? 'store' : 'reader' }, event.callDuration)
      this.updateStoreTime(event)
      onReading(event)
    }
  }

  /** Estimates the store's clock from the fastest answer of the present era. */
  private updateStoreTime ({ storeTime, position: { era } }: FeedReading): void {
    const offset = storeTime - this.dependencies.clock.monotonic()
    if (era < this.storeEra) return
    this.storeTimeOffset = era > this.storeEra ? offset : Math.max(this.storeTimeOffset, offset)
    this.storeEra = era
  }

  private applyOperatorRows (reading: FeedReading): void {
    const { position: { era }, reader, callDuration: readDuration, storeTime } = reading
    const age = this.dependencies.clock.monotonic() + this.storeTimeOffset - storeTime
    for (const { catalogue, position } of this.operatorRows.apply(reading)) this.state.applyCatalogue(catalogue, { position, reader, readDuration, age })
    this.rolloutCoordinator.applyOrders(this.operatorRows.orders, era)
    this.followRolloutTables()
    if (this.rolloutCoordinator.hasRolloutState) this.state.markRolloutsKnown()
  }

  /** Servers of an evacuated zone may have been restarted, which their entries say late. */
  private presumeCold (zone: string): void {
    for (const { server } of this.directory.rows.rows()) if (server.zone === zone) this.coldServers.presume(server.id, server.service, 'evacuation_ended')
  }

  private applyRolloutRows ({ rows, position }: FeedReading): void {
    this.rolloutPositions.set(ROLLOUTS_TABLE, position)
    this.rolloutCoordinator.applyRolloutRows(rows, position.era)
    this.state.markRolloutsKnown()
  }

  private applyEvidenceRows ({ rows, position, isNewEra }: FeedReading): void {
    this.rolloutPositions.set(EVIDENCE_TABLE, position)
    this.rolloutCoordinator.applyEvidenceRows(rows, isNewEra)
  }

  private applyServerRows ({ kind, rows, isAfterLoss, isNewEra }: FeedReading): void {
    const changes = rows.map(({ key, value }) => ({ id: key, server: value === undefined ? undefined : this.dependencies.source.readServerRow(key, value) }))
    if (isNewEra && kind === 'snapshot') this.state.applySnapshotOfCopy(changes)
    else if (isNewEra) this.state.applyServersOfCopy(changes)
    else if (kind === 'snapshot') this.state.applyServerSnapshot(changes, isAfterLoss)
    else this.state.applyServerChanges(changes, isAfterLoss)
  }
}
