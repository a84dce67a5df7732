/** The servers that run one version or service, and the requests that wait for them. */

import { type Clock, halfLifeWeight, rendezvousWeight } from '#jayfall/shared'

import { ConcurrencyWindow } from './JayfallConcurrencyWindow'
import { LaneQueue } from './JayfallLaneQueue'
import { FairQueueOrder, type QueueOrder } from './JayfallQueueOrder'
import {
  FREE_WINDOW_SHARE, LANE_SHARE_HALF_LIFE_MILLISECONDS, LONG_SERVERS_HEADROOM, LONG_SERVERS_HYSTERESIS, LONG_SERVERS_MAXIMUM_SHARE, LONG_SERVERS_MINIMUM_SHARE,
  LONG_WAIT_MILLISECONDS, MINIMUM_LONG_WORK_SHARE, POOL_AVERAGE_WEIGHT, POOL_LOAD_WEIGHT, SHORT_WAIT_MILLISECONDS
} from './JayfallRoutingConstants'
import { type RoutedServer } from './JayfallRouter'
import { type Lane } from './JayfallRoutingTables'

/** One pool as one router sees it. */
export class Pool {
  readonly lanes: Readonly<Record<Lane, LaneQueue>>
  /** Average of the reported loads, in slots of one server. */
  private load = 0
  /** The same as a part of the slots. */
  private loadShare = 0
  private averageSlots = 0
  /** Average time of a token, in milliseconds; 0 before any was observed. */
  private averageTokenTime = 0
  private ids: readonly string[] = []
  private shortIds: readonly string[] = []
  private longIds: readonly string[] = []
  private positions: Readonly<Record<Lane, ReadonlyMap<string, number>>> = { short: new Map(), long: new Map() }
  private isSplit = false
  private longWork = 0
  private allWork = 0
  private arrivalsAt = 0

  constructor (readonly id: string, private readonly clock: Clock, createQueue: () => QueueOrder = () => new FairQueueOrder()) {
    this.lanes = {
      short: new LaneQueue(clock, createQueue(), new ConcurrencyWindow(SHORT_WAIT_MILLISECONDS)),
      long: new LaneQueue(clock, createQueue(), new ConcurrencyWindow(LONG_WAIT_MILLISECONDS))
    }
  }

  /** Identifiers of all servers that are not leaving. */
  get servers (): readonly string[] {
    return this.ids
  }

  get meanLoad (): number {
    return this.load
  }

  get tokenTime (): number {
    return this.averageTokenTime
  }

  get queued (): number {
    return this.lanes.short.queue.size + this.lanes.long.queue.size
  }

  /** Attempts that one router may open whatever it used before: a part of the slots that reports show as free. */
  get freeAttempts (): number {
    return this.ids.length * this.averageSlots * (1 - this.loadShare) * FREE_WINDOW_SHARE
  }

  /** The servers of a lane: long work keeps to a part of the servers, short work prefers the others. */
  serversOf (lane: Lane): readonly string[] {
    return lane === 'long' ? this.longIds : this.shortIds
  }

  /**
   * Replaces the servers. All routers rank the servers of a service alike, so that they agree
   * on the split between the lanes without seeing each other.
   */
  replaceServers (servers: readonly RoutedServer[]): void {
    this.ids = [...servers]
      .map(({ id, service }) => ({ id, weight: rendezvousWeight(service, id) }))
      .sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1))
      .map(({ id }) => id)
    this.splitServers()
  }

  /** Takes the arrival of work. */
  noteArrival (lane: Lane, work: number): void {
    const kept = halfLifeWeight(this.clock.monotonic() - this.arrivalsAt, LANE_SHARE_HALF_LIFE_MILLISECONDS)
    this.arrivalsAt = this.clock.monotonic()
    this.longWork = this.longWork * kept + (lane === 'long' ? work : 0)
    this.allWork = this.allWork * kept + work
  }

  /** Gives long work as many servers as its part of the observed work and the reported load call for. */
  splitServers (): void {
    const count = this.ids.length
    this.isSplit = count > 1 && this.longWork > this.allWork * MINIMUM_LONG_WORK_SHARE
    if (!this.isSplit) {
      this.shortIds = this.longIds = this.ids
      this.updatePositions()
      return
    }
    const occupied = Math.min(1, this.loadShare)
    const share = Math.max(LONG_SERVERS_MINIMUM_SHARE, this.longWork / Math.max(1, this.allWork) * occupied * LONG_SERVERS_HEADROOM)
    const wanted = count * Math.min(LONG_SERVERS_MAXIMUM_SHARE, share)
    // A server that some instances give to long work and others do not serves neither well, so the split seldom moves.
    const isSettled = Math.abs(wanted - this.longIds.length) < LONG_SERVERS_HYSTERESIS
    const longCount = Math.max(1, Math.min(count - 1, isSettled ? this.longIds.length : Math.round(wanted)))
    this.longIds = this.ids.slice(0, longCount)
    this.shortIds = this.ids.slice(longCount)
    this.updatePositions()
  }

  /** Whether the lanes have servers of their own. */
  get hasSplit (): boolean {
    return this.isSplit
  }

  isLongServer (id: string): boolean {
    return this.positions.long.has(id)
  }

  /** The index of a server in `serversOf(lane)`, or undefined. */
  positionOf (lane: Lane, id: string): number | undefined {
    return this.positions[lane].get(id)
  }

  /** Takes a reported load in slots. */
  noteReportedLoad (load: number, slots: number): void {
    this.averageSlots = this.averageSlots === 0 ? slots : this.averageSlots + (slots - this.averageSlots) * POOL_AVERAGE_WEIGHT
    this.loadShare += (Math.min(1, load / slots) - this.loadShare) * POOL_LOAD_WEIGHT
    this.load += (load - this.load) * POOL_AVERAGE_WEIGHT
  }

  noteTokenTime (milliseconds: number): void {
    this.averageTokenTime = this.averageTokenTime === 0 ? milliseconds : this.averageTokenTime + (milliseconds - this.averageTokenTime) * POOL_AVERAGE_WEIGHT
  }

  private updatePositions (): void {
    const index = (ids: readonly string[]) => new Map(ids.map((id, position) => [id, position]))
    this.positions = { short: index(this.shortIds), long: index(this.longIds) }
  }
}
