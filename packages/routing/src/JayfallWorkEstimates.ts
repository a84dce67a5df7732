/**
 * Estimates of a request's work from its body and from the router's own observations.
 *
 * The latest observations are kept for each target, work class and size of the requested maximum
 * output. A prediction averages them, weighted by how similar their prompts' lengths are and
 * whether they are of the same workspace, as most callers leave the maximum at its default.
 */

import { LRUCache } from 'lru-cache'

import {
  DEFAULT_TYPICAL_WORK, ESTIMATE_PRIOR_WEIGHT, ESTIMATE_SAMPLES, LONG_WORK_FACTOR, MAXIMUM_ESTIMATE_KEYS, PROMPT_DISTANCE_SCALE, PROMPT_TOKEN_WORK, SAME_WORKSPACE_WEIGHT,
  TYPICAL_WORK_WEIGHT
} from './JayfallRoutingConstants'
import { type RoutedRequest } from './JayfallRouter'
import { poolId, type Lane } from './JayfallRoutingTables'

interface Observation {
  readonly workspace: string
  /** Natural logarithm of the prompt's length. */
  readonly promptSize: number
  readonly outputTokens: number
}

/** The latest observations for one key. */
interface ObservationRing {
  readonly observations: Observation[]
  /** Index of the observation that is replaced next. */
  next: number
}

/** Estimated work of a request. */
export interface WorkEstimate {
  readonly lane: Lane
  /** Work in output tokens. */
  readonly work: number
}

/** Learns output lengths and predicts work. */
export class WorkEstimates {
  private readonly rings = new LRUCache<string, ObservationRing>({ max: MAXIMUM_ESTIMATE_KEYS })
  /** Mean logarithm of the observed work of each pool. */
  private readonly typicalWork = new Map<string, number>()

  estimate (request: RoutedRequest): WorkEstimate {
    const typicalWork = Math.exp(this.typicalWork.get(poolId(request)) ?? Math.log(DEFAULT_TYPICAL_WORK))
    const outputTokens = Math.min(this.predictOutput(request, typicalWork), Math.max(1, request.maximumOutputTokens))
    const work = workOf(request.promptTokens, outputTokens)
    return { lane: work > typicalWork * LONG_WORK_FACTOR ? 'long' : 'short', work }
  }

  /** Records the length of a finished answer. */
  observe (request: RoutedRequest, outputTokens: number): void {
    const key = ringKey(request)
    const ring = this.rings.get(key) ?? { observations: [], next: 0 }
    this.rings.set(key, ring)
    ring.observations[ring.next] = { workspace: request.workspace, promptSize: promptSizeOf(request), outputTokens }
    ring.next = (ring.next + 1) % ESTIMATE_SAMPLES
    const pool = poolId(request)
    const logarithm = Math.log(workOf(request.promptTokens, outputTokens))
    const previousLogarithm = this.typicalWork.get(pool)
    this.typicalWork.set(pool, previousLogarithm === undefined ? logarithm : previousLogarithm + (logarithm - previousLogarithm) * TYPICAL_WORK_WEIGHT)
  }

  /** Predicts the number of output tokens. Without similar observations this is the target's typical work, so that unknown requests have no disadvantage. */
  private predictOutput (request: RoutedRequest, typicalWork: number): number {
    const promptSize = promptSizeOf(request)
    let totalWeight = ESTIMATE_PRIOR_WEIGHT
    let weightedSum = ESTIMATE_PRIOR_WEIGHT * typicalWork
    for (const observation of this.rings.get(ringKey(request))?.observations ?? []) {
      const distance = (observation.promptSize - promptSize) / PROMPT_DISTANCE_SCALE
      const weight = Math.exp(-distance * distance / 2) * (observation.workspace === request.workspace ? SAME_WORKSPACE_WEIGHT : 1)
      totalWeight += weight
      weightedSum += weight * observation.outputTokens
    }
    return weightedSum / totalWeight
  }
}

/** Returns the work of a request in output tokens. */
export function workOf (promptTokens: number, outputTokens: number): number {
  return Math.max(1, outputTokens + promptTokens * PROMPT_TOKEN_WORK)
}

function ringKey ({ target, workClass, maximumOutputTokens }: RoutedRequest): string {
  return `${target.kind}/${target.id}/${workClass}/${Math.floor(Math.log2(maximumOutputTokens + 1))}`
}

function promptSizeOf ({ promptTokens }: RoutedRequest): number {
  return Math.log(promptTokens + 1)
}
