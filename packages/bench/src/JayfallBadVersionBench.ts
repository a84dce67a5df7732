/**
 * `bad-version`: requests that a version answers after it has turned bad, until it is stopped.
 *
 * The service that rates answers has a fixed rate. jayfall decides which answers are rated, and the
 * fixed-step roll-out sees ratings of the same mix.
 */

import { advanceMonitor, advanceRollout, createMonitorAfter, createRollout, NEW_MONITOR, NEW_VERSION_RATING_PART, ROLLOUT_STEPS, trafficShareOf, type MonitorState, type RolloutRating, type RolloutState } from '#jayfall/rollout'
import { RandomSource } from '#jayfall/shared'

import { Bench, type BenchOptions, type BenchResult } from './JayfallBench'
import { mean, quantile } from './JayfallStatistics'

const SEEDS = 10
const BAD_ROLLOUTS_PER_SEED = 40
const GOOD_ROLLOUTS_PER_SEED = 100
const REQUESTS_PER_SECOND = 40
/** One answer in a hundred is rated. */
const RATINGS_PER_SECOND = 0.4
const RATING_LAG_SECONDS = 300
const GOOD_QUALITY = 0.9
const LOWEST_BAD_QUALITY = 0.4
const HIGHEST_BAD_QUALITY = 0.65
const CHECK_SECONDS = 3600
/** Loss of mean score at which the fixed-step roll-out's check stops. */
const CHECK_LOSS = 0.05
const CHECK_RATINGS = 10
/** A version that is not stopped counts as stopped after this time. */
const LONGEST_EXPOSURE_SECONDS = 24 * 3600
/** Mean of `scoreOf` at `GOOD_QUALITY`. */
const MEAN_GOOD_SCORE = 0.9 * GOOD_QUALITY + 0.15 * (1 - GOOD_QUALITY)
const SERVICE_SECONDS = 4 * 3600
/** The old version has been in service for this long before a roll-out. */
const HISTORY_SECONDS = 4 * 3600
/** A version turns bad within this time of reaching a tenth of the traffic. */
const LATEST_CHANGE_SECONDS = 600
const TICK_SECONDS = 10
const BAD_SHARE = 10
const EXPOSURE_BOUND = 1 / 5
const FALSE_STOP_BOUND = 1 / 100

interface Rating extends RolloutRating {
  /** Seconds since the start. */
  readonly at: number
}

/** Answers are rated when they are given and the ratings arrive later, out of order. */
class RatingService {
  private waiting: readonly Rating[] = []
  private nextAt: number

  constructor (private readonly random: RandomSource) {
    this.nextAt = random.exponential(1 / RATINGS_PER_SECOND)
  }

  /** Rates answers that are given until `now` and returns the ratings that have arrived. */
  run (now: number, newPart: number, quality: number): readonly Rating[] {
    const given: Rating[] = []
    for (; this.nextAt <= now; this.nextAt += this.random.exponential(1 / RATINGS_PER_SECOND)) {
      const isNew = this.random.chance(newPart)
      given.push({ isNew, score: scoreOf(this.random, isNew ? quality : GOOD_QUALITY), answeredAt: this.nextAt * 1000, at: this.nextAt + this.random.exponential(RATING_LAG_SECONDS) })
    }
    const all = [...this.waiting, ...given]
    this.waiting = all.filter(({ at }) => at > now)
    return all.filter(({ at }) => at <= now).sort((left, right) => left.at - right.at)
  }
}

function scoreOf (random: RandomSource, quality: number): number {
  return random.chance(quality) ? 0.8 + 0.2 * random.uniform() : 0.3 * random.uniform()
}

/** Decides from the ratings what share of the traffic a version gets. */
abstract class Controller {
  abstract readonly share: number
  abstract take (ratings: readonly Rating[], now: number): void
}

/** A roll-out, and the monitor of the version once it is fully in service. */
class SequentialDecisions extends Controller {
  private rollout: RolloutState = createRollout(0)
  private monitor: MonitorState | undefined

  constructor (private readonly reference: number | undefined) {
    super()
  }

  get isFinished (): boolean {
    return this.rollout.outcome === 'finished'
  }

  get share (): number {
    return this.monitor?.isBad === true ? 0 : trafficShareOf(this.rollout)
  }

  override take (ratings: readonly Rating[], now: number): void {
    if (this.monitor !== undefined) {
      this.monitor = advanceMonitor(this.monitor, ratings.filter(({ isNew }) => isNew))
      return
    }
    this.rollout = advanceRollout(this.rollout, ratings, { now: now * 1000, reference: this.reference })
    if (this.isFinished) this.monitor = createMonitorAfter(this.rollout, this.reference)
  }
}

/** The monitor of a version that was in service from the start. */
class SequentialMonitor extends Controller {
  private state: MonitorState = NEW_MONITOR

  get share (): number {
    return this.state.isBad ? 0 : 100
  }

  override take (ratings: readonly Rating[]): void {
    this.state = advanceMonitor(this.state, ratings)
  }
}

/** Hourly checks of the last hour's ratings, against the old version or, in service, the known quality. */
class HourlyChecks extends Controller {
  private recent: readonly Rating[] = []
  private nextCheck: number
  private stopped = false

  constructor (private step: number, private readonly reference: number | undefined, random: RandomSource) {
    super()
    this.nextCheck = random.uniform() * CHECK_SECONDS
  }

  get share (): number {
    return this.stopped ? 0 : ROLLOUT_STEPS[this.step]
  }

  override take (ratings: readonly Rating[], now: number): void {
    this.recent = [...this.recent, ...ratings]
    if (now < this.nextCheck || this.stopped) return
    this.nextCheck += CHECK_SECONDS
    const scores = this.recent.filter(({ isNew }) => isNew).map(({ score }) => score)
    const old = this.recent.filter(({ isNew }) => !isNew).map(({ score }) => score)
    this.recent = []
    if (scores.length < CHECK_RATINGS || (this.reference === undefined && old.length < CHECK_RATINGS)) return
    this.stopped = mean(scores) < (this.reference ?? mean(old)) - CHECK_LOSS
    if (!this.stopped) this.step = Math.min(this.step + 1, ROLLOUT_STEPS.length - 1)
  }
}

/** The old version's reference after its time in service. */
function oldReference (random: RandomSource): number | undefined {
  const ratings = Array.from({ length: HISTORY_SECONDS * RATINGS_PER_SECOND }, () => ({ score: scoreOf(random, GOOD_QUALITY), answeredAt: 0 }))
  return advanceMonitor(NEW_MONITOR, ratings).reference
}

/** Requests that reach a version after it has turned bad; it does so `delay` seconds after its share has reached `share`. */
function measureExposure (controller: Controller, random: RandomSource, quality: number, share: number, delay: number): number {
  const service = new RatingService(random)
  let exposed = 0
  let badAt: number | undefined
  for (let now = TICK_SECONDS; controller.share > 0; now += TICK_SECONDS) {
    const current = controller.share
    if (badAt === undefined && current >= share) badAt = now + delay
    const isBad = badAt !== undefined && now > badAt
    if (isBad) exposed += REQUESTS_PER_SECOND * TICK_SECONDS * current / 100
    if (badAt !== undefined && now > badAt + LONGEST_EXPOSURE_SECONDS) break
    controller.take(service.run(now, current === 100 ? 1 : NEW_VERSION_RATING_PART, isBad ? quality : GOOD_QUALITY), now)
  }
  return exposed
}

function badQuality (random: RandomSource): number {
  return LOWEST_BAD_QUALITY + (HIGHEST_BAD_QUALITY - LOWEST_BAD_QUALITY) * random.uniform()
}

function exposeInRollout (seed: number, isSequential: boolean): number {
  const random = new RandomSource(seed)
  const [quality, delay] = [badQuality(random), LATEST_CHANGE_SECONDS * random.uniform()]
  const controller = isSequential ? new SequentialDecisions(oldReference(random)) : new HourlyChecks(0, undefined, random)
  return measureExposure(controller, random, quality, BAD_SHARE, delay)
}

function exposeInService (seed: number, isSequential: boolean): number {
  const random = new RandomSource(seed)
  const quality = badQuality(random)
  const last = ROLLOUT_STEPS.length - 1
  const controller = isSequential ? new SequentialMonitor() : new HourlyChecks(last, MEAN_GOOD_SCORE, random)
  return measureExposure(controller, random, quality, 100, HISTORY_SECONDS)
}

interface GoodOutcome {
  readonly stopped: boolean
  readonly seconds: number
}

/** A roll-out of a good version, followed by some time in service. */
function runGoodRollout (seed: number): GoodOutcome {
  const random = new RandomSource(seed)
  const decisions = new SequentialDecisions(oldReference(random))
  const service = new RatingService(random)
  let seconds = 0
  while (!decisions.isFinished && decisions.share > 0) {
    seconds += 30
    decisions.take(service.run(seconds, NEW_VERSION_RATING_PART, GOOD_QUALITY), seconds)
  }
  for (let now = seconds; now < seconds + SERVICE_SECONDS; now += 300) decisions.take(service.run(now, 1, GOOD_QUALITY), now)
  return { stopped: decisions.share === 0, seconds }
}

/** The upper 95 % limit of a rate (Wilson). */
function upperLimit (events: number, trials: number): number {
  const z = 1.645
  const rate = events / trials
  const spread = z * Math.sqrt(rate * (1 - rate) / trials + z * z / (4 * trials * trials))
  return (rate + z * z / (2 * trials) + spread) / (1 + z * z / trials)
}

export class BadVersionBench extends Bench {
  override readonly name = 'bad-version'
  override readonly isDeterministic = true

  override async run ({ seed }: BenchOptions): Promise<BenchResult> {
    const runs = Array.from({ length: SEEDS }, (_, index) => seed * 1_000_000 + index * 10_000)
    const rollout = runs.map(first => compare(first, exposeInRollout))
    const service = runs.map(first => compare(first + 5000, exposeInService))
    const outcomes = runs.flatMap(first => Array.from({ length: GOOD_ROLLOUTS_PER_SEED }, (_, index) => runGoodRollout(first + 1000 + index)))
    const stops = outcomes.filter(({ stopped }) => stopped).length
    const durations = outcomes.filter(({ stopped }) => !stopped).map(({ seconds }) => seconds / 60)
    return {
      figures: [
        { name: 'exposed_in_rollout', value: mean(rollout.map(({ ratio }) => ratio)), unit: 'ratio', bound: EXPOSURE_BOUND },
        { name: 'exposed_in_service', value: mean(service.map(({ ratio }) => ratio)), unit: 'ratio', bound: EXPOSURE_BOUND },
        { name: 'false_stops', value: stops / outcomes.length, unit: 'ratio', bound: FALSE_STOP_BOUND },
        { name: 'false_stops_upper_limit', value: upperLimit(stops, outcomes.length), unit: 'ratio', bound: FALSE_STOP_BOUND }
      ],
      report: [
        describe('rollout', rollout),
        describe('service', service),
        `good rollouts=${outcomes.length} false_stops=${stops} minutes_median=${quantile(durations, 0.5).toFixed(0)} minutes_p95=${quantile(durations, 0.95).toFixed(0)}`
      ]
    }
  }
}

interface Comparison {
  readonly sequential: number
  readonly hourly: number
  readonly ratio: number
}

function compare (first: number, expose: (seed: number, isSequential: boolean) => number): Comparison {
  const seeds = Array.from({ length: BAD_ROLLOUTS_PER_SEED }, (_, index) => first + index)
  const sequential = mean(seeds.map(seed => expose(seed, true)))
  const hourly = mean(seeds.map(seed => expose(seed, false)))
  return { sequential, hourly, ratio: sequential / hourly }
}

function describe (name: string, comparisons: readonly Comparison[]): string {
  const ratios = comparisons.map(({ ratio }) => ratio)
  return `${name} seeds=${comparisons.length} exposed=${mean(comparisons.map(({ sequential }) => sequential)).toFixed(0)} ` +
    `exposed_hourly=${mean(comparisons.map(({ hourly }) => hourly)).toFixed(0)} ratio_lowest=${Math.min(...ratios).toFixed(3)} ratio_highest=${Math.max(...ratios).toFixed(3)}`
}
