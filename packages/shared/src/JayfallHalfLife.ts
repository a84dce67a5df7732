/** Exponential decay of what was observed some time ago. */

/** The weight that is left of an observation: 1 at first, a half after each half-life. Both in the same unit. */
export function halfLifeWeight (age: number, halfLife: number): number {
  return 2 ** (-age / halfLife)
}
