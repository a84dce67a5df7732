/** Straight lines through measured points, and their error at the target. */

export interface Point {
  readonly x: number
  readonly y: number
}

export interface Fit {
  readonly slope: number
  readonly intercept: number
  /** Standard error of the line's value at the target. */
  readonly errorAtTarget: number
}

/** Fits a line by least squares. With two points the error is unknown and given as 0. */
export function fitLine (points: readonly Point[], target: number): Fit {
  const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const mean = meanOf(points.map(({ x }) => x))
  const meanY = meanOf(points.map(({ y }) => y))
  const spread = points.reduce((sum, { x }) => sum + (x - mean) ** 2, 0)
  const slope = points.reduce((sum, { x, y }) => sum + (x - mean) * (y - meanY), 0) / spread
  const intercept = meanY - slope * mean
  const residuals = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0)
  const variance = points.length > 2 ? residuals / (points.length - 2) : 0
  return { slope, intercept, errorAtTarget: Math.sqrt(variance * (1 / points.length + (target - mean) ** 2 / spread)) }
}
