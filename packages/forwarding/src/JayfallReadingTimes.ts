/**
 * How long engines take to read prompts, learned from the times until first events.
 *
 * Models differ in speed several times over, and an instance sees few long prompts of each, so the
 * first observations of a model count at once. Of the recent ones a quantile below the middle is
 * taken, because the slower ones waited behind other prompts. The estimate of a model that is no
 * longer asked fades to the first guess: one that is far too high would keep work away from its
 * model, and so the observations that would correct it.
 */

import { halfLifeWeight, quantileOf } from '#jayfall/shared'

import {
  FIRST_EVENT_MILLISECONDS, INITIAL_READING_MILLISECONDS, MINIMUM_READING_SAMPLE_TOKENS, MINIMUM_READING_SAMPLES, READING_GRACE, READING_HALF_LIFE, READING_QUANTILE,
  READING_SAMPLES, USUAL_READING_WEIGHT
} from './JayfallForwardingConstants'

interface ModelTimes {
  /** Recent milliseconds for one token, the latest last. */
  readonly samples: readonly number[]
  readonly estimate: number
  /** When the model last read a prompt; monotonic milliseconds. */
  readonly at: number
}

/** A first event that tells how fast a prompt was read. */
export interface ReadPrompt {
  readonly model: string
  readonly unreadTokens: number
  /** Milliseconds from sending to the first event. */
  readonly firstEvent: number
}

export class ReadingTimes {
  private readonly models = new Map<string, ModelTimes>()
  private usualTime = 0

  /** Estimated milliseconds for reading so many tokens with a model. */
  estimate (model: string, tokens: number, now: number): number {
    const known = this.models.get(model)
    if (known === undefined) return tokens * INITIAL_READING_MILLISECONDS
    const weight = halfLifeWeight(Math.max(0, now - known.at - READING_GRACE), READING_HALF_LIFE)
    return tokens * (known.estimate * weight + INITIAL_READING_MILLISECONDS * (1 - weight))
  }

  /** Usual milliseconds of reading one request's prompt. */
  get usual (): number {
    return this.usualTime
  }

  noteSent (reading: number): void {
    this.usualTime = this.usualTime === 0 ? reading : this.usualTime + (reading - this.usualTime) * USUAL_READING_WEIGHT
  }

  noteFirstEvent ({ model, unreadTokens, firstEvent }: ReadPrompt, now: number): void {
    const known = this.models.get(model)
    if (known !== undefined) this.models.set(model, { ...known, at: now })
    if (unreadTokens < MINIMUM_READING_SAMPLE_TOKENS) return
    const samples = [...known?.samples ?? [], Math.max(0, firstEvent - FIRST_EVENT_MILLISECONDS) / unreadTokens].slice(-READING_SAMPLES)
    // Each of the first few may have waited long.
    const estimate = samples.length < MINIMUM_READING_SAMPLES ? Math.min(...samples) : quantileOf(samples, READING_QUANTILE)
    this.models.set(model, { samples, estimate, at: now })
  }
}
