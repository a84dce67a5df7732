/**
 * The production router: tables of requests, attempts and servers, and systems that run over
 * them on ticks, arrivals and completions.
 *
 * A request passes a check that its deadline can be met, its workspace's limit share, and the
 * fair queues of its pool. It is sent as soon as the router's window on the pool has capacity.
 */

import { type Clock, type RandomSource, System, TickScheduler } from '#jayfall/shared'

import { Admission } from './JayfallAdmission'
import { AttemptBudget } from './JayfallAttemptBudget'
import { DelayQuantiles } from './JayfallDelayQuantiles'
import { OverdueHedgePolicy, type HedgePolicy } from './JayfallHedgePolicy'
import { type LaneQueue } from './JayfallLaneQueue'
import { Pool } from './JayfallPool'
import { PrefixMap } from './JayfallPrefixMap'
import { type RequestQueue } from './JayfallRequestQueue'
import {
  DEADLINE_MARGIN, MAXIMUM_WAIT_MARGIN, MINIMUM_WAIT_MARGIN, HEDGE_BUDGET_CAPACITY, HEDGE_BUDGET_RESERVE, HEDGE_BUDGET_SHARE, LONG_PRIORITY, MAXIMUM_ATTEMPTS, MAXIMUM_QUEUED_REQUESTS, MINIMUM_RETRY_MILLISECONDS,
  NO_SERVER_RETRY_MILLISECONDS, OVERLOAD_BUDGET_FACTOR, RETRY_BUDGET_CAPACITY, RETRY_BUDGET_SHARE, SHORT_PRIORITY, VERY_OVERDUE_FACTOR
} from './JayfallRoutingConstants'
import { Router, type AttemptEvent, type LoadReport, type RefusalCode, type RoutedRequest, type RoutedServer, type RoutingDecision, type WorkspaceShare } from './JayfallRouter'
import { ExpirySystem, OverdueSystem, LaneSplitSystem, WindowSystem } from './JayfallRoutingSystems'
import { attemptId, createRoutingTables, poolId, poolIdsOf, type AttemptRow, type DispatchReason, type RequestRow } from './JayfallRoutingTables'
import { EstimatedCostChoice, type ServerChoice } from './JayfallServerChoice'
import { ServerTracker } from './JayfallServerTracker'
import { WorkEstimates, workOf } from './JayfallWorkEstimates'

/** Dependencies of a router. A policy that is left out has its default. */
export interface ModelAwareRouterOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly createQueue?: () => RequestQueue
  readonly createServerChoice?: (defaultChoice: ServerChoice) => ServerChoice
  readonly createHedgePolicy?: (delays: DelayQuantiles) => HedgePolicy
}

export class ModelAwareRouter extends Router {
  private readonly tables = createRoutingTables()
  private readonly tracker = new ServerTracker(this.tables)
  private readonly pools = new Map<string, Pool>()
  private readonly estimates = new WorkEstimates()
  private readonly admission = new Admission()
  private readonly prefixMap = new PrefixMap()
  private readonly delays = new DelayQuantiles()
  private readonly retryBudget = new AttemptBudget(RETRY_BUDGET_SHARE, RETRY_BUDGET_CAPACITY)
  private readonly hedgeBudget = new AttemptBudget(HEDGE_BUDGET_SHARE, HEDGE_BUDGET_CAPACITY)
  private readonly scheduler = new TickScheduler()
  private readonly clock: Clock
  private readonly serverChoice: ServerChoice
  private readonly hedgePolicy: HedgePolicy
  private decisions: RoutingDecision[] = []

  constructor (private readonly options: ModelAwareRouterOptions) {
    super()
    this.clock = options.clock
    const defaultChoice = new EstimatedCostChoice(this.tables, this.prefixMap, options.random)
    this.serverChoice = options.createServerChoice?.(defaultChoice) ?? defaultChoice
    this.hedgePolicy = options.createHedgePolicy?.(this.delays) ?? new OverdueHedgePolicy(this.delays)
    const systems: readonly System[] = [
      new ExpirySystem(this.pools, row => this.trySendUrgent(row), (row, code) => this.refuse(row.request.id, code, this.retryDelay(row))),
      new OverdueSystem(this.tables, this.hedgePolicy, (row, attempt, delay) => this.handleOverdue(row, attempt, delay)),
      new LaneSplitSystem(this.pools),
      new WindowSystem(this.pools, pool => this.sendQueuedRequests(pool))
    ]
    for (const system of systems) this.scheduler.registerSystem(system)
  }

  /** Number of requests that have not ended. */
  get openRequests (): number {
    return this.tables.requests.size
  }

  override submit (request: RoutedRequest): readonly RoutingDecision[] {
    const now = this.clock.monotonic()
    const pool = this.pools.get(poolId(request))
    const { lane, work } = this.estimates.estimate(request)
    if (pool === undefined || pool.servers.length === 0) return [createRefusal(request.id, 'no_server', NO_SERVER_RETRY_MILLISECONDS)]
    const laneQueue = pool.lanes[lane]
    laneQueue.recordDemand(request.workspace, work)
    pool.recordArrival(lane, work)
    if (request.deadline <= now) return [createRefusal(request.id, 'deadline_passed', MINIMUM_RETRY_MILLISECONDS)]
    const missedBy = this.expectedTime(laneQueue, request.workspace, work) - (request.deadline - now)
    if (missedBy > 0) return [createRefusal(request.id, 'deadline_unreachable', Math.max(MINIMUM_RETRY_MILLISECONDS, missedBy))]
    if (pool.queued >= MAXIMUM_QUEUED_REQUESTS) return [createRefusal(request.id, 'queue_full', Math.max(MINIMUM_RETRY_MILLISECONDS, laneQueue.expectedWait(request.workspace, work)))]
    const limitRetryAfter = this.admission.tryAdmit(request.workspace, work, now)
    if (limitRetryAfter !== undefined) return [createRefusal(request.id, 'limit_exceeded', limitRetryAfter)]
    const row: RequestRow = { request, pool: pool.id, lane, work, triedServers: [], openAttempts: [], hasFirstToken: false }
    this.tables.requests.set(request.id, row)
    laneQueue.queue.push(row)
    this.sendQueuedRequests(pool)
    return this.drainDecisions()
  }

  override observe (event: AttemptEvent): readonly RoutingDecision[] {
    const row = this.tables.requests.get(event.requestId)
    if (row === undefined) return []
    if (event.kind === 'abandoned') this.handleAbandoned(row)
    else {
      const attempt = this.tables.attempts.get(attemptId(event.requestId, event.attempt))
      if (attempt === undefined) return []
      if (event.kind === 'first-token') this.handleFirstToken(row, attempt)
      else if (event.kind === 'finished') this.handleFinished(row, attempt, event.outputTokens)
      else this.handleFailure(row, attempt, event)
    }
    const pool = this.pools.get(row.pool)
    if (pool !== undefined) this.sendQueuedRequests(pool)
    return this.drainDecisions()
  }

  override tick (): readonly RoutingDecision[] {
    this.scheduler.tick(this.clock.monotonic())
    return this.drainDecisions()
  }

  override reportLoad (server: string, report: LoadReport): void {
    this.tracker.recordLoadReport(server, report, this.poolsOfServer(server))
  }

  override reportCache (server: string, stored: readonly string[], evicted: readonly string[]): void {
    this.prefixMap.recordStored(server, stored)
    this.prefixMap.recordEvicted(server, evicted)
  }

  override updateServers (servers: readonly RoutedServer[]): void {
    this.tracker.replaceAll(servers, this.clock.monotonic())
    const serversByPool = new Map<string, RoutedServer[]>()
    for (const server of servers) {
      if (server.leaving) continue
      for (const id of poolIdsOf(server)) serversByPool.set(id, [...serversByPool.get(id) ?? [], server])
    }
    for (const id of serversByPool.keys()) if (!this.pools.has(id)) this.pools.set(id, new Pool(id, this.clock, this.options.createQueue))
    for (const pool of this.pools.values()) pool.replaceServers(serversByPool.get(pool.id) ?? [])
  }

  override updateShares (shares: readonly WorkspaceShare[]): void {
    this.admission.updateShares(shares, this.clock.monotonic())
  }

  /** Returns the milliseconds until the last token of work that is submitted now, with a margin. */
  private expectedTime (lane: LaneQueue, workspace: string, work: number): number {
    const rate = lane.window.attemptRate
    if (rate === undefined) return 0
    const wait = lane.expectedWait(workspace, work)
    const margin = Math.min(MAXIMUM_WAIT_MARGIN, Math.max(MINIMUM_WAIT_MARGIN, lane.demandToFairShare(workspace)))
    return (wait * margin + work / rate) * DEADLINE_MARGIN
  }

  /** Returns the milliseconds after which a request like this one would be sent. */
  private retryDelay (row: RequestRow): number {
    return Math.max(MINIMUM_RETRY_MILLISECONDS, this.laneOf(row)?.expectedWait(row.request.workspace, row.work) ?? 0)
  }

  /** Sends waiting requests while the windows of the lanes have capacity. */
  private sendQueuedRequests (pool: Pool): void {
    for (const lane of Object.values(pool.lanes)) {
      while (lane.canSend) {
        const row = lane.queue.shift()
        if (row !== undefined && !this.trySend(row, pool, 'first')) this.refuse(row.request.id, 'no_server', NO_SERVER_RETRY_MILLISECONDS)
      }
    }
  }

  /** Sends a waiting request ahead of its turn, slightly beyond the window if necessary. */
  private trySendUrgent (row: RequestRow): boolean {
    const pool = this.pools.get(row.pool)
    const lane = this.laneOf(row)
    if (pool === undefined || lane === undefined || !lane.window.hasUrgentCapacity) return false
    lane.queue.remove(row.request.id)
    if (this.trySend(row, pool, 'first')) return true
    lane.queue.push(row)
    return false
  }

  private trySend (row: RequestRow, pool: Pool, reason: DispatchReason): boolean {
    const now = this.clock.monotonic()
    const { id, prefixBlocks } = row.request
    const server = this.serverChoice.choose(row, pool, now)
    if (server === undefined) return false
    const attemptNumber = row.triedServers.length + 1
    this.tables.requests.set(id, { ...row, triedServers: [...row.triedServers, server], openAttempts: [...row.openAttempts, attemptNumber] })
    const attempt: AttemptRow = { requestId: id, number: attemptNumber, server, dispatchedAt: now, reason, isOverdue: false }
    this.tables.attempts.set(attemptId(id, attemptNumber), attempt)
    this.tables.awaitingFirstToken.set(attemptId(id, attemptNumber), attempt)
    this.tracker.recordDispatch(server, row.lane)
    pool.lanes[row.lane].window.recordOpened()
    this.prefixMap.recordStored(server, prefixBlocks)
    const priority = row.lane === 'short' ? SHORT_PRIORITY : LONG_PRIORITY
    this.decisions.push({ kind: 'dispatch', requestId: id, attempt: attemptNumber, server, priority, reason })
    return true
  }

  private handleFirstToken (row: RequestRow, attempt: AttemptRow): void {
    const now = this.clock.monotonic()
    this.recordDelay(row, attempt, now)
    this.tables.awaitingFirstToken.delete(attemptId(attempt.requestId, attempt.number))
    this.tables.attempts.set(attemptId(attempt.requestId, attempt.number), { ...attempt, firstTokenAt: now })
    this.cancelOthers(row, attempt.number)
    this.tables.requests.update(row.request.id, current => ({ ...current, hasFirstToken: true }))
  }

  /** Records the delay of a first token, or of the answer of a plain call. */
  private recordDelay (row: RequestRow, attempt: AttemptRow, now: number): void {
    const delay = now - attempt.dispatchedAt
    const lane = this.laneOf(row)
    const recentDelays = this.delays.get(row)
    if (recentDelays !== undefined) {
      lane?.window.recordWait(delay - recentDelays.unqueued, now, lane.isLimiting)
      if (row.lane === 'short') this.tracker.recordWait(attempt.server, delay - recentDelays.unqueued, now)
    }
    this.delays.observe(row, delay)
    if (!attempt.isOverdue) this.tracker.recordTimelyResponse(attempt.server)
  }

  private handleFinished (row: RequestRow, attempt: AttemptRow, outputTokens: number): void {
    const now = this.clock.monotonic()
    const pool = this.pools.get(row.pool)
    if (attempt.firstTokenAt === undefined) this.recordDelay(row, attempt, now)
    const work = workOf(row.request.promptTokens, outputTokens)
    if (pool !== undefined) {
      this.tracker.recordSpeed(attempt, outputTokens, pool, now)
      pool.lanes[row.lane].window.recordFinished(work, now - attempt.dispatchedAt)
    }
    this.estimates.observe(row.request, outputTokens)
    const isOverloaded = this.laneOf(row)?.isLimiting === true
    this.retryBudget.recordSuccess(isOverloaded ? OVERLOAD_BUDGET_FACTOR : 1)
    this.hedgeBudget.recordSuccess(isOverloaded ? 0 : 1)
    this.cancelOthers(row, attempt.number)
    this.endRequest(row, row.work - work)
  }

  private handleFailure (row: RequestRow, attempt: AttemptRow, { failure, retryable }: Extract<AttemptEvent, { kind: 'failed' }>): void {
    this.tracker.recordFailedAttempt(attempt.server, this.clock.monotonic())
    this.closeAttempt(row, attempt)
    const remaining = this.tables.requests.get(row.request.id)
    if (remaining === undefined || remaining.openAttempts.length > 0) return
    const pool = this.pools.get(row.pool)
    const mayRetry = retryable && remaining.triedServers.length < MAXIMUM_ATTEMPTS && remaining.request.deadline > this.clock.monotonic()
    // An attempt that no server received adds no load, so its repetition needs no budget.
    if (mayRetry && pool !== undefined && (failure === 'unsent' || this.retryBudget.trySpend()) && this.trySend(remaining, pool, 'retry')) return
    this.refuse(row.request.id, 'attempts_exhausted', NO_SERVER_RETRY_MILLISECONDS)
  }

  /** Handles an overdue first token and returns whether `OverdueSystem` must report it again. */
  private handleOverdue (row: RequestRow, attempt: AttemptRow, overdueRatio: number): boolean {
    const now = this.clock.monotonic()
    const pool = this.pools.get(row.pool)
    if (!attempt.isOverdue) {
      this.tracker.recordOverdue(attempt.server, now)
      if (row.lane === 'short') this.tracker.recordWait(attempt.server, now - attempt.dispatchedAt, now)
    }
    if (pool === undefined || row.triedServers.length >= MAXIMUM_ATTEMPTS || !this.hedgePolicy.mayHedge(row)) return false
    // A part of the budget is reserved for requests that have waited very long, as they gain the most.
    const reserve = overdueRatio < VERY_OVERDUE_FACTOR ? HEDGE_BUDGET_RESERVE : 0
    if (!this.hedgeBudget.trySpend(reserve)) return true
    this.trySend(row, pool, 'hedge')
    return false
  }

  private handleAbandoned (row: RequestRow): void {
    this.laneOf(row)?.queue.remove(row.request.id)
    this.endRequest(row, row.triedServers.length === 0 ? row.work : 0)
  }

  private refuse (requestId: string, code: RefusalCode, retryAfter: number): void {
    const row = this.tables.requests.get(requestId)
    if (row === undefined) return
    this.laneOf(row)?.queue.remove(requestId)
    this.endRequest(row, row.triedServers.length === 0 ? row.work : 0)
    this.decisions.push(createRefusal(requestId, code, retryAfter))
  }

  private cancelOthers (row: RequestRow, keptAttempt: number): void {
    for (const attemptNumber of row.openAttempts) {
      const attempt = this.tables.attempts.get(attemptId(row.request.id, attemptNumber))
      if (attemptNumber === keptAttempt || attempt === undefined) continue
      this.closeAttempt(row, attempt)
      this.decisions.push({ kind: 'cancel', requestId: row.request.id, attempt: attemptNumber })
    }
  }

  private closeAttempt (row: RequestRow, attempt: AttemptRow): void {
    this.tables.attempts.delete(attemptId(attempt.requestId, attempt.number))
    this.tables.awaitingFirstToken.delete(attemptId(attempt.requestId, attempt.number))
    this.tables.requests.update(attempt.requestId, current => ({ ...current, openAttempts: current.openAttempts.filter(attemptNumber => attemptNumber !== attempt.number) }))
    this.tracker.recordAttemptEnd(attempt.server, row.lane)
    this.laneOf(row)?.window.recordClosed()
  }

  private endRequest (row: RequestRow, unusedTokens: number): void {
    for (const attemptNumber of this.tables.requests.get(row.request.id)?.openAttempts ?? []) {
      const attempt = this.tables.attempts.get(attemptId(row.request.id, attemptNumber))
      if (attempt !== undefined) this.closeAttempt(row, attempt)
    }
    this.tables.requests.delete(row.request.id)
    this.admission.release(row.request.workspace, unusedTokens)
  }

  private laneOf (row: RequestRow): LaneQueue | undefined {
    return this.pools.get(row.pool)?.lanes[row.lane]
  }

  private * poolsOfServer (id: string): Generator<Pool> {
    const row = this.tables.servers.get(id)
    for (const poolIdOfServer of row === undefined ? [] : poolIdsOf(row.server)) {
      const pool = this.pools.get(poolIdOfServer)
      if (pool !== undefined) yield pool
    }
  }

  private drainDecisions (): readonly RoutingDecision[] {
    const { decisions } = this
    this.decisions = []
    return decisions
  }
}

function createRefusal (requestId: string, code: RefusalCode, retryAfter: number): RoutingDecision {
  return { kind: 'refuse', requestId, code, retryAfter }
}
