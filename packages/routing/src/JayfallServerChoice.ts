/** Policies that choose a server for one attempt. */

import { type RandomSource } from '#jayfall/shared'

import { type Pool } from './JayfallPool'
import { type PrefixMap } from './JayfallPrefixMap'
import {
  AFFINITY_LOAD_FACTOR, AFFINITY_MAXIMUM_SLOWNESS, AFFINITY_MAXIMUM_WAIT_MILLISECONDS, CANDIDATE_SERVERS, FULL_OTHER_LANE_COST, OWN_LONG_ATTEMPT_WEIGHT, MINIMUM_AFFINITY_TOKENS,
  CANDIDATE_POSITION_COST, OTHER_LANE_CANDIDATE_SERVERS, OTHER_LANE_COST, OTHER_LANE_OCCUPANCY, OWN_ATTEMPT_WEIGHT, REPORTED_LOAD_WEIGHT, SESSION_PREFIX_FRACTION, WAIT_COST_PER_SECOND
} from './JayfallRoutingConstants'
import { type Lane, type RequestRow, type RoutingTables, type ServerRow } from './JayfallRoutingTables'
import { currentSlowness, currentWait, estimateLoad, isUsable, slotsOf } from './JayfallServerTracker'

/** Chooses among the servers of a pool that have not been tried. */
export abstract class ServerChoice {
  /** Returns the identifier of a server, or undefined when none may get new work now. */
  abstract choose (row: RequestRow, pool: Pool, now: number): string | undefined
}

/**
 * Keeps a request at the server that holds its prefix while that server is neither heavily loaded
 * nor slow, and otherwise compares the next few servers in rotation by estimated cost.
 */
export class EstimatedCostChoice extends ServerChoice {
  /** Positions in the server lists of each pool's lanes, at which the next comparison starts. */
  private readonly rotationPositions = new Map<string, number>()

  constructor (
    private readonly tables: Pick<RoutingTables, 'servers'>,
    private readonly prefixes: PrefixMap,
    private readonly random: RandomSource
  ) {
    super()
  }

  override choose (row: RequestRow, pool: Pool, now: number): string | undefined {
    return this.chooseHolder(row, pool, now) ?? this.chooseCheapest(row, pool, now, true) ?? this.chooseCheapest(row, pool, now, false)
  }

  /** Returns the server with the longest cached prefix that can take the request as well as others can. */
  private chooseHolder (row: RequestRow, pool: Pool, now: number): string | undefined {
    let best: string | undefined
    let bestPrefixFraction = MINIMUM_AFFINITY_TOKENS / Math.max(1, row.request.promptTokens)
    for (const [id, prefixFraction] of this.findHolders(row)) {
      const server = this.tables.servers.get(id)
      if (prefixFraction <= bestPrefixFraction || server === undefined || !this.isEligible(row, id, now, true)) continue
      if (row.lane === 'long' && !pool.isLongServer(id)) continue
      if (!this.isSuitableHolder(server, pool, now)) continue
      best = id
      bestPrefixFraction = prefixFraction
    }
    return best
  }

  /** Returns whether a server that holds the prefix is neither heavily loaded nor slow. */
  private isSuitableHolder (server: ServerRow, pool: Pool, now: number): boolean {
    const load = estimateLoad(server, pool.meanLoad, now) + 1
    return load <= Math.min(slotsOf(server), pool.meanLoad * AFFINITY_LOAD_FACTOR + 1) && server.delayBreaker.openDuration === 0 &&
      currentSlowness(server, now) < AFFINITY_MAXIMUM_SLOWNESS && currentWait(server, now) < AFFINITY_MAXIMUM_WAIT_MILLISECONDS
  }

  /** Returns the fraction of the prompt that each server is likely to hold, 0 to 1. */
  private findHolders (row: RequestRow): ReadonlyMap<string, number> {
    const { prefixBlocks, sessionServer } = row.request
    const holders = new Map(this.prefixes.findHolders(prefixBlocks))
    if (sessionServer !== undefined) holders.set(sessionServer, Math.max(SESSION_PREFIX_FRACTION, holders.get(sessionServer) ?? 0))
    return holders
  }

  private chooseCheapest (row: RequestRow, pool: Pool, now: number, isStrict: boolean): string | undefined {
    const candidates = this.findCandidates(row, pool, now, isStrict)
    let best: string | undefined
    let bestCost = Infinity
    for (const [position, id] of candidates.entries()) {
      const server = this.tables.servers.get(id)
      const cost = server === undefined ? Infinity : this.estimateCost(row, pool, server, now) + position * CANDIDATE_POSITION_COST
      if (cost >= bestCost) continue
      best = id
      bestCost = cost
    }
    if (best !== undefined) this.advanceRotation(row, pool, best)
    return best
  }

  /** Returns the cost of one more attempt on the server, in full servers. */
  private estimateCost (row: RequestRow, pool: Pool, server: ServerRow, now: number): number {
    const slots = slotsOf(server)
    const load = estimateLoad(server, pool.meanLoad, now) + 1
    // Beyond its slots a server makes the request wait, which is worse than a fuller batch.
    const occupancy = (load / slots + Math.max(0, load - slots) / slots) * REPORTED_LOAD_WEIGHT
    // This router's own open attempts are the only load that is known without delay; other instances distribute theirs alike.
    const ownLoad = (row.lane === 'long' ? server.openLongAttempts * OWN_LONG_ATTEMPT_WEIGHT : server.openAttempts * OWN_ATTEMPT_WEIGHT) / slots
    const wait = row.lane === 'short' ? currentWait(server, now) / 1000 * WAIT_COST_PER_SECOND : 0
    const otherLaneCost = row.lane === 'short' && pool.hasSplit && pool.isLongServer(server.server.id) ? this.estimateOtherLaneCost(load, slots) : 0
    return (occupancy + wait + ownLoad + otherLaneCost) * currentSlowness(server, now)
  }

  /** Returns the cost of short work on a server of long work. Slots of long work are released seldom, so short work goes there only while slots are certainly free. */
  private estimateOtherLaneCost (load: number, slots: number): number {
    return load > slots * OTHER_LANE_OCCUPANCY ? FULL_OTHER_LANE_COST : OTHER_LANE_COST
  }

  /** Returns the next few usable servers in rotation. All servers are examined only when none of these is usable. */
  private findCandidates (row: RequestRow, pool: Pool, now: number, isStrict: boolean): readonly string[] {
    const isAccepted = (id: string) => this.isEligible(row, id, now, isStrict)
    const ownLaneCandidates = this.nextCandidates(pool, row.lane, CANDIDATE_SERVERS, isAccepted)
    // Short work may use the servers of long work, but not the other way round.
    const otherLaneCandidates = row.lane === 'short' && pool.hasSplit ? this.nextCandidates(pool, 'long', OTHER_LANE_CANDIDATE_SERVERS, isAccepted) : []
    if (ownLaneCandidates.length + otherLaneCandidates.length > 0) return [...ownLaneCandidates, ...otherLaneCandidates]
    return this.random.sample(pool.servers.filter(isAccepted), CANDIDATE_SERVERS)
  }

  private nextCandidates (pool: Pool, lane: Lane, count: number, isAccepted: (id: string) => boolean): readonly string[] {
    const servers = pool.serversOf(lane)
    const startPosition = this.rotationPosition(pool, lane)
    const candidates: string[] = []
    for (let step = 0; step < Math.min(servers.length, count * 2) && candidates.length < count; step++) {
      const id = servers[(startPosition + step) % servers.length]
      if (isAccepted(id)) candidates.push(id)
    }
    return candidates
  }

  private rotationPosition (pool: Pool, lane: Lane): number {
    const key = `${pool.id}/${lane}`
    const knownPosition = this.rotationPositions.get(key)
    if (knownPosition !== undefined) return knownPosition
    // Each instance starts at a random position, so that instances that start together do not choose the same servers.
    const startPosition = this.random.integer(0, 1_000_000)
    this.rotationPositions.set(key, startPosition)
    return startPosition
  }

  private advanceRotation (row: RequestRow, pool: Pool, id: string): void {
    const lane = row.lane === 'short' && pool.hasSplit && pool.isLongServer(id) ? 'long' : row.lane
    const index = pool.positionOf(lane, id)
    if (index !== undefined) this.rotationPositions.set(`${pool.id}/${lane}`, index + 1)
  }

  private isEligible (row: RequestRow, id: string, now: number, isStrict: boolean): boolean {
    return !row.triedServers.includes(id) && isUsable(this.tables.servers.get(id), now, isStrict)
  }
}
