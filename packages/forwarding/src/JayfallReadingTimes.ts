/**
 * How long engines take to read prompts, learned from the times until first events.
 *
 * Models differ in speed several times over, and an instance sees few long prompts of each, so the
 * first observations of a model count at once. Of the recent ones a quantile below the middle is
 * taken, because the slower ones waited behind other prompts.
 */

import { quantileOf } from '#jayfall/shared'

import {
  FIRST_EVENT_MILLISECONDS, INITIAL_READING_MILLISECONDS, MINIMUM_READING_SAMPLE_TOKENS, MINIMUM_READING_SAMPLES, READING_QUANTILE, READING_SAMPLES, USUAL_READING_WEIGHT
} from './JayfallForwardingConstants'

interface ModelTimes {
  /** Recent milliseconds for one token, the latest last. */
  readonly samples: readonly number[]
  readonly estimate: number
}

export class ReadingTimes {
  private readonly models = new Map<string, ModelTimes>()
  private usualTime = 0

  /** Estimated milliseconds for reading so many tokens with a model. */
  estimate (model: string, tokens: number): number {
    return tokens * (this.models.get(model)?.estimate ?? INITIAL_READING_MILLISECONDS)
  }

  /** Usual milliseconds of reading one request's prompt. */
  get usual (): number {
    return this.usualTime
  }

  noteSent (reading: number): void {
    this.usualTime = this.usualTime === 0 ? reading : this.usualTime + (reading - this.usualTime) * USUAL_READING_WEIGHT
  }

  /** @param firstEvent milliseconds from sending to the first event. */
  noteFirstEvent (model: string, unreadTokens: number, firstEvent: number): void {
    if (unreadTokens < MINIMUM_READING_SAMPLE_TOKENS) return
    const observed = Math.max(0, firstEvent - FIRST_EVENT_MILLISECONDS) / unreadTokens
    const samples = [...this.models.get(model)?.samples ?? [], observed].slice(-READING_SAMPLES)
    // Each of the first few may have waited long.
    const estimate = samples.length < MINIMUM_READING_SAMPLES ? Math.min(...samples) : quantileOf(samples, READING_QUANTILE)
    this.models.set(model, { samples, estimate })
  }
}
