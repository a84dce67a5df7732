/** Quantiles of recent first-token delays, by pool, lane and size of the prompt. */

import { quantileOfSorted } from '#jayfall/shared'

import { DELAY_REFRESH_SAMPLES, DELAY_SAMPLES, MINIMUM_OBSERVATIONS, OVERDUE_QUANTILE } from './JayfallRoutingConstants'
import { type RequestRow } from './JayfallRoutingTables'

interface DelaySamples {
  readonly values: number[]
  next: number
  stale: number
  /** A low quantile stands for a request that did not wait. */
  unqueued: number
  high: number
}

const UNQUEUED_QUANTILE = 0.2

/** Keeps a ring of samples for each key; quantiles are computed again after some samples. */
export class DelayQuantiles {
  private readonly samples = new Map<string, DelaySamples>()

  observe (row: RequestRow, delay: number): void {
    const key = delayKey(row)
    const samples = this.samples.get(key) ?? { values: [], next: 0, stale: 0, unqueued: delay, high: delay }
    this.samples.set(key, samples)
    samples.values[samples.next] = delay
    samples.next = (samples.next + 1) % DELAY_SAMPLES
    samples.stale++
    if (samples.stale < DELAY_REFRESH_SAMPLES && samples.values.length > DELAY_REFRESH_SAMPLES) return
    const sorted = [...samples.values].sort((left, right) => left - right)
    samples.unqueued = quantileOfSorted(sorted, UNQUEUED_QUANTILE)
    samples.high = quantileOfSorted(sorted, OVERDUE_QUANTILE)
    samples.stale = 0
  }

  /** The delay of requests like this one, or undefined before enough were observed. */
  get (row: RequestRow): Pick<DelaySamples, 'unqueued' | 'high'> | undefined {
    const samples = this.samples.get(delayKey(row))
    return samples === undefined || samples.values.length < MINIMUM_OBSERVATIONS ? undefined : samples
  }
}

function delayKey ({ pool, lane, request }: RequestRow): string {
  return `${pool}/${lane}/${Math.floor(Math.log2(request.promptTokens + 1) / 2)}`
}
