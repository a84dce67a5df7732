/**
 * Metrics of one thread: counters and histograms of durations.
 *
 * Each thread records its own metrics. Snapshots can be copied between threads by the structured clone algorithm, and
 * are summed when the metrics of the instance are read.
 */

import { type Histogram } from 'hdr-histogram-js'
// The index of the library also loads its log writer, which initializes the formatting of numbers for a locale.
import { decodeFromCompressedBase64, encodeIntoCompressedBase64 } from 'hdr-histogram-js/dist/encoding'
import { build } from 'hdr-histogram-js/dist/HistogramBuilder'

import { HIGHEST_DURATION_MICROSECONDS, HISTOGRAM_SIGNIFICANT_DIGITS, REPORTED_PERCENTILES } from './JayfallTelemetryConstants'

/** Labels of a series by name. */
export type MetricLabels = Readonly<Record<string, string | number>>

/** The metrics that a thread has recorded, by series, such as `jayfall_refusals_total{code="key_invalid"}`. */
export interface MetricsSnapshot {
  readonly counters: Readonly<Record<string, number>>
  /** Histograms of durations in microseconds, compressed and encoded in Base64. */
  readonly durations: Readonly<Record<string, string>>
}

/** Count, mean and percentiles of one histogram; durations are in milliseconds. */
export interface DurationSummary {
  readonly count: number
  readonly mean: number
  readonly percentiles: Readonly<Record<string, number>>
}

const MICROSECONDS_PER_MILLISECOND = 1000

/** Records the metrics of one thread. */
export class Metrics {
  private readonly counters = new Map<string, number>()
  private readonly durations = new Map<string, Histogram>()

  /** Adds `increment` to a counter. */
  count (name: string, labels: MetricLabels = {}, increment = 1): void {
    const series = seriesName(name, labels)
    this.counters.set(series, (this.counters.get(series) ?? 0) + increment)
  }

  /** Records a duration in milliseconds. */
  record (name: string, labels: MetricLabels, milliseconds: number): void {
    const series = seriesName(name, labels)
    const histogram = this.durations.get(series) ?? createHistogram()
    this.durations.set(series, histogram)
    histogram.recordValue(Math.min(HIGHEST_DURATION_MICROSECONDS, Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND))))
  }

  snapshot (): MetricsSnapshot {
    return {
      counters: Object.fromEntries(this.counters),
      durations: Object.fromEntries([...this.durations].map(([series, histogram]) => [series, encodeIntoCompressedBase64(histogram)]))
    }
  }
}

/** Sums the snapshots of all threads. */
export function sumMetrics (snapshots: readonly MetricsSnapshot[]): { readonly counters: ReadonlyMap<string, number>, readonly durations: ReadonlyMap<string, DurationSummary> } {
  const counters = new Map<string, number>()
  const histograms = new Map<string, Histogram>()
  for (const snapshot of snapshots) {
    for (const [series, value] of Object.entries(snapshot.counters)) counters.set(series, (counters.get(series) ?? 0) + value)
    for (const [series, encoded] of Object.entries(snapshot.durations)) {
      const sum = histograms.get(series) ?? createHistogram()
      histograms.set(series, sum)
      sum.add(decodeFromCompressedBase64(encoded))
    }
  }
  return { counters, durations: new Map([...histograms].map(([series, histogram]) => [series, summarise(histogram)])) }
}

/** Formats the sum of snapshots in the Prometheus text format; durations are summaries in seconds. */
export function formatPrometheus (snapshots: readonly MetricsSnapshot[]): string {
  const { counters, durations } = sumMetrics(snapshots)
  const lines: string[] = []
  let lastDescribedName = ''
  const describe = (series: string, type: string): void => {
    const name = series.split('{')[0]
    if (name !== lastDescribedName) lines.push(`# TYPE ${name} ${type}`)
    lastDescribedName = name
  }
  for (const [series, value] of [...counters].sort(compareSeries)) {
    describe(series, series.split('{')[0].endsWith('_total') ? 'counter' : 'gauge')
    lines.push(`${series} ${value}`)
  }
  for (const [series, { count, mean, percentiles }] of [...durations].sort(compareSeries)) {
    describe(series, 'summary')
    for (const [percentile, value] of Object.entries(percentiles)) lines.push(`${withLabel(series, 'quantile', Number(percentile) / 100)} ${value / 1000}`)
    lines.push(`${withSuffix(series, '_sum')} ${mean * count / 1000}`, `${withSuffix(series, '_count')} ${count}`)
  }
  return `${lines.join('\n')}\n`
}

function compareSeries ([left]: readonly [string, unknown], [right]: readonly [string, unknown]): number {
  return left < right ? -1 : 1
}

function seriesName (name: string, labels: MetricLabels): string {
  const pairs = Object.entries(labels).map(([label, value]) => `${label}="${String(value).replace(/[\\"\n]/g, '_')}"`)
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`
}

function withSuffix (series: string, suffix: string): string {
  const [name, labels] = splitSeries(series)
  return `${name}${suffix}${labels === '' ? '' : `{${labels}}`}`
}

function withLabel (series: string, label: string, value: number): string {
  const [name, labels] = splitSeries(series)
  return `${name}{${labels === '' ? '' : `${labels},`}${label}="${value}"}`
}

function splitSeries (series: string): readonly [string, string] {
  const brace = series.indexOf('{')
  return brace === -1 ? [series, ''] : [series.slice(0, brace), series.slice(brace + 1, -1)]
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 64, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_DURATION_MICROSECONDS, numberOfSignificantValueDigits: HISTOGRAM_SIGNIFICANT_DIGITS })
}

function summarise (histogram: Histogram): DurationSummary {
  return {
    count: histogram.totalCount,
    mean: histogram.mean / MICROSECONDS_PER_MILLISECOND,
    percentiles: Object.fromEntries(REPORTED_PERCENTILES.map(percentile => [percentile, histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND]))
  }
}
