/**
 * An instance that forwards requests: follows the store, serves callers and takes its part in rollouts.
 *
 * Everything it knows comes from the store or from answers; nothing outlives the process.
 */

import { followTable, type FeedReading } from '#jayfall/feeds'
import { type Clock, delay, messageOf, type RandomSource, type ReadonlyTable } from '#jayfall/shared'
import { type TableChange, type WatchableTableStore } from '#jayfall/store'
import { type Log, Metrics } from '#jayfall/telemetry'

import { EstimatedTimeChoice } from './JayfallBackendChoice'
import { BackendDirectory, type BackendRow } from './JayfallBackendDirectory'
import { type DeploymentSource } from './JayfallDeploymentSource'
import { type RolloutOrder } from './JayfallForwardingCatalogue'
import { EVIDENCE_COALESCE_PAUSE, RAMP_EVIDENCE_COALESCE_PAUSE, ROLLOUT_INTERVAL, STATE_INTERVAL, STOP_MINIMUM, STOP_RESERVE } from './JayfallForwardingConstants'
import { type ForwardingProtocol } from './JayfallForwardingProtocol'
import { ForwardingServer } from './JayfallForwardingServer'
import { ForwardingState } from './JayfallForwardingState'
import { HealthProbe } from './JayfallHealthProbe'
import { PromptHolders } from './JayfallPromptHolders'
import { NoReadingHints, type ReadingHints } from './JayfallReadingHints'
import { ReadingTimes } from './JayfallReadingTimes'
import { RetryBudget } from './JayfallRetryBudget'
import { RolloutDuty } from './JayfallRolloutDuty'
import { RolloutEvidence } from './JayfallRolloutEvidence'
import { EVIDENCE_TABLE, ROLLOUTS_TABLE } from './JayfallRolloutRows'
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
  /** Repeats that a service may get for each request. */
  readonly retryRatio: number
  /** The part of a service's requests that a bad version may get. */
  readonly exposureShare: number
  /** How long two requests of one session may be apart. Milliseconds. */
  readonly sessionGap: number
  /** Time between SIGTERM and SIGKILL. Milliseconds. */
  readonly terminationGracePeriod: number
}

export interface ForwardingParts {
  readonly store: WatchableTableStore
  readonly source: DeploymentSource
  readonly protocol: ForwardingProtocol
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  /** None by default. */
  readonly hints?: ReadingHints
}

export class ForwardingInstance {
  readonly metrics = new Metrics()
  private readonly directory: BackendDirectory
  private readonly state: ForwardingState
  private readonly versions: VersionPolicy
  private readonly budget: RetryBudget
  private readonly duty: RolloutDuty
  private readonly server: ForwardingServer
  /** Orders by the keys of their rows. */
  private readonly orders = new Map<string, RolloutOrder>()
  private readonly timers: NodeJS.Timeout[] = []
  /** The store's clock less the own monotonic one. */
  private storeTimeOffset = -Infinity
  private isStopping = false
  private isFollowingRollouts = false
  private settings: ForwardingSettings

  constructor (settings: ForwardingSettings, private readonly parts: ForwardingParts) {
    const { clock, log, protocol } = parts
    const storeTime = (): number => clock.monotonic() + this.storeTimeOffset
    this.settings = settings
    this.directory = new BackendDirectory(settings.zone)
    this.state = new ForwardingState(this.directory, clock, log)
    this.versions = new VersionPolicy(settings, storeTime)
    this.budget = new RetryBudget(settings.retryRatio)
    const holders = new PromptHolders()
    const times = new ReadingTimes()
    const hints = parts.hints ?? new NoReadingHints()
    const evidence = new RolloutEvidence(this.versions, clock)
    this.duty = new RolloutDuty({
      ...parts,
      instance: settings.instance,
      probe: new HealthProbe(protocol, this.state, log),
      directory: this.directory,
      versions: this.versions,
      evidence,
      storeTime
    })
    this.server = new ForwardingServer({
      clock, log, protocol, evidence, holders, times, hints, metrics: this.metrics, directory: this.directory, choice: new EstimatedTimeChoice(this.directory, holders, times, settings.zone), budget: this.budget, versions: this.versions
    }, this.state)
    hints.listen(({ server, reading }) => this.directory.noteOthersReading(server, reading, clock.monotonic()))
  }

  /** Whether new callers may be sent here. */
  get isReady (): boolean {
    return this.state.isReady && !this.isStopping
  }

  /** What this instance knows of the backend servers. */
  get backends (): ReadonlyTable<BackendRow> {
    return this.directory.rows
  }

  get port (): number {
    return this.server.port
  }

  /** Listens, and begins to follow the store. */
  async start (): Promise<void> {
    const { callers, instance, zone } = this.settings
    await this.server.listen(callers.host, callers.port)
    this.parts.log.info('started', { instance, zone, address: `${callers.host}:${callers.port}` })
    const { source } = this.parts
    this.follow(source.operatorTable, reading => this.takeOperatorRows(reading))
    this.follow(source.serverTable, reading => this.takeServerRows(reading))
    this.timers.push(setInterval(() => this.state.dropLapsed(), STATE_INTERVAL), setInterval(() => this.runRollouts(), ROLLOUT_INTERVAL))
  }

  replaceSettings (settings: ForwardingSettings): void {
    this.settings = settings
    this.versions.setSettings(settings)
    this.budget.setRatio(settings.retryRatio)
    this.parts.log.info('settings_reloaded', { retry_ratio: settings.retryRatio, exposure_share: settings.exposureShare, session_gap_ms: settings.sessionGap })
  }

  /** Takes no new callers, waits for open requests within the stop time, and ends. */
  async stop (): Promise<void> {
    if (this.isStopping) return
    const { clock, log } = this.parts
    const startedAt = clock.monotonic()
    this.isStopping = true
    this.server.beginClosing()
    log.info('stopping', { open: this.server.open })
    const age = (): number => clock.monotonic() - startedAt
    // The balancer goes on sending new connections until it has noticed.
    while (age() < STOP_MINIMUM) await delay(STATE_INTERVAL)
    // A request that came later on a kept connection could not end before the process does.
    this.server.close()
    while (this.server.open > 0 && age() < this.settings.terminationGracePeriod - STOP_RESERVE) await delay(STATE_INTERVAL)
    for (const timer of this.timers) clearInterval(timer)
    log.info('stopped', { open: this.server.open, after_ms: Math.round(age()) })
  }

  /** Ends at once, with requests unanswered. */
  terminate (): void {
    this.isStopping = true
    for (const timer of this.timers) clearInterval(timer)
    this.server.close()
    this.server.destroyConnections()
  }

  private runRollouts (): void {
    if (this.storeTimeOffset === -Infinity) return
    this.followRollouts()
    this.duty.run()
  }

  /** Follows the rows that instances share about rollouts, as long as one is under way. */
  private followRollouts (): void {
    if (!this.duty.isActive || this.isFollowingRollouts) return
    this.isFollowingRollouts = true
    const isStopped = (): boolean => this.isStopping || !this.duty.isActive
    const ended = [
      this.follow(ROLLOUTS_TABLE, ({ rows }) => this.takeRolloutRows(rows), isStopped),
      this.follow(EVIDENCE_TABLE, ({ rows }) => this.duty.takeEvidence(rows), isStopped, () => this.duty.isMovingSessions ? RAMP_EVIDENCE_COALESCE_PAUSE : EVIDENCE_COALESCE_PAUSE)
    ]
    Promise.all(ended).then(() => { this.isFollowingRollouts = false })
  }

  private async follow (table: string, take: (reading: FeedReading) => void, isStopped = () => this.isStopping, coalescePause?: () => number): Promise<void> {
    const { store, random, log, clock } = this.parts
    let lostAt = clock.monotonic()
    for await (const event of followTable({ store, table, random, isStopped, coalescePause })) {
      if (event.kind === 'lost') {
        lostAt = clock.monotonic()
        log.warn('store_lost', { table, call_ms: Math.round(event.took), message: messageOf(event.cause) })
        continue
      }
      if (event.isAfterLoss) log.info('store_regained', { table, revision: event.revision, lost_ms: Math.round(clock.monotonic() - lostAt), call_ms: Math.round(event.took) })
      this.metrics.record('jayfall_forwarding_feed_reading_seconds', { table, through: event.reader === undefined ? 'store' : 'reader' }, event.took)
      this.storeTimeOffset = Math.max(this.storeTimeOffset, event.storeTime - clock.monotonic())
      take(event)
    }
  }

  private takeOperatorRows ({ rows, reader, took, storeTime }: FeedReading): void {
    for (const { key, value, revision } of rows) {
      if (value === undefined) {
        this.orders.delete(key)
        continue
      }
      const row = this.parts.source.readOperatorRow(key, value, revision)
      if (row.kind === 'catalogue') this.state.takeCatalogue(row.catalogue, { revision, reader, took, age: this.parts.clock.monotonic() + this.storeTimeOffset - storeTime })
      else if (row.kind === 'rollout') this.orders.set(key, row.order)
      else if (row.reason !== undefined) this.parts.log.warn('operator_row_ignored', { key, revision, reason: row.reason })
    }
    this.duty.takeOrders(new Map([...this.orders.values()].map(order => [order.service, order])))
    this.followRollouts()
    if (this.duty.isSettled) this.state.takeRolloutsKnown()
  }

  private takeRolloutRows (rows: readonly TableChange[]): void {
    this.duty.takeRollouts(rows)
    this.state.takeRolloutsKnown()
  }

  private takeServerRows ({ kind, rows, isAfterLoss }: FeedReading): void {
    const changes = rows.map(({ key, value }) => ({ id: key, server: value === undefined ? undefined : this.parts.source.readServerRow(key, value) }))
    if (kind === 'snapshot') this.state.takeAllServers(changes, isAfterLoss)
    else this.state.takeServers(changes, isAfterLoss)
  }
}
