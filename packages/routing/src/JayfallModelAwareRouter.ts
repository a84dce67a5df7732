/**
 * The production router: tables of requests, attempts and servers, and systems that run over
 * them on ticks, arrivals and completions.
 *
 * A request passes its workspace's limit share, a check that its deadline can be met, and the
 * fair queues of its pool. It is sent as soon as the router's window on the pool has room.
 */

import { type Clock, type RandomSource, System, TickScheduler } from '#jayfall/shared'

import { Admission } from './JayfallAdmission'
import { AttemptBudget } from './JayfallAttemptBudget'
import { DelayQuantiles } from './JayfallDelayQuantiles'
import { OverdueHedges, type HedgePolicy } from './JayfallHedgePolicy'
import { type LaneQueue } from './JayfallLaneQueue'
import { Pool } from './JayfallPool'
import { PrefixMap } from './JayfallPrefixMap'
import { type QueueOrder } from './JayfallQueueOrder'
import {
  DEADLINE_MARGIN, EXCESS_WAIT_MARGIN, FAIR_WAIT_MARGIN, HEDGE_BUDGET_CAPACITY, HEDGE_BUDGET_RESERVE, HEDGE_BUDGET_SHARE, LONG_PRIORITY, MAXIMUM_ATTEMPTS, MAXIMUM_QUEUED_REQUESTS, MINIMUM_RETRY_MILLISECONDS,
  NO_SERVER_RETRY_MILLISECONDS, OVERLOAD_BUDGET_FACTOR, RETRY_BUDGET_CAPACITY, RETRY_BUDGET_SHARE, SHORT_PRIORITY, VERY_OVERDUE
} from './JayfallRoutingConstants'
import { Router, type AttemptEvent, type LoadReport, type RefusalCode, type RoutedRequest, type RoutedServer, type RoutingDecision, type WorkspaceShare } from './JayfallRouter'
import { ExpirySystem, OverdueSystem, SplitSystem, WindowSystem } from './JayfallRoutingSystems'
import { attemptId, createRoutingTables, poolId, poolsOf, type AttemptRow, type DispatchReason, type RequestRow } from './JayfallRoutingTables'
import { EstimatedCostChoice, type ServerChoice } from './JayfallServerChoice'
import { ServerTracker } from './JayfallServerTracker'
import { WorkEstimates, workOf } from './JayfallWorkEstimates'

/** What a router is made of; policies that are left out are the usual ones. */
export interface ModelAwareRouterOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly createQueue?: () => QueueOrder
  readonly createChoice?: (usual: ServerChoice) => ServerChoice
  readonly createHedges?: (delays: DelayQuantiles) => HedgePolicy
}

export class ModelAwareRouter extends Router {
  private readonly tables = createRoutingTables()
  private readonly tracker = new ServerTracker(this.tables)
  private readonly pools = new Map<string, Pool>()
  private readonly estimates = new WorkEstimates()
  private readonly admission = new Admission()
  private readonly prefixes = new PrefixMap()
  private readonly delays = new DelayQuantiles()
  private readonly retries = new AttemptBudget(RETRY_BUDGET_SHARE, RETRY_BUDGET_CAPACITY)
  private readonly hedgeBudget = new AttemptBudget(HEDGE_BUDGET_SHARE, HEDGE_BUDGET_CAPACITY)
  private readonly scheduler = new TickScheduler()
  private readonly clock: Clock
  private readonly choice: ServerChoice
  private readonly hedges: HedgePolicy
  private decisions: RoutingDecision[] = []

  constructor (private readonly options: ModelAwareRouterOptions) {
    super()
    this.clock = options.clock
    const usual = new EstimatedCostChoice(this.tables, this.prefixes, options.random)
    this.choice = options.createChoice?.(usual) ?? usual
    this.hedges = options.createHedges?.(this.delays) ?? new OverdueHedges(this.delays)
    const systems: readonly System[] = [
      new ExpirySystem(this.pools, row => this.trySendNow(row), (row, code) => this.refuse(row.request.id, code, this.timeToComeBack(row))),
      new OverdueSystem(this.tables, this.hedges, (row, attempt, delay) => this.takeOverdue(row, attempt, delay)),
      new SplitSystem(this.pools),
      new WindowSystem(this.pools, pool => this.pump(pool))
    ]
    for (const system of systems) this.scheduler.registerSystem(system)
  }

  /** Requests that have not ended. */
  get size (): number {
    return this.tables.requests.size
  }

  override submit (request: RoutedRequest): readonly RoutingDecision[] {
    const now = this.clock.monotonic()
    const pool = this.pools.get(poolId(request))
    const { lane, work } = this.estimates.estimate(request)
    if (pool === undefined || pool.servers.length === 0) return [refusal(request.id, 'no_server', NO_SERVER_RETRY_MILLISECONDS)]
    const laneQueue = pool.lanes[lane]
    laneQueue.noteDemand(request.workspace, work)
    pool.noteArrival(lane, work)
    if (request.deadline <= now) return [refusal(request.id, 'deadline_passed', MINIMUM_RETRY_MILLISECONDS)]
    const excess = this.expectedTime(laneQueue, request.workspace, work) - (request.deadline - now)
    if (excess > 0) return [refusal(request.id, 'deadline_unreachable', Math.max(MINIMUM_RETRY_MILLISECONDS, excess))]
    if (pool.queued >= MAXIMUM_QUEUED_REQUESTS) return [refusal(request.id, 'queue_full', Math.max(MINIMUM_RETRY_MILLISECONDS, laneQueue.expectedWait(request.workspace, work)))]
    const limited = this.admission.tryAdmit(request.workspace, work, now)
    if (limited !== undefined) return [refusal(request.id, 'limit_exceeded', limited)]
    const row: RequestRow = { request, pool: pool.id, lane, work, tried: [], open: [], hasFirstToken: false }
    this.tables.requests.set(request.id, row)
    laneQueue.queue.push(row)
    this.pump(pool)
    return this.takeDecisions()
  }

  override observe (event: AttemptEvent): readonly RoutingDecision[] {
    const row = this.tables.requests.get(event.requestId)
    if (row === undefined) return []
    if (event.kind === 'abandoned') this.abandon(row)
    else {
      const attempt = this.tables.attempts.get(attemptId(event.requestId, event.attempt))
      if (attempt === undefined) return []
      if (event.kind === 'first-token') this.takeFirstToken(row, attempt)
      else if (event.kind === 'finished') this.finish(row, attempt, event.outputTokens)
      else this.takeFailure(row, attempt, event)
    }
    const pool = this.pools.get(row.pool)
    if (pool !== undefined) this.pump(pool)
    return this.takeDecisions()
  }

  override tick (): readonly RoutingDecision[] {
    this.scheduler.tick(this.clock.monotonic())
    return this.takeDecisions()
  }

  override reportLoad (server: string, report: LoadReport): void {
    this.tracker.noteReport(server, report, this.poolsOfServer(server))
  }

  override reportCache (server: string, stored: readonly string[], evicted: readonly string[]): void {
    this.prefixes.noteStored(server, stored)
    this.prefixes.noteEvicted(server, evicted)
  }

  override updateServers (servers: readonly RoutedServer[]): void {
    this.tracker.replaceAll(servers, this.clock.monotonic())
    const members = new Map<string, RoutedServer[]>()
    for (const server of servers) {
      if (server.leaving) continue
      for (const id of poolsOf(server)) members.set(id, [...members.get(id) ?? [], server])
    }
    for (const id of members.keys()) if (!this.pools.has(id)) this.pools.set(id, new Pool(id, this.clock, this.options.createQueue))
    for (const pool of this.pools.values()) pool.replaceServers(members.get(pool.id) ?? [])
  }

  override updateShares (shares: readonly WorkspaceShare[]): void {
    this.admission.updateShares(shares, this.clock.monotonic())
  }

  /** Milliseconds until the last token of work that is submitted now, with a margin. */
  private expectedTime (lane: LaneQueue, workspace: string, work: number): number {
    const rate = lane.window.attemptRate
    if (rate === undefined) return 0
    const wait = lane.expectedWait(workspace, work)
    const margin = Math.min(EXCESS_WAIT_MARGIN, Math.max(FAIR_WAIT_MARGIN, lane.demandToFairShare(workspace)))
    return (wait * margin + work / rate) * DEADLINE_MARGIN
  }

  /** Milliseconds after which a request like this one would be sent. */
  private timeToComeBack (row: RequestRow): number {
    return Math.max(MINIMUM_RETRY_MILLISECONDS, this.laneOf(row)?.expectedWait(row.request.workspace, row.work) ?? 0)
  }

  /** Sends waiting requests while the windows of the lanes have room. */
  private pump (pool: Pool): void {
    for (const lane of Object.values(pool.lanes)) {
      while (lane.canSend) {
        const row = lane.queue.shift()
        if (row !== undefined && !this.trySend(row, pool, 'first')) this.refuse(row.request.id, 'no_server', NO_SERVER_RETRY_MILLISECONDS)
      }
    }
  }

  /** Sends a waiting request ahead of its turn, slightly beyond the window if need be. */
  private trySendNow (row: RequestRow): boolean {
    const pool = this.pools.get(row.pool)
    const lane = this.laneOf(row)
    if (pool === undefined || lane === undefined || !lane.window.hasUrgentRoom) return false
    lane.queue.remove(row.request.id)
    if (this.trySend(row, pool, 'first')) return true
    lane.queue.push(row)
    return false
  }

  private trySend (row: RequestRow, pool: Pool, reason: DispatchReason): boolean {
    const now = this.clock.monotonic()
    const { id, prefixBlocks } = row.request
    const server = this.choice.choose(row, pool, now)
    if (server === undefined) return false
    const number = row.tried.length + 1
    this.tables.requests.set(id, { ...row, tried: [...row.tried, server], open: [...row.open, number] })
    const attempt: AttemptRow = { requestId: id, number, server, dispatchedAt: now, reason, isOverdue: false }
    this.tables.attempts.set(attemptId(id, number), attempt)
    this.tables.awaiting.set(attemptId(id, number), attempt)
    this.tracker.noteDispatch(server, row.lane)
    pool.lanes[row.lane].window.noteOpened()
    this.prefixes.noteStored(server, prefixBlocks)
    const priority = row.lane === 'short' ? SHORT_PRIORITY : LONG_PRIORITY
    this.decisions.push({ kind: 'dispatch', requestId: id, attempt: number, server, priority, reason })
    return true
  }

  private takeFirstToken (row: RequestRow, attempt: AttemptRow): void {
    const now = this.clock.monotonic()
    this.noteDelay(row, attempt, now)
    this.tables.awaiting.delete(attemptId(attempt.requestId, attempt.number))
    this.tables.attempts.set(attemptId(attempt.requestId, attempt.number), { ...attempt, firstTokenAt: now })
    this.cancelOthers(row, attempt.number)
    this.tables.requests.update(row.request.id, current => ({ ...current, hasFirstToken: true }))
  }

  /** Learns from the delay of a first token, or of the answer of a plain call. */
  private noteDelay (row: RequestRow, attempt: AttemptRow, now: number): void {
    const delay = now - attempt.dispatchedAt
    const lane = this.laneOf(row)
    const usual = this.delays.get(row)
    if (usual !== undefined) {
      lane?.window.noteWait(delay - usual.unqueued, now, lane.isBinding)
      if (row.lane === 'short') this.tracker.noteWait(attempt.server, delay - usual.unqueued, now)
    }
    this.delays.observe(row, delay)
    if (!attempt.isOverdue) this.tracker.noteTimely(attempt.server)
  }

  private finish (row: RequestRow, attempt: AttemptRow, outputTokens: number): void {
    const now = this.clock.monotonic()
    const pool = this.pools.get(row.pool)
    if (attempt.firstTokenAt === undefined) this.noteDelay(row, attempt, now)
    const work = workOf(row.request.promptTokens, outputTokens)
    if (pool !== undefined) {
      this.tracker.noteSpeed(attempt, outputTokens, pool, now)
      pool.lanes[row.lane].window.noteFinished(work, now - attempt.dispatchedAt)
    }
    this.estimates.observe(row.request, outputTokens)
    const isOverloaded = this.laneOf(row)?.isBinding === true
    this.retries.earn(isOverloaded ? OVERLOAD_BUDGET_FACTOR : 1)
    this.hedgeBudget.earn(isOverloaded ? 0 : 1)
    this.cancelOthers(row, attempt.number)
    this.end(row, row.work - work)
  }

  private takeFailure (row: RequestRow, attempt: AttemptRow, { failure, retryable }: Extract<AttemptEvent, { kind: 'failed' }>): void {
    this.tracker.noteFailed(attempt.server, this.clock.monotonic())
    this.closeAttempt(row, attempt)
    const rest = this.tables.requests.get(row.request.id)
    if (rest === undefined || rest.open.length > 0) return
    const pool = this.pools.get(row.pool)
    const mayRetry = retryable && rest.tried.length < MAXIMUM_ATTEMPTS && rest.request.deadline > this.clock.monotonic()
    // An attempt that no server received burdens none, so its repetition needs no budget.
    if (mayRetry && pool !== undefined && (failure === 'unsent' || this.retries.trySpend()) && this.trySend(rest, pool, 'retry')) return
    this.refuse(row.request.id, 'attempts_exhausted', NO_SERVER_RETRY_MILLISECONDS)
  }

  private takeOverdue (row: RequestRow, attempt: AttemptRow, delay: number): boolean {
    const now = this.clock.monotonic()
    const pool = this.pools.get(row.pool)
    if (!attempt.isOverdue) {
      this.tracker.noteOverdue(attempt.server, now)
      if (row.lane === 'short') this.tracker.noteWait(attempt.server, now - attempt.dispatchedAt, now)
    }
    if (pool === undefined || row.tried.length >= MAXIMUM_ATTEMPTS || !this.hedges.wantsHedge(row)) return false
    // A part of the budget is kept for those that have waited very long, as they gain the most.
    const reserve = delay < VERY_OVERDUE ? HEDGE_BUDGET_RESERVE : 0
    if (!this.hedgeBudget.trySpend(reserve)) return true
    this.trySend(row, pool, 'hedge')
    return false
  }

  private abandon (row: RequestRow): void {
    this.laneOf(row)?.queue.remove(row.request.id)
    this.end(row, row.tried.length === 0 ? row.work : 0)
  }

  private refuse (requestId: string, code: RefusalCode, retryAfter: number): void {
    const row = this.tables.requests.get(requestId)
    if (row === undefined) return
    this.laneOf(row)?.queue.remove(requestId)
    this.end(row, row.tried.length === 0 ? row.work : 0)
    this.decisions.push(refusal(requestId, code, retryAfter))
  }

  private cancelOthers (row: RequestRow, kept: number): void {
    for (const number of row.open) {
      const attempt = this.tables.attempts.get(attemptId(row.request.id, number))
      if (number === kept || attempt === undefined) continue
      this.closeAttempt(row, attempt)
      this.decisions.push({ kind: 'cancel', requestId: row.request.id, attempt: number })
    }
  }

  private closeAttempt (row: RequestRow, attempt: AttemptRow): void {
    this.tables.attempts.delete(attemptId(attempt.requestId, attempt.number))
    this.tables.awaiting.delete(attemptId(attempt.requestId, attempt.number))
    this.tables.requests.update(attempt.requestId, current => ({ ...current, open: current.open.filter(number => number !== attempt.number) }))
    this.tracker.noteEnded(attempt.server, row.lane)
    this.laneOf(row)?.window.noteClosed()
  }

  private end (row: RequestRow, unusedTokens: number): void {
    for (const number of this.tables.requests.get(row.request.id)?.open ?? []) {
      const attempt = this.tables.attempts.get(attemptId(row.request.id, number))
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
    for (const poolOfServer of row === undefined ? [] : poolsOf(row.server)) {
      const pool = this.pools.get(poolOfServer)
      if (pool !== undefined) yield pool
    }
  }

  private takeDecisions (): readonly RoutingDecision[] {
    const { decisions } = this
    this.decisions = []
    return decisions
  }
}

function refusal (requestId: string, code: RefusalCode, retryAfter: number): RoutingDecision {
  return { kind: 'refuse', requestId, code, retryAfter }
}
