/**
 * The choice of a server for one attempt.
 *
 * Servers are compared by the estimated time until the answer: prompt tokens to read, the slower
 * steps of a fuller batch, waiting for a slot, and a price for leaving the availability zone.
 * Instances agree on a home for each shared prompt part by rendezvous hashing, so that a part is
 * read by few servers without the instances talking to each other.
 */

import { rendezvousWeight } from '#jayfall/shared'

import { currentFailureRate, estimateLoad, slotsOf, type BackendDirectory, type BackendRow } from './JayfallBackendDirectory'
import {
  MAXIMUM_FAILURE_RATE, OTHER_ZONE_MILLISECONDS, PLAIN_WORK_MILLISECONDS, PROMPT_TOKENS_PER_MILLISECOND, STEP_MILLISECONDS_PER_REQUEST, WAITING_MILLISECONDS_PER_REQUEST
} from './JayfallForwardingConstants'
import { type PromptPart } from './JayfallForwardingProtocol'
import { type PromptHolders } from './JayfallPromptHolders'

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

/** How a choice came about, for the decision's log line. */
export interface BackendChoiceResult {
  readonly row: BackendRow
  readonly estimatedLoad: number
  /** Milliseconds since the server's last load report. */
  readonly reportAge: number
  readonly heldTokens: number
}

/** Chooses a server. */
export abstract class BackendChoice {
  /** undefined when no server may be used. */
  abstract choose (request: ChoiceRequest, now: number): BackendChoiceResult | undefined
}

/** Takes the server with the least estimated time. */
export class EstimatedTimeChoice extends BackendChoice {
  constructor (private readonly directory: BackendDirectory, private readonly holders: PromptHolders, private readonly zone: string) {
    super()
  }

  override choose (request: ChoiceRequest, now: number): BackendChoiceResult | undefined {
    const usable = [...this.usable(request)]
    const healthy = usable.filter(row => isHealthy(row, now))
    const candidates = healthy.length > 0 ? healthy : usable
    let best: BackendRow | undefined
    let bestCost = Infinity
    for (const row of candidates) {
      const cost = this.cost(request, row, now)
      if (cost >= bestCost) continue
      best = row
      bestCost = cost
    }
    if (best === undefined) return undefined
    return {
      row: best,
      estimatedLoad: estimateLoad(best, now),
      reportAge: now - best.reportedAt,
      heldTokens: this.heldTokens(request, best, now)
    }
  }

  private * usable ({ service, tried, allowsVersion }: ChoiceRequest): Generator<BackendRow> {
    for (const row of this.directory.ofService(service)) {
      if (!row.server.isLeaving && !tried.has(row.server.id) && allowsVersion(row.server.version)) yield row
    }
  }

  private cost (request: ChoiceRequest, row: BackendRow, now: number): number {
    const load = estimateLoad(row, now)
    const slots = slotsOf(row)
    const waiting = Math.max(0, load + 1 - slots)
    const slowness = row.report?.slowness ?? 1
    const zone = row.server.zone === this.zone ? 0 : OTHER_ZONE_MILLISECONDS
    if (request.model === undefined) {
      return (load + 1 + waiting) / slots * PLAIN_WORK_MILLISECONDS * slowness + PLAIN_WORK_MILLISECONDS * (slowness - 1) + zone
    }
    const unread = Math.max(0, request.promptTokens - this.heldTokens(request, row, now))
    const steps = load * STEP_MILLISECONDS_PER_REQUEST * request.outputTokens
    return (unread / PROMPT_TOKENS_PER_MILLISECOND + steps + waiting * WAITING_MILLISECONDS_PER_REQUEST) * slowness + zone + this.homeCost(request, row)
  }

  private heldTokens ({ model, parts }: ChoiceRequest, row: BackendRow, now: number): number {
    return model === undefined ? 0 : this.holders.heldTokens(row.server.id, model, parts, now)
  }

  /** Up to the time of reading the shared parts, least at the home that all instances agree on. */
  private homeCost ({ model, parts }: ChoiceRequest, row: BackendRow): number {
    const shared = parts.slice(0, -1)
    const last = shared.at(-1)
    if (last === undefined) return 0
    const tokens = shared.reduce((sum, part) => sum + part.tokens, 0)
    return tokens / PROMPT_TOKENS_PER_MILLISECOND * (1 - rendezvousWeight(`${model}/${last.id}`, row.server.id) / 2 ** 48)
  }
}

function isHealthy (row: BackendRow, now: number): boolean {
  return now >= row.avoidedUntil && currentFailureRate(row, now) <= MAXIMUM_FAILURE_RATE
}
