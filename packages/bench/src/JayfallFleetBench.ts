/** The frame of benches that compare jayfall with the baselines over fake servers. */

import { ModelAwareRouter } from '#jayfall/routing'
import { meanOf } from '#jayfall/shared'

import { LeastOutstandingRouter, LeastReportedRouter, RandomRouter, RoundRobinRouter, TwoChoicesRouter } from './JayfallBaselineRouters'
import { Bench, type BenchFigure, type BenchOptions, type BenchResult } from './JayfallBench'
import { type RouterFactory } from './JayfallFleetRun'

export const JAYFALL = 'jayfall'

export const ROUTERS: Readonly<Record<string, RouterFactory>> = {
  [JAYFALL]: (clock, random) => new ModelAwareRouter({ clock, random }),
  random: (_clock, random) => new RandomRouter(random),
  'round-robin': (_clock, random) => new RoundRobinRouter(random),
  'least-outstanding': (_clock, random) => new LeastOutstandingRouter(random),
  'least-reported': (_clock, random) => new LeastReportedRouter(random),
  'two-choices': (_clock, random) => new TwoChoicesRouter(random)
}

export const SEEDS_PER_BENCH = 10

/** Measures of one router in one run, by name. */
export type Measures = Readonly<Record<string, number>>

/** Measures of all routers in one run. */
export type RunMeasures = Readonly<Record<string, Measures>>

export abstract class FleetBench extends Bench {
  override readonly isDeterministic = true

  /** Runs all routers on one seed. */
  protected abstract measure (seed: number): RunMeasures

  protected abstract figures (runs: readonly RunMeasures[]): readonly BenchFigure[]

  override async run ({ seed, parameters }: BenchOptions): Promise<BenchResult> {
    const count = Number(parameters.seeds ?? SEEDS_PER_BENCH)
    const runs = Array.from({ length: count }, (_, index) => this.measure(seed + index))
    return { figures: this.figures(runs), report: describeRuns(this.name, runs) }
  }
}

/** Values of one measure of one router over all runs. */
export function valuesOf (runs: readonly RunMeasures[], router: string, measure: string): readonly number[] {
  return runs.map(run => run[router][measure])
}

/** For each run, jayfall's measure as a ratio of the best baseline's. */
export function ratiosToBest (runs: readonly RunMeasures[], measure: string, better: 'lower' | 'higher'): readonly number[] {
  return runs.map(run => {
    const baselines = Object.entries(run).filter(([router]) => router in ROUTERS && router !== JAYFALL).map(([, measures]) => measures[measure])
    return run[JAYFALL][measure] / (better === 'lower' ? Math.min(...baselines) : Math.max(...baselines))
  })
}

/** Mean, lowest and highest value. */
export function formatSpread (values: readonly number[]): string {
  const [mean, low, high] = [meanOf(values), Math.min(...values), Math.max(...values)].map(value => Number(value.toPrecision(4)))
  return `${mean} (${low} to ${high})`
}

function describeRuns (name: string, runs: readonly RunMeasures[]): readonly string[] {
  return Object.keys(runs[0]).flatMap(router => Object.keys(runs[0][router]).map(measure =>
    `bench=${name} router=${router} measure=${measure} mean_and_spread="${formatSpread(valuesOf(runs, router, measure))}" seeds=${runs.length}`))
}
