/** The frame of all benches: a name, a seeded run, and a verdict against a bound. */

/** One measured figure with its bound. */
export interface BenchFigure {
  readonly name: string
  readonly value: number
  readonly unit: string
  /** The highest value that passes, or the lowest when `isLowerBound`. */
  readonly bound: number
  readonly isLowerBound?: boolean
}

/** What a bench measured. The first figure is the one in the closing line; all must meet their bounds. */
export interface BenchResult {
  readonly figures: readonly BenchFigure[]
  /** Lines with the spread over seeds, the baselines, and whatever explains the figures. */
  readonly report: readonly string[]
}

export interface BenchOptions {
  readonly seed: number
  /** Further arguments, `--nodes 9,18` as `nodes: '9,18'`. */
  readonly parameters: Readonly<Record<string, string>>
}

/** A bench. */
export abstract class Bench {
  abstract readonly name: string
  /** Whether equal seeds give equal results on every machine; only such benches run in CI. */
  abstract readonly isDeterministic: boolean
  abstract run (options: BenchOptions): Promise<BenchResult>
}

export function meetsBound ({ value, bound, isLowerBound = false }: BenchFigure): boolean {
  return isLowerBound ? value >= bound : value <= bound
}

/** The closing line: the first figure that misses its bound, or else the first. */
export function formatClosingLine (name: string, { figures }: BenchResult): string {
  const missed = figures.find(figure => !meetsBound(figure))
  const shown = missed ?? figures[0]
  return `bench=${name} value=${Number(shown.value.toPrecision(4))} unit=${shown.unit} bound=${shown.bound} verdict=${missed === undefined ? 'pass' : 'fail'}`
}
