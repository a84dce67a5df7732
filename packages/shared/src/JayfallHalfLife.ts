/** Exponential decay of the weight of old observations. */

/** The weight of an observation: 1 at age 0, and halved with each half-life. `age` and `halfLife` have the same unit. */
export function halfLifeWeight (age: number, halfLife: number): number {
  return 2 ** (-age / halfLife)
}
