/** Seeded random numbers, with which a bench, a proof or a failing test can be repeated. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

type Generator = ReturnType<typeof xoroshiro128plus>

/** A sequence of random numbers that is determined by a seed. */
export class RandomSource {
  private readonly generator: Generator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
    // Adjacent seeds produce correlated first values, so the first few are skipped.
    for (let skipped = 0; skipped < 8; skipped++) this.generator.next()
  }

  /** A number in [0, 1). */
  uniform (): number {
    return uniformFloat64(this.generator)
  }

  /** An integer in [lowest, highest], both included. */
  integer (lowest: number, highest: number): number {
    return uniformInt(this.generator, lowest, highest)
  }

  /** True with the given probability. */
  chance (probability: number): boolean {
    return this.uniform() < probability
  }

  /** An exponentially distributed number with the given mean. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.uniform())
  }

  /** A normally distributed number with the given mean and standard deviation. */
  normal (mean: number, deviation: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()))
    return mean + deviation * radius * Math.cos(2 * Math.PI * this.uniform())
  }

  /** One of `choices`, or undefined when there are none. */
  pick<Choice> (choices: readonly Choice[]): Choice | undefined {
    return choices.length === 0 ? undefined : choices[this.integer(0, choices.length - 1)]
  }

  /** Up to `count` distinct elements of `choices`, in random order. */
  sample<Choice> (choices: readonly Choice[], count: number): readonly Choice[] {
    const rest = [...choices]
    const picked: Choice[] = []
    while (picked.length < count && rest.length > 0) {
      picked.push(...rest.splice(this.integer(0, rest.length - 1), 1))
    }
    return picked
  }
}

/** Creates a random source from an integer seed. Without a seed the sequence is not repeatable. */
export function createRandomSource (seed: number = Math.floor(Math.random() * 0x7fffffff)): RandomSource {
  return new RandomSource(seed)
}
