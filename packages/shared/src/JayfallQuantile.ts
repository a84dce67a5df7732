/** Quantiles and the mean of small samples. */

/** The quantile of values in ascending order, with linear interpolation between adjacent values; NaN without values. */
export function quantileOfSorted (sorted: readonly number[], quantile: number): number {
  const position = (sorted.length - 1) * quantile
  const below = Math.floor(position)
  const above = Math.min(sorted.length - 1, below + 1)
  return sorted.length === 0 ? NaN : sorted[below] + (sorted[above] - sorted[below]) * (position - below)
}

/** The quantile of values in any order; NaN without values. */
export function quantileOf (values: readonly number[], quantile: number): number {
  return quantileOfSorted([...values].sort((left, right) => left - right), quantile)
}

/** The arithmetic mean; NaN without values. */
export function meanOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
