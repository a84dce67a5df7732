/** The servers that run one version or service, and the requests that wait for them. */

import { type Clock, halfLifeWeight, rendezvousWeight } from '#jayfall/shared'

import { ConcurrencyWindow } from './JayfallConcurrencyWindow'
import { LaneQueue } from './JayfallLaneQueue'
import { FairRequestQueue, type RequestQueue } from './JayfallRequestQueue'
import {
  FREE_SLOTS_FRACTION, LANE_WORK_HALF_LIFE_MILLISECONDS, LONG_SERVERS_HEADROOM_FACTOR, LONG_SERVERS_HYSTERESIS, LONG_SERVERS_MAXIMUM_SHARE, LONG_SERVERS_MINIMUM_SHARE,
  LONG_LANE_WAIT_LIMIT_MILLISECONDS, MINIMUM_LONG_WORK_SHARE, POOL_AVERAGE_WEIGHT, POOL_OCCUPANCY_WEIGHT, SHORT_LANE_WAIT_LIMIT_MILLISECONDS
} from './JayfallRoutingConstants'
import { type RoutedServer } from './JayfallRouter'
import { type Lane } from './JayfallRoutingTables'

/** One pool as one router sees it. */
export class Pool {
  readonly lanes: Readonly<Record<Lane, LaneQueue>>
  /** Average of the reported loads, in slots of one server. */
  private averageLoad = 0
  /** Average of the reported loads, as a fraction of the slots. */
  private averageOccupancy = 0
  /** Average number of slots of a server. */
  private averageSlots = 0
  /** Average time per token in milliseconds; 0 before any was observed. */
  private averageTokenTime = 0
  private serverIds: readonly string[] = []
  private shortLaneIds: readonly string[] = []
  private longLaneIds: readonly string[] = []
  private positions: Readonly<Record<Lane, ReadonlyMap<string, number>>> = { short: new Map(), long: new Map() }
  private isSplit = false
  /** Recent work of the long lane and of both lanes, in tokens; both decay over time. */
  private longWork = 0
  private totalWork = 0
  private workUpdatedAt = 0

  constructor (readonly id: string, private readonly clock: Clock, createQueue: () => RequestQueue = () => new FairRequestQueue()) {
    this.lanes = {
      short: new LaneQueue(clock, createQueue(), new ConcurrencyWindow(SHORT_LANE_WAIT_LIMIT_MILLISECONDS)),
      long: new LaneQueue(clock, createQueue(), new ConcurrencyWindow(LONG_LANE_WAIT_LIMIT_MILLISECONDS))
    }
  }

  /** Identifiers of all servers that are not leaving. */
  get servers (): readonly string[] {
    return this.serverIds
  }

  get meanLoad (): number {
    return this.averageLoad
  }

  get tokenTime (): number {
    return this.averageTokenTime
  }

  get queued (): number {
    return this.lanes.short.queue.size + this.lanes.long.queue.size
  }

  /** Number of attempts that one router may open whatever it used before: a fraction of the slots that reports show as free. */
  get freeAttempts (): number {
    return this.serverIds.length * this.averageSlots * (1 - this.averageOccupancy) * FREE_SLOTS_FRACTION
  }

  /** Returns the servers of a lane: long work is restricted to some of the servers, and short work prefers the others. */
  serversOf (lane: Lane): readonly string[] {
    return lane === 'long' ? this.longLaneIds : this.shortLaneIds
  }

  /**
   * Replaces the servers. All routers rank the servers of a service alike, so that they agree
   * on the split between the lanes without communication.
   */
  replaceServers (servers: readonly RoutedServer[]): void {
    this.serverIds = [...servers]
      .map(({ id, service }) => ({ id, weight: rendezvousWeight(service, id) }))
      .sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1))
      .map(({ id }) => id)
    this.assignServersToLanes()
  }

  /** Records the arrival of work, in tokens. */
  recordArrival (lane: Lane, work: number): void {
    const retainedWeight = halfLifeWeight(this.clock.monotonic() - this.workUpdatedAt, LANE_WORK_HALF_LIFE_MILLISECONDS)
    this.workUpdatedAt = this.clock.monotonic()
    this.longWork = this.longWork * retainedWeight + (lane === 'long' ? work : 0)
    this.totalWork = this.totalWork * retainedWeight + work
  }

  /** Gives long work as many servers as its fraction of the observed work and the reported load require. */
  assignServersToLanes (): void {
    const count = this.serverIds.length
    this.isSplit = count > 1 && this.longWork > this.totalWork * MINIMUM_LONG_WORK_SHARE
    if (!this.isSplit) {
      this.shortLaneIds = this.longLaneIds = this.serverIds
      this.updatePositions()
      return
    }
    const occupancy = Math.min(1, this.averageOccupancy)
    const longServersFraction = Math.max(LONG_SERVERS_MINIMUM_SHARE, this.longWork / Math.max(1, this.totalWork) * occupancy * LONG_SERVERS_HEADROOM_FACTOR)
    const targetCount = count * Math.min(LONG_SERVERS_MAXIMUM_SHARE, longServersFraction)
    // A server that some instances give to long work and others to short work serves neither well, so the split changes rarely.
    const isWithinHysteresis = Math.abs(targetCount - this.longLaneIds.length) < LONG_SERVERS_HYSTERESIS
    const longCount = Math.max(1, Math.min(count - 1, isWithinHysteresis ? this.longLaneIds.length : Math.round(targetCount)))
    this.longLaneIds = this.serverIds.slice(0, longCount)
    this.shortLaneIds = this.serverIds.slice(longCount)
    this.updatePositions()
  }

  /** Whether the lanes have servers of their own. */
  get hasSplit (): boolean {
    return this.isSplit
  }

  isLongServer (id: string): boolean {
    return this.positions.long.has(id)
  }

  /** Returns the index of a server in `serversOf(lane)`, or undefined. */
  positionOf (lane: Lane, id: string): number | undefined {
    return this.positions[lane].get(id)
  }

  /** Records the load that a server reported, in slots, and its number of slots. */
  recordReportedLoad (load: number, slots: number): void {
    this.averageSlots = this.averageSlots === 0 ? slots : this.averageSlots + (slots - this.averageSlots) * POOL_AVERAGE_WEIGHT
    this.averageOccupancy += (Math.min(1, load / slots) - this.averageOccupancy) * POOL_OCCUPANCY_WEIGHT
    this.averageLoad += (load - this.averageLoad) * POOL_AVERAGE_WEIGHT
  }

  recordTokenTime (milliseconds: number): void {
    this.averageTokenTime = this.averageTokenTime === 0 ? milliseconds : this.averageTokenTime + (milliseconds - this.averageTokenTime) * POOL_AVERAGE_WEIGHT
  }

  private updatePositions (): void {
    const indexPositions = (ids: readonly string[]) => new Map(ids.map((id, position) => [id, position]))
    this.positions = { short: indexPositions(this.shortLaneIds), long: indexPositions(this.longLaneIds) }
  }
}
