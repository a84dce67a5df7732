/**
 * Drives some routers, which do not see each other, over shared fake servers.
 *
 * No network, membership or cluster is modelled: a load balancer spreads requests at random,
 * and decisions and events take a fixed time on their way.
 */

import { type RoutedServer, type Router, type RoutingDecision, TICK_INTERVAL_MILLISECONDS } from '#jayfall/routing'
import { type Clock, createRandomSource, EventQueue, ManualClock, type RandomSource } from '#jayfall/shared'

import { aloneMilliseconds, FakeServer, type FakeServerSettings, type FakeStream } from './JayfallFakeServer'
import { type FleetRequest, type FleetOutcome, type SlowMoment } from './JayfallFleetWorkload'

export type RouterFactory = (clock: Clock, random: RandomSource) => Router

export interface FleetSettings {
  readonly instances: number
  readonly servers: number
  readonly server: FakeServerSettings
  /** Milliseconds by which reports are late. */
  readonly reportLag: number
  /** Milliseconds between two reports of a server to an instance, besides those with answers. */
  readonly reportInterval: number
  /** Milliseconds of a run; arrivals end before. */
  readonly duration: number
  readonly seed: number
  readonly slowMoments?: readonly SlowMoment[]
}

/** What a run leaves for the bench to measure. */
export interface FleetResult {
  readonly outcomes: readonly FleetOutcome[]
  /** For each sample, the load of each server. */
  readonly loads: readonly (readonly number[])[]
  /** Work of attempts that did not become answers, as a part of the work of those that did. */
  readonly extraWork: number
  /** Prompt tokens of prefixes that had been computed before and were not cached where they were needed. */
  readonly recomputedTokens: number
}

/** Milliseconds for a message between an instance and a server. */
const LINK_DELAY_MILLISECONDS = 0.5
export const LOAD_SAMPLE_MILLISECONDS = 100
/** Milliseconds by which cache events are late. */
const CACHE_EVENT_LAG_MILLISECONDS = 1000
/** The part of cache events that is lost. */
const CACHE_EVENT_LOSS = 0.06

type MutableOutcome = { -readonly [Key in keyof FleetOutcome]: FleetOutcome[Key] }

interface OpenAttempt {
  readonly server: FakeServer
  readonly stream: FakeStream
  startedAt?: number
}

interface OpenRequest {
  readonly id: string
  readonly request: FleetRequest
  readonly outcome: MutableOutcome
  readonly router: Router
  readonly attempts: Map<number, OpenAttempt>
  chosen?: number
}

/** One run; everything that varies follows from the seed. */
export class FleetRun {
  private readonly clock = new ManualClock()
  private readonly events = new EventQueue()
  private readonly random: RandomSource
  private readonly servers: readonly FakeServer[]
  private readonly serversById: ReadonlyMap<string, FakeServer>
  private readonly routers: readonly Router[]
  private readonly open = new Map<string, OpenRequest>()
  private readonly sessionServers = new Map<string, string>()
  private readonly loads: (readonly number[])[] = []
  private usefulWork = 0
  private wastedWork = 0
  private readonly computedBlocks = new Set<string>()
  private recomputedTokens = 0

  constructor (private readonly settings: FleetSettings, createRouter: RouterFactory) {
    const now = () => this.clock.monotonic()
    this.random = createRandomSource(settings.seed)
    this.servers = Array.from({ length: settings.servers }, (_, index) => new FakeServer(`server-${index}`, settings.server, this.events, now))
    this.serversById = new Map(this.servers.map(server => [server.id, server]))
    this.routers = Array.from({ length: settings.instances }, (_, index) => createRouter(this.clock, createRandomSource(settings.seed * 1000 + index)))
    const routed: readonly RoutedServer[] = this.servers.map(({ id }) => ({ id, zone: 'zone', service: 'engines', versions: ['version'], leaving: false }))
    for (const router of this.routers) router.updateServers(routed)
  }

  run (requests: readonly FleetRequest[]): FleetResult {
    const outcomes = requests.map((request, index) => this.scheduleArrival(request, index))
    this.schedulePeriodic()
    for (const { server, from, until, factor } of this.settings.slowMoments ?? []) {
      this.events.push(from, () => this.servers[server].slowDown(factor))
      this.events.push(until, () => this.servers[server].slowDown(1))
    }
    while (this.events.nextAt <= this.settings.duration) {
      this.clock.advanceTo(this.events.nextAt)
      this.events.shift()?.()
    }
    return { outcomes, loads: this.loads, extraWork: this.wastedWork / Math.max(1, this.usefulWork), recomputedTokens: this.recomputedTokens }
  }

  private scheduleArrival (request: FleetRequest, index: number): FleetOutcome {
    const outcome: MutableOutcome = { request, attempts: 0, hedges: 0 }
    const router = this.routers[this.random.integer(0, this.routers.length - 1)]
    this.events.push(request.at, () => this.arrive({ id: `request-${index}`, request, outcome, router, attempts: new Map() }))
    return outcome
  }

  private schedulePeriodic (): void {
    const { reportInterval, reportLag } = this.settings
    this.every(TICK_INTERVAL_MILLISECONDS, 0, () => { for (const router of this.routers) this.carryOut(router.tick()) })
    this.every(LOAD_SAMPLE_MILLISECONDS, 0, () => {
      for (const server of this.servers) server.takeSnapshot()
      this.loads.push(this.servers.map(({ load }) => load))
    })
    for (const router of this.routers) {
      this.every(reportInterval, this.random.uniform() * reportInterval, () => { for (const server of this.servers) this.report(router, server, reportLag) })
    }
    this.every(CACHE_EVENT_LAG_MILLISECONDS, CACHE_EVENT_LAG_MILLISECONDS, () => this.publishCaches())
  }

  private every (interval: number, phase: number, run: () => void): void {
    this.events.push(this.clock.monotonic() + phase, () => {
      run()
      this.every(interval, interval, run)
    })
  }

  private report (router: Router, server: FakeServer, lag: number): void {
    const report = server.reportWithLag(lag)
    if (report !== undefined) router.reportLoad(server.id, report)
  }

  private publishCaches (): void {
    for (const server of this.servers) {
      const { stored, evicted } = server.takeCacheChanges()
      const isKept = () => !this.random.chance(CACHE_EVENT_LOSS)
      const changes = { stored: stored.filter(isKept), evicted: evicted.filter(isKept) }
      this.events.push(this.clock.monotonic() + CACHE_EVENT_LAG_MILLISECONDS, () => {
        for (const router of this.routers) router.reportCache(server.id, changes.stored, changes.evicted)
      })
    }
  }

  private arrive (open: OpenRequest): void {
    const { id, request, router } = open
    const now = this.clock.monotonic()
    this.open.set(id, open)
    this.events.push(request.at + request.deadline, () => this.giveUp(open))
    this.carryOut(router.submit({
      id,
      workspace: request.workspace,
      target: { kind: 'version', id: 'version' },
      workClass: 'standard',
      promptTokens: request.promptTokens,
      maximumOutputTokens: request.maximumOutputTokens,
      arrivedAt: now,
      deadline: now + request.deadline,
      repeatable: true,
      sessionServer: request.session === undefined ? undefined : this.sessionServers.get(request.session),
      prefixBlocks: request.prefixBlocks
    }))
  }

  /** The caller goes away at its deadline; its work is cancelled, for every router alike. */
  private giveUp (open: OpenRequest): void {
    if (!this.open.delete(open.id)) return
    open.outcome.abandonedAt = this.clock.monotonic()
    this.carryOut(open.router.observe({ kind: 'abandoned', requestId: open.id }))
    for (const attempt of open.attempts.values()) this.wastedWork += attempt.server.cancel(attempt.stream)
  }

  private carryOut (decisions: readonly RoutingDecision[]): void {
    for (const decision of decisions) {
      const open = this.open.get(decision.requestId)
      if (open === undefined) continue
      if (decision.kind === 'dispatch') this.dispatch(open, decision)
      else if (decision.kind === 'cancel') this.cancel(open, decision.attempt)
      else {
        this.open.delete(open.id)
        open.outcome.refusedAt = this.clock.monotonic()
        open.outcome.refusal = decision.code
      }
    }
  }

  private dispatch (open: OpenRequest, { attempt: number, server: serverId, priority, reason }: Extract<RoutingDecision, { kind: 'dispatch' }>): void {
    const server = this.serversById.get(serverId) as FakeServer
    const { promptTokens, outputTokens, prefixBlocks } = open.request
    const attempt: OpenAttempt = {
      server,
      stream: {
        priority,
        promptTokens,
        outputTokens,
        prefixBlocks,
        onStart: missingBlocks => {
          attempt.startedAt = this.clock.monotonic()
          this.countComputed(missingBlocks)
        },
        onFirstToken: () => this.later(() => this.takeFirstToken(open, number, attempt)),
        onFinish: () => this.later(() => this.finish(open, number, attempt))
      }
    }
    open.attempts.set(number, attempt)
    open.outcome.attempts++
    if (reason === 'hedge') open.outcome.hedges++
    this.later(() => { if (open.attempts.get(number) === attempt && this.open.has(open.id)) server.submit(attempt.stream) })
  }

  /** A block that was computed before, on whichever server, is computed again. */
  private countComputed (blocks: readonly string[]): void {
    for (const block of blocks) {
      if (this.computedBlocks.has(block)) this.recomputedTokens += this.settings.server.blockTokens
      this.computedBlocks.add(block)
    }
  }

  private cancel (open: OpenRequest, number: number): void {
    const attempt = open.attempts.get(number)
    if (attempt === undefined) return
    open.attempts.delete(number)
    this.later(() => { this.wastedWork += attempt.server.cancel(attempt.stream) })
  }

  private takeFirstToken (open: OpenRequest, number: number, attempt: OpenAttempt): void {
    if (!this.open.has(open.id) || open.attempts.get(number) !== attempt || open.chosen !== undefined) return
    open.chosen = number
    open.outcome.startedAt = attempt.startedAt
    open.outcome.firstTokenAt = this.clock.monotonic()
    this.report(open.router, attempt.server, this.settings.reportLag)
    this.carryOut(open.router.observe({ kind: 'first-token', requestId: open.id, attempt: number }))
  }

  private finish (open: OpenRequest, number: number, attempt: OpenAttempt): void {
    const { promptTokens, outputTokens, session } = open.request
    if (open.chosen !== number || !this.open.delete(open.id)) {
      this.wastedWork += aloneMilliseconds(this.settings.server, promptTokens, outputTokens)
      return
    }
    this.usefulWork += aloneMilliseconds(this.settings.server, promptTokens, outputTokens)
    open.outcome.finishedAt = this.clock.monotonic()
    if (session !== undefined) this.sessionServers.set(session, attempt.server.id)
    this.report(open.router, attempt.server, this.settings.reportLag)
    this.carryOut(open.router.observe({ kind: 'finished', requestId: open.id, attempt: number, outputTokens }))
  }

  private later (run: () => void): void {
    this.events.push(this.clock.monotonic() + LINK_DELAY_MILLISECONDS, run)
  }
}
