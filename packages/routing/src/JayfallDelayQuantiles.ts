/** Quantiles of recent first-token delays by pool, lane and prompt length. */

import { quantileOfSorted } from '#jayfall/shared'

import { DELAY_REFRESH_SAMPLES, DELAY_SAMPLES, MINIMUM_DELAY_SAMPLES, OVERDUE_QUANTILE } from './JayfallRoutingConstants'
import { type RequestRow } from './JayfallRoutingTables'

interface DelaySamples {
  readonly values: number[]
  /** Index of the sample that is replaced next. */
  next: number
  /** Number of samples since the quantiles were computed. */
  samplesSinceRefresh: number
  /** Low quantile of the delays in milliseconds, which stands for a request that did not wait. */
  unqueued: number
  /** The quantile `OVERDUE_QUANTILE` of the delays in milliseconds. */
  high: number
}

const UNQUEUED_QUANTILE = 0.2

/** Keeps a ring buffer of samples for each key and computes the quantiles again after every few samples. */
export class DelayQuantiles {
  private readonly samples = new Map<string, DelaySamples>()

  observe (row: RequestRow, delay: number): void {
    const key = delayKey(row)
    const samples = this.samples.get(key) ?? { values: [], next: 0, samplesSinceRefresh: 0, unqueued: delay, high: delay }
    this.samples.set(key, samples)
    samples.values[samples.next] = delay
    samples.next = (samples.next + 1) % DELAY_SAMPLES
    samples.samplesSinceRefresh++
    if (samples.samplesSinceRefresh < DELAY_REFRESH_SAMPLES && samples.values.length > DELAY_REFRESH_SAMPLES) return
    const sorted = [...samples.values].sort((left, right) => left - right)
    samples.unqueued = quantileOfSorted(sorted, UNQUEUED_QUANTILE)
    samples.high = quantileOfSorted(sorted, OVERDUE_QUANTILE)
    samples.samplesSinceRefresh = 0
  }

  /** Returns the delay quantiles of requests like this one, or undefined before enough delays were observed. */
  get (row: RequestRow): Pick<DelaySamples, 'unqueued' | 'high'> | undefined {
    const samples = this.samples.get(delayKey(row))
    return samples === undefined || samples.values.length < MINIMUM_DELAY_SAMPLES ? undefined : samples
  }
}

function delayKey ({ pool, lane, request }: RequestRow): string {
  return `${pool}/${lane}/${Math.floor(Math.log2(request.promptTokens + 1) / 2)}`
}
