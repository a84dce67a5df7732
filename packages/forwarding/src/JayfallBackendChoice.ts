/**
 * The choice of a server for one attempt.
 *
 * Servers are compared by the estimated time until the first event: prompts that are read before,
 * tokens that the server must read itself, and the slower steps of a fuller batch. Instances agree
 * on homes for each shared prompt part by rendezvous hashing, so that a part is read by few servers
 * without the instances talking to each other.
 */

import { rendezvousRank } from '#jayfall/shared'

import { currentFailureRate, estimateLoad, estimateWaiting, othersReading, slotsOf, type BackendDirectory, type BackendRow } from './JayfallBackendDirectory'
import {
  FIRST_EVENT_MILLISECONDS, MAXIMUM_FAILURE_RATE, OTHER_ZONE_MILLISECONDS, PLAIN_WORK_MILLISECONDS, READING_EXTERNALITY, SECOND_HOLDER_SHARE, STEP_MILLISECONDS_PER_REQUEST
} from './JayfallForwardingConstants'
import { type PromptPart } from './JayfallForwardingProtocol'
import { type PromptHolders } from './JayfallPromptHolders'
import { type ReadingTimes } from './JayfallReadingTimes'

export interface ChoiceRequest {
  readonly service: string
  /** undefined for plain requests. */
  readonly model: string | undefined
  readonly promptTokens: number
  readonly outputTokens: number
  readonly parts: readonly PromptPart[]
  /** Servers that are left out. */
  readonly tried: ReadonlySet<string>
  /** Whether a server of this version may be used. */
  readonly allowsVersion: (version: string) => boolean
}

/** How a choice came about. */
export interface BackendChoiceResult {
  readonly row: BackendRow
  readonly estimatedLoad: number
  /** Milliseconds since the server's last load report. */
  readonly reportAge: number
  /** Prompt tokens that the server is not assumed to hold. */
  readonly unreadTokens: number
  /** Estimated milliseconds of reading them. */
  readonly reading: number
  /** Estimated milliseconds before that, of prompts that other instances sent. */
  readonly othersReading: number
  /** Estimated milliseconds until the first event; of the whole answer for plain requests. */
  readonly firstEvent: number
}

/** Chooses a server. */
export abstract class BackendChoice {
  /** undefined when no server may be used. */
  abstract choose (request: ChoiceRequest, now: number): BackendChoiceResult | undefined
}

interface Candidate extends BackendChoiceResult {
  readonly cost: number
}

/** Takes the server with the least estimated time. */
export class EstimatedTimeChoice extends BackendChoice {
  constructor (private readonly directory: BackendDirectory, private readonly holders: PromptHolders, private readonly times: ReadingTimes, private readonly zone: string) {
    super()
  }

  override choose (request: ChoiceRequest, now: number): BackendChoiceResult | undefined {
    const usable = [...this.usable(request)]
    const healthy = usable.filter(row => isHealthy(row, now) && !this.directory.isCutOff(row.server.zone, now))
    const candidates = healthy.length > 0 ? healthy : usable
    const homes = this.findHomes(request, candidates)
    let best: Candidate | undefined
    for (const row of candidates) {
      const candidate = request.model === undefined ? this.comparePlain(row, now) : this.compareEngine(request, request.model, homes, row, now)
      if (best === undefined || candidate.cost < best.cost) best = candidate
    }
    return best
  }

  private * usable ({ service, tried, allowsVersion }: ChoiceRequest): Generator<BackendRow> {
    for (const row of this.directory.ofService(service)) {
      if (!row.server.isDraining && !tried.has(row.server.id) && allowsVersion(row.server.version)) yield row
    }
  }

  private comparePlain (row: BackendRow, now: number): Candidate {
    const estimatedLoad = estimateLoad(row, now)
    const slots = slotsOf(row)
    const waiting = Math.max(0, estimatedLoad + 1 - slots)
    const firstEvent = (1 + (estimatedLoad + 1 + waiting) / slots) * PLAIN_WORK_MILLISECONDS * slownessOf(row)
    return { row, estimatedLoad, reportAge: now - row.reportedAt, unreadTokens: 0, reading: 0, othersReading: 0, firstEvent, cost: firstEvent + this.zoneCost(row) }
  }

  private compareEngine (request: ChoiceRequest, model: string, homes: readonly string[], row: BackendRow, now: number): Candidate {
    const estimatedLoad = estimateLoad(row, now)
    const unreadTokens = Math.max(0, request.promptTokens - this.heldTokens(request, model, homes, row, now))
    const reading = this.times.estimate(model, unreadTokens, now)
    const others = othersReading(row, now)
    const queued = Math.max(row.pendingReading + others, estimateWaiting(row, now) * this.times.usual, this.directory.expectedDelay(row, now))
    const firstEvent = (FIRST_EVENT_MILLISECONDS + queued + reading) * slownessOf(row)
    const steps = estimatedLoad * STEP_MILLISECONDS_PER_REQUEST * request.outputTokens
    const cost = firstEvent + reading * (READING_EXTERNALITY - 1) + steps + this.zoneCost(row)
    return { row, estimatedLoad, reportAge: now - row.reportedAt, unreadTokens, reading, othersReading: others, firstEvent, cost }
  }

  private heldTokens ({ parts }: ChoiceRequest, model: string, homes: readonly string[], row: BackendRow, now: number): number {
    const rank = homes.indexOf(row.server.id)
    const shared = rank === -1 ? 0 : sumTokens(parts.slice(0, -1)) * (rank === 0 ? 1 : SECOND_HOLDER_SHARE)
    return Math.max(shared, this.holders.heldTokens(row.server.id, model, parts, now))
  }

  /** The two servers that all instances expect to hold the shared parts of the prompt, in order. */
  private findHomes ({ model, parts }: ChoiceRequest, candidates: readonly BackendRow[]): readonly string[] {
    const last = parts.at(-2)
    if (last === undefined || model === undefined) return []
    return rendezvousRank(last.id, candidates.map(({ server }) => server.id)).slice(0, 2)
  }

  private zoneCost ({ server }: BackendRow): number {
    return server.zone === this.zone ? 0 : OTHER_ZONE_MILLISECONDS
  }
}

function slownessOf ({ report }: BackendRow): number {
  return report?.slowness ?? 1
}

function sumTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0)
}

function isHealthy (row: BackendRow, now: number): boolean {
  return !row.isLapsed && now >= row.avoidedUntil && currentFailureRate(row, now) <= MAXIMUM_FAILURE_RATE
}
