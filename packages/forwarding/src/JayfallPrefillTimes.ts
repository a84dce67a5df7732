/**
 * Estimates the prefill time of prompts from observed times to the first event.
 *
 * The speeds of models differ several times over, and an instance sends few long prompts to each model, so
 * the first observations of a model take effect immediately. The estimate is a quantile below the median
 * of the recent observations, because the slower ones include waiting behind other prompts. The estimate
 * of a model that gets no more requests decays to its initial value. Otherwise an estimate that is far too
 * high would keep requests away from its model, and with them the observations that would correct it.
 */

import { halfLifeWeight, quantileOf } from '#jayfall/shared'

import {
  FIRST_EVENT_OVERHEAD_MILLISECONDS, INITIAL_PREFILL_MILLISECONDS_PER_TOKEN, MINIMUM_PREFILL_SAMPLE_TOKENS, MINIMUM_PREFILL_SAMPLES, PREFILL_ESTIMATE_GRACE_MILLISECONDS, PREFILL_ESTIMATE_HALF_LIFE_MILLISECONDS, PREFILL_SAMPLE_QUANTILE,
  MAXIMUM_PREFILL_SAMPLES, MEAN_PREFILL_WEIGHT
} from './JayfallForwardingConstants'

interface ModelPrefillTimes {
  /** Recent prefill times per token in milliseconds, the latest last. */
  readonly samples: readonly number[]
  readonly estimate: number
  /** Monotonic milliseconds of the last first event of the model. */
  readonly lastObservedAt: number
}

/** A first event from which the prefill speed can be computed. */
export interface PrefillObservation {
  readonly model: string
  readonly uncachedTokens: number
  /** Milliseconds from the start of the attempt to the first event. */
  readonly timeToFirstEvent: number
}

export class PrefillTimes {
  private readonly timesByModel = new Map<string, ModelPrefillTimes>()
  private meanTime = 0

  /** Estimated milliseconds of prefill of the given number of tokens. */
  estimate (model: string, tokens: number, now: number): number {
    const known = this.timesByModel.get(model)
    if (known === undefined) return tokens * INITIAL_PREFILL_MILLISECONDS_PER_TOKEN
    const weight = halfLifeWeight(Math.max(0, now - known.lastObservedAt - PREFILL_ESTIMATE_GRACE_MILLISECONDS), PREFILL_ESTIMATE_HALF_LIFE_MILLISECONDS)
    return tokens * (known.estimate * weight + INITIAL_PREFILL_MILLISECONDS_PER_TOKEN * (1 - weight))
  }

  /** Moving average of the estimated prefill time of one request, in milliseconds. */
  get meanPrefillTime (): number {
    return this.meanTime
  }

  recordSent (prefillTime: number): void {
    this.meanTime = this.meanTime === 0 ? prefillTime : this.meanTime + (prefillTime - this.meanTime) * MEAN_PREFILL_WEIGHT
  }

  recordFirstEvent ({ model, uncachedTokens, timeToFirstEvent }: PrefillObservation, now: number): void {
    const known = this.timesByModel.get(model)
    if (known !== undefined) this.timesByModel.set(model, { ...known, lastObservedAt: now })
    if (uncachedTokens < MINIMUM_PREFILL_SAMPLE_TOKENS) return
    const samples = [...known?.samples ?? [], Math.max(0, timeToFirstEvent - FIRST_EVENT_OVERHEAD_MILLISECONDS) / uncachedTokens].slice(-MAXIMUM_PREFILL_SAMPLES)
    // Each of the first few observations may include a long wait.
    const estimate = samples.length < MINIMUM_PREFILL_SAMPLES ? Math.min(...samples) : quantileOf(samples, PREFILL_SAMPLE_QUANTILE)
    this.timesByModel.set(model, { samples, estimate, lastObservedAt: now })
  }
}
