/**
 * Decides which of the instances make a step that any of them may make.
 *
 * All instances notice at the same time that a step is due, and only one of their conditional writes succeeds. So in
 * each interval an instance tries with a probability at which few of all instances do. The probability doubles with
 * each interval in which the step stays due, so a step is made soon even if the number of instances is wrong.
 */

import { type RandomSource } from '#jayfall/shared'

import { EXPECTED_STEP_ATTEMPTS } from './JayfallForwardingConstants'

export class StepContention {
  /** The number of intervals for which each step has been due. */
  private readonly intervals = new Map<string, number>()

  /** @param instanceCount the number of instances that may make the step. */
  constructor (private readonly instanceCount: () => number, private readonly random: RandomSource) {}

  /** Whether this instance tries to make a due step in this interval. */
  isChosen (step: string): boolean {
    const intervals = this.intervals.get(step) ?? 0
    this.intervals.set(step, intervals + 1)
    return this.random.chance(Math.min(1, EXPECTED_STEP_ATTEMPTS / Math.max(1, this.instanceCount()) * 2 ** intervals))
  }

  /** Forgets a step that was made. */
  forget (step: string): void {
    this.intervals.delete(step)
  }
}
