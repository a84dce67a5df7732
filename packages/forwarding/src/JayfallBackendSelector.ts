/**
 * Selects a server for one attempt.
 *
 * Servers are compared by the estimated time to the first event. The estimate covers queued prompts,
 * the prefill of the prompt tokens that the server has not cached, and the longer batch steps of a
 * busy engine. Rendezvous hashing maps each shared prompt part to the same affinity servers on all
 * instances, so that few servers process the part although the instances exchange no messages.
 *
 * Where some service is ordered by priority, instances know the load of servers from each other's reports. There equally
 * good servers are told apart by a draw, a busy engine that has been silent for long counts as held up, and a request of
 * that service stays in its zone unless it may leave, or its prompt is probably cached in another one.
 */

import { equalCostDraw, FixedZonePolicy, knownLoadCost, silenceOf, type ColdServers, type LongWorkLanes, type WorkOrders, type ZoneEvacuations, type ZonePolicy, type ZoneSpill } from '#jayfall/capacity'
import { combineHashes, hashName } from '#jayfall/shared'

import { currentFailureRate, estimateLoad, estimateWaitingRequests, isOutOfReach, remainingPeerPrefillTime, sharedLoadOf, slotsOf, type BackendDirectory, type BackendRow } from './JayfallBackendDirectory'
import {
  FIRST_EVENT_OVERHEAD_MILLISECONDS, MAXIMUM_FAILURE_RATE, OTHER_ZONE_COST_MILLISECONDS, PLAIN_WORK_MILLISECONDS, PREFILL_COST_FACTOR, SECOND_AFFINITY_SERVER_SHARE, BATCH_STEP_MILLISECONDS_PER_REQUEST
} from './JayfallForwardingConstants'
import { type PromptPart } from './JayfallForwardingProtocol'
import { type PromptCacheTracker } from './JayfallPromptCacheTracker'
import { type PrefillTimes } from './JayfallPrefillTimes'
import { type ServerLimits } from './JayfallServerLimits'

export interface SelectionRequest {
  readonly service: string
  readonly requestId: string
  /** The model to run; undefined for plain requests. */
  readonly model: string | undefined
  /** The operators' priority; 0 is the most urgent. */
  readonly priority: number
  /** Milliseconds within which a first event, or a plain answer, is timely. */
  readonly objective: number
  readonly promptTokens: number
  readonly outputTokens: number
  readonly promptParts: readonly PromptPart[]
  /** Identifiers of servers that must not be selected. */
  readonly triedServers: ReadonlySet<string>
  /** Whether a server of this version may be selected. */
  readonly allowsVersion: (version: string) => boolean
}

/** The selected server with the estimates that the selection is based on. */
export interface BackendSelection {
  readonly row: BackendRow
  readonly estimatedLoad: number
  /** Milliseconds since the server's last load report. */
  readonly loadReportAge: number
  /** Prompt tokens that the server is not assumed to have cached. */
  readonly uncachedTokens: number
  /** Estimated milliseconds of prefill of these tokens. */
  readonly prefillTime: number
  /** Estimated milliseconds of prefill of other instances' prompts that the server processes first. */
  readonly peerPrefillTime: number
  /** Estimated milliseconds to the first event; for plain requests, to the whole answer. */
  readonly timeToFirstEvent: number
  /** The part of that time which the prompt and the work that is known to come before it explain. */
  readonly explainedTimeToFirstEvent: number
  /** Whether the prompt is kept on the lane of long prompts. */
  readonly isInLane: boolean
  /** The factor, from 0 to 1, for the confidence below which the request is asked again of a larger model, by the room for its prompt. */
  readonly escalationFactor: number
}

/** Strategy for the selection of a server. */
export abstract class BackendSelector {
  /** Returns undefined when no server may be used. */
  abstract select (request: SelectionRequest, now: number): BackendSelection | undefined
  /** The shortest time to the first event that known work explains at any server that may be used, in milliseconds; Infinity when there is none. */
  abstract shortestExplainedTime (request: SelectionRequest, now: number): number
  /** Milliseconds until a server that is out of reach is tried again; undefined when no server of the service is out of reach. */
  abstract timeUntilReach (service: string, now: number): number | undefined
  /** The share of the service's servers in use that are out of reach. */
  abstract outOfReachShare (service: string, now: number): number
  /** Milliseconds until this instance gets a new share of a cold server that could take the request; undefined when no server waits for that. */
  abstract timeUntilColdShare (request: SelectionRequest, now: number): number | undefined
  /** Whether the service has servers and all of them are in evacuated zones. */
  abstract isEvacuated (service: string): boolean
  /** Milliseconds after which a refused caller may return because of limits that servers named; undefined when no server is kept from work by its limit. */
  abstract refuseForLimits (service: string): number | undefined
}

/** What a request is decided by in all its selections. */
interface SelectionScope {
  readonly affinityServers: readonly string[]
  readonly zonePolicy: ZonePolicy
  /** Set where instances share load reports. */
  readonly shared: SharedLoadScope | undefined
  readonly isInLane: boolean
}

interface SharedLoadScope {
  readonly requestHash: number
  /** Mean age of the reports of the service's servers, in milliseconds. */
  readonly meanReportAge: number
}

interface Candidate extends BackendSelection {
  readonly cost: number
}

interface WeightedServer {
  readonly id: string
  readonly weight: number
}

const NO_SERVER: WeightedServer = { id: '', weight: -1 }
const HASH_COUNT = 2 ** 32

/** Limits on what servers get, and the order of services. */
export interface SelectionPolicies {
  /** Limits that servers name. */
  readonly limits: ServerLimits
  readonly coldServers: ColdServers
  readonly evacuations: ZoneEvacuations
  readonly workOrders: WorkOrders
  readonly zoneSpill: ZoneSpill
  readonly lanes: LongWorkLanes
}

/** Selects the server with the lowest estimated time to the first event, plus costs for other requests and for leaving the zone. */
export class EstimatedTimeSelector extends BackendSelector {
  private readonly fixedZonePolicy = new FixedZonePolicy(OTHER_ZONE_COST_MILLISECONDS)

  constructor (private readonly directory: BackendDirectory, private readonly promptCache: PromptCacheTracker, private readonly prefillTimes: PrefillTimes, private readonly ownZone: string, private readonly policies: SelectionPolicies) {
    super()
  }

  override select (request: SelectionRequest, now: number): BackendSelection | undefined {
    const usable = this.findUsableRows(request, now)
    const healthy = usable.filter(row => isHealthy(row, now) && !this.directory.isZoneUnreachable(row.server.zone, now))
    const known = healthy.length > 0 ? healthy : usable
    const { workOrders, zoneSpill } = this.policies
    const isShared = workOrders.areLoadsShared
    const requestHash = isShared ? hashName(`${request.requestId}/${request.triedServers.size}`) : 0
    const zonePolicy = workOrders.isPriorityFirst(request.service) ? zoneSpill : this.fixedZonePolicy
    const isInLane = this.belongsToLane(request, now)
    const pool = isInLane ? this.withinLane(known) : known
    const affinityServers = this.findAffinityServers(request, pool)
    const candidates = zonePolicy.mayLeave(request.service, requestHash / HASH_COUNT) ? pool : this.withinOwnZone(pool, affinityServers)
    const shared = isShared ? { requestHash, meanReportAge: this.directory.meanReportAge(request.service, now) } : undefined
    const scope = { affinityServers, zonePolicy, shared, isInLane }
    let cheapest: Candidate | undefined
    for (const row of candidates) {
      const candidate = request.model === undefined ? this.evaluatePlainServer(scope, row, now) : this.evaluateEngine(request, request.model, scope, row, now)
      if (cheapest === undefined || candidate.cost < cheapest.cost) cheapest = candidate
    }
    return cheapest
  }

  override shortestExplainedTime (request: SelectionRequest, now: number): number {
    const { model } = request
    const usable = this.findUsableRows(request, now)
    const scope = { affinityServers: this.findAffinityServers(request, usable), zonePolicy: this.fixedZonePolicy, shared: undefined, isInLane: false }
    return Math.min(Infinity, ...usable.map(row => model === undefined ? 0 : this.evaluateEngine(request, model, scope, row, now).explainedTimeToFirstEvent))
  }

  override timeUntilReach (service: string, now: number): number | undefined {
    const times = [...this.directory.rowsOfService(service)].filter(row => isOutOfReach(row, now)).map(({ avoidedUntil }) => avoidedUntil - now)
    return times.length === 0 ? undefined : Math.min(...times)
  }

  override outOfReachShare (service: string, now: number): number {
    const rows = [...this.directory.rowsOfService(service)].filter(({ server }) => !server.isDraining && !this.policies.evacuations.isEvacuated(server.zone))
    return rows.length === 0 ? 0 : rows.filter(row => isOutOfReach(row, now)).length / rows.length
  }

  override isEvacuated (service: string): boolean {
    const inUse = [...this.directory.rowsOfService(service)].filter(({ server }) => !server.isDraining)
    return inUse.length > 0 && inUse.every(({ server }) => this.policies.evacuations.isEvacuated(server.zone))
  }

  override refuseForLimits (service: string): number | undefined {
    const limited = [...this.directory.rowsOfService(service)].filter(({ server }) => !server.isDraining && !this.policies.limits.maySend(server.id))
    return this.policies.limits.refuse(limited.map(({ server }) => server.id))
  }

  override timeUntilColdShare (request: SelectionRequest, now: number): number | undefined {
    const { coldServers } = this.policies
    for (const { server } of this.findRowsInUse(request, now)) if (!coldServers.maySend(server.id)) return coldServers.untilNextShare
    return undefined
  }

  private findUsableRows (request: SelectionRequest, now: number): readonly BackendRow[] {
    const { coldServers } = this.policies
    return [...this.findRowsInUse(request, now)].filter(({ server }) => coldServers.maySend(server.id))
  }

  /** Servers that may take the request, or could if they were not cold. */
  private * findRowsInUse ({ service, triedServers, allowsVersion }: SelectionRequest, now: number): Generator<BackendRow> {
    const { limits, evacuations } = this.policies
    for (const row of this.directory.rowsOfService(service)) {
      const { id, isDraining, version, zone } = row.server
      if (!isDraining && !triedServers.has(id) && allowsVersion(version) && !evacuations.isEvacuated(zone) && !isOutOfReach(row, now) && limits.maySend(id)) yield row
    }
  }

  /** The servers of the own zone and those that probably have the prompt in their cache, or all when the zone has none. */
  private withinOwnZone (rows: readonly BackendRow[], affinityServers: readonly string[]): readonly BackendRow[] {
    if (!rows.some(({ server }) => server.zone === this.ownZone)) return rows
    return rows.filter(({ server }) => server.zone === this.ownZone || affinityServers.includes(server.id))
  }

  /** Whether the prompt is long, and can wait longer than others that it would hold up. */
  private belongsToLane ({ service, model, priority, objective, promptTokens }: SelectionRequest, now: number): boolean {
    const { lanes, workOrders } = this.policies
    return model !== undefined && workOrders.mayWaitForOthers(service, priority, objective) && lanes.isLong(this.prefillTimes.estimate(model, promptTokens, now))
  }

  /** The servers of the lane, or all when none of them can be used. */
  private withinLane (rows: readonly BackendRow[]): readonly BackendRow[] {
    const inLane = rows.filter(({ server }) => this.policies.lanes.isInLane(server.service, server))
    return inLane.length > 0 ? inLane : rows
  }

  /** What it costs a prompt to go where long ones are kept. All candidates of one that belongs there cost it alike. */
  private laneCost ({ server }: BackendRow): number {
    const { lanes, workOrders } = this.policies
    // A lane that was determined before the configuration changed does not count any longer.
    return workOrders.isPriorityFirst(server.service) ? lanes.price(server.service, server) : 0
  }

  private evaluatePlainServer ({ zonePolicy, shared, isInLane }: SelectionScope, row: BackendRow, now: number): Candidate {
    const estimatedLoad = shared === undefined ? estimateLoad(row, now) : sharedLoadOf(row)
    const slots = slotsOf(row)
    const waiting = Math.max(0, estimatedLoad + 1 - slots)
    const timeToFirstEvent = (1 + (estimatedLoad + 1 + waiting) / slots) * PLAIN_WORK_MILLISECONDS * slownessOf(row)
    return { row, estimatedLoad, loadReportAge: now - row.loadReportedAt, uncachedTokens: 0, prefillTime: 0, peerPrefillTime: 0, timeToFirstEvent, explainedTimeToFirstEvent: timeToFirstEvent, isInLane, escalationFactor: 1, cost: timeToFirstEvent + this.zoneCost(zonePolicy, row) + drawOf(shared, row, PLAIN_WORK_MILLISECONDS / slots) }
  }

  private evaluateEngine (request: SelectionRequest, model: string, { affinityServers, zonePolicy, shared, isInLane }: SelectionScope, row: BackendRow, now: number): Candidate {
    const estimatedLoad = shared === undefined ? estimateLoad(row, now) : sharedLoadOf(row)
    const uncachedTokens = Math.max(0, request.promptTokens - this.estimateCachedTokens(request, model, affinityServers, row, now))
    const prefillTime = this.prefillTimes.estimate(model, uncachedTokens, now)
    const peerPrefillTime = remainingPeerPrefillTime(row, now)
    const knownQueueTime = Math.max(row.pendingPrefillTime + peerPrefillTime, estimateWaitingRequests(row, now) * this.prefillTimes.meanPrefillTime)
    const silence = shared === undefined || (row.loadReport?.running ?? 0) === 0 ? 0 : silenceOf(now - row.loadReportedAt, shared.meanReportAge)
    const queueTime = Math.max(knownQueueTime, silence, this.directory.expectedFirstEventDelay(row, now))
    const timeToFirstEvent = (FIRST_EVENT_OVERHEAD_MILLISECONDS + queueTime + prefillTime) * slownessOf(row)
    const explainedTimeToFirstEvent = (FIRST_EVENT_OVERHEAD_MILLISECONDS + knownQueueTime + prefillTime) * slownessOf(row)
    const batchStepTime = shared === undefined ? estimatedLoad * BATCH_STEP_MILLISECONDS_PER_REQUEST * request.outputTokens : knownLoadCost(estimatedLoad, slotsOf(row), request.outputTokens)
    const cost = timeToFirstEvent + prefillTime * (PREFILL_COST_FACTOR - 1) + batchStepTime + this.zoneCost(zonePolicy, row) + this.laneCost(row) + drawOf(shared, row)
    return { row, estimatedLoad, loadReportAge: now - row.loadReportedAt, uncachedTokens, prefillTime, peerPrefillTime, timeToFirstEvent, explainedTimeToFirstEvent, isInLane, escalationFactor: isInLane ? this.policies.lanes.escalationFactor(request.service, row.server.version) : 1, cost }
  }

  private estimateCachedTokens ({ promptParts }: SelectionRequest, model: string, affinityServers: readonly string[], row: BackendRow, now: number): number {
    const rank = affinityServers.indexOf(row.server.id)
    const sharedTokens = rank === -1 ? 0 : sumTokens(promptParts.slice(0, -1)) * (rank === 0 ? 1 : SECOND_AFFINITY_SERVER_SHARE)
    return Math.max(sharedTokens, this.promptCache.cachedTokens(row.server.id, model, promptParts, now))
  }

  /** The two servers, in order of preference, that all instances expect to have cached the shared parts of the prompt. */
  private findAffinityServers ({ model, promptParts }: SelectionRequest, candidates: readonly BackendRow[]): readonly string[] {
    const lastSharedPart = promptParts.at(-2)
    if (lastSharedPart === undefined || model === undefined) return []
    const partHash = hashName(lastSharedPart.id)
    let [first, second]: readonly WeightedServer[] = [NO_SERVER, NO_SERVER]
    for (const { server, affinityHash } of candidates) {
      const weight = combineHashes(partHash, affinityHash)
      if (weight > first.weight) [first, second] = [{ id: server.id, weight }, first]
      else if (weight > second.weight) second = { id: server.id, weight }
    }
    return [first.id, second.id]
  }

  private zoneCost ({ price }: ZonePolicy, { server }: BackendRow): number {
    return server.zone === this.ownZone ? 0 : price
  }
}

/** @param range milliseconds: what one more request costs a plain server, and by default what a few more cost an engine. */
function drawOf (shared: SharedLoadScope | undefined, { affinityHash }: BackendRow, range?: number): number {
  return shared === undefined ? 0 : equalCostDraw(shared.requestHash, affinityHash, range)
}

function slownessOf ({ loadReport }: BackendRow): number {
  return loadReport?.slowness ?? 1
}

function sumTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0)
}

function isHealthy (row: BackendRow, now: number): boolean {
  return !row.isLapsed && now >= row.avoidedUntil && currentFailureRate(row, now) <= MAXIMUM_FAILURE_RATE
}
