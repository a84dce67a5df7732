/**
 * How long engines take to read prompts, learned from the times until first events.
 *
 * The time of one token is tracked by model as a low quantile of what was observed, because most
 * prompts also waited behind others.
 */

import {
  FIRST_EVENT_MILLISECONDS, INITIAL_READING_MILLISECONDS, MINIMUM_READING_SAMPLE_TOKENS, READING_QUANTILE, READING_STEP, USUAL_READING_WEIGHT
} from './JayfallForwardingConstants'

export class ReadingTimes {
  /** Milliseconds for one token, by model. */
  private readonly tokenTimes = new Map<string, number>()
  private usualTime = 0

  /** Estimated milliseconds for reading so many tokens with a model. */
  estimate (model: string, tokens: number): number {
    return tokens * (this.tokenTimes.get(model) ?? INITIAL_READING_MILLISECONDS)
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
    const known = this.tokenTimes.get(model) ?? INITIAL_READING_MILLISECONDS
    const change = observed < known ? READING_QUANTILE - 1 : READING_QUANTILE
    this.tokenTimes.set(model, known * (1 + change * READING_STEP))
  }
}
