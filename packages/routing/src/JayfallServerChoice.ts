/** The choice of a server for one attempt. */

import { type RandomSource } from '#jayfall/shared'

import { type Pool } from './JayfallPool'
import { type PrefixMap } from './JayfallPrefixMap'
import {
  AFFINITY_LOAD_FACTOR, AFFINITY_MAXIMUM_SLOWNESS, AFFINITY_MAXIMUM_WAIT_MILLISECONDS, CHOICES, FULL_OTHER_LANE_COST, LONG_SPREAD_WEIGHT, MINIMUM_AFFINITY_TOKENS,
  ORDER_COST, OTHER_LANE_CHOICES, OTHER_LANE_COST, OTHER_LANE_OCCUPANCY, OWN_SPREAD_WEIGHT, REPORT_GAIN, SESSION_HIT, WAIT_COST
} from './JayfallRoutingConstants'
import { type Lane, type RequestRow, type RoutingTables, type ServerRow } from './JayfallRoutingTables'
import { currentSlowness, currentWait, estimateLoad, isUsable, slotsOf } from './JayfallServerTracker'

/** Chooses among the servers of a pool, those already tried left out. */
export abstract class ServerChoice {
  /** The identifier of a server, or undefined when none may get new work now. */
  abstract choose (row: RequestRow, pool: Pool, now: number): string | undefined
}

/**
 * Keeps a request at the server that holds its prefix while that server is neither crowded nor
 * slow, and otherwise compares the next few servers in turn by estimated cost.
 */
export class EstimatedCostChoice extends ServerChoice {
  /** Positions in the servers of each pool's lanes, at which the next comparison starts. */
  private readonly turns = new Map<string, number>()

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

  /** The server with the longest cached prefix that can take the request as well as others can. */
  private chooseHolder (row: RequestRow, pool: Pool, now: number): string | undefined {
    let best: string | undefined
    let bestHit = MINIMUM_AFFINITY_TOKENS / Math.max(1, row.request.promptTokens)
    for (const [id, hit] of this.findHolders(row)) {
      const server = this.tables.servers.get(id)
      if (hit <= bestHit || server === undefined || !this.mayTake(row, id, now, true)) continue
      if (row.lane === 'long' && !pool.isLongServer(id)) continue
      if (!this.isComfortable(server, pool, now)) continue
      best = id
      bestHit = hit
    }
    return best
  }

  private isComfortable (server: ServerRow, pool: Pool, now: number): boolean {
    const load = estimateLoad(server, pool.meanLoad, now) + 1
    return load <= Math.min(slotsOf(server), pool.meanLoad * AFFINITY_LOAD_FACTOR + 1) && server.delay.openFor === 0 &&
      currentSlowness(server, now) < AFFINITY_MAXIMUM_SLOWNESS && currentWait(server, now) < AFFINITY_MAXIMUM_WAIT_MILLISECONDS
  }

  private findHolders (row: RequestRow): ReadonlyMap<string, number> {
    const { prefixBlocks, sessionServer } = row.request
    const holders = new Map(this.prefixes.findHolders(prefixBlocks))
    if (sessionServer !== undefined) holders.set(sessionServer, Math.max(SESSION_HIT, holders.get(sessionServer) ?? 0))
    return holders
  }

  private chooseCheapest (row: RequestRow, pool: Pool, now: number, isStrict: boolean): string | undefined {
    const candidates = this.findCandidates(row, pool, now, isStrict)
    let best: string | undefined
    let bestCost = Infinity
    for (const [order, id] of candidates.entries()) {
      const server = this.tables.servers.get(id)
      const cost = server === undefined ? Infinity : this.cost(row, pool, server, now) + order * ORDER_COST
      if (cost >= bestCost) continue
      best = id
      bestCost = cost
    }
    if (best !== undefined) this.takeTurn(row, pool, best)
    return best
  }

  /** In full servers. */
  private cost (row: RequestRow, pool: Pool, server: ServerRow, now: number): number {
    const slots = slotsOf(server)
    const load = estimateLoad(server, pool.meanLoad, now) + 1
    // Beyond its slots a server makes the request wait, which is worse than a fuller batch.
    const occupancy = (load / slots + Math.max(0, load - slots) / slots) * REPORT_GAIN
    // Own open attempts are the only load that is known without delay; other instances spread theirs alike.
    const spread = (row.lane === 'long' ? server.openLong * LONG_SPREAD_WEIGHT : server.open * OWN_SPREAD_WEIGHT) / slots
    const wait = row.lane === 'short' ? currentWait(server, now) / 1000 * WAIT_COST : 0
    const otherLane = row.lane === 'short' && pool.hasSplit && pool.isLongServer(server.server.id) ? this.otherLaneCost(load, slots) : 0
    return (occupancy + wait + spread + otherLane) * currentSlowness(server, now)
  }

  /** A slot of long work is released seldom, so short work goes there only while slots are surely free. */
  private otherLaneCost (load: number, slots: number): number {
    return load > slots * OTHER_LANE_OCCUPANCY ? FULL_OTHER_LANE_COST : OTHER_LANE_COST
  }

  /** The next few usable servers in turn; all servers are looked through only when these are hard to find. */
  private findCandidates (row: RequestRow, pool: Pool, now: number, isStrict: boolean): readonly string[] {
    const accept = (id: string) => this.mayTake(row, id, now, isStrict)
    const found = this.draw(pool, row.lane, CHOICES, accept)
    // Short work spills over to the servers of long work, but not the other way.
    const spill = row.lane === 'short' && pool.hasSplit ? this.draw(pool, 'long', OTHER_LANE_CHOICES, accept) : []
    if (found.length + spill.length > 0) return [...found, ...spill]
    return this.random.sample(pool.servers.filter(accept), CHOICES)
  }

  private draw (pool: Pool, lane: Lane, count: number, accept: (id: string) => boolean): readonly string[] {
    const servers = pool.serversOf(lane)
    const start = this.turnOf(pool, lane)
    const found: string[] = []
    for (let step = 0; step < Math.min(servers.length, count * 2) && found.length < count; step++) {
      const id = servers[(start + step) % servers.length]
      if (accept(id)) found.push(id)
    }
    return found
  }

  private turnOf (pool: Pool, lane: Lane): number {
    const key = `${pool.id}/${lane}`
    const known = this.turns.get(key)
    if (known !== undefined) return known
    // Each instance starts elsewhere, so that instances that start together do not move together.
    const start = this.random.integer(0, 1_000_000)
    this.turns.set(key, start)
    return start
  }

  private takeTurn (row: RequestRow, pool: Pool, id: string): void {
    const lane = row.lane === 'short' && pool.hasSplit && pool.isLongServer(id) ? 'long' : row.lane
    const index = pool.positionOf(lane, id)
    if (index !== undefined) this.turns.set(`${pool.id}/${lane}`, index + 1)
  }

  private mayTake (row: RequestRow, id: string, now: number, isStrict: boolean): boolean {
    return !row.tried.includes(id) && isUsable(this.tables.servers.get(id), now, isStrict)
  }
}
