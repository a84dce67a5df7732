/** Tables and plots of bench results under docs/benches. */

import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'

import { meetsBound, type BenchFigure, type BenchResult } from './JayfallBench'

// vega and vega-lite are ECMAScript modules, which a compiled CommonJS module loads with a dynamic import.
type VegaLite = typeof import('vega-lite', { with: { 'resolution-mode': 'import' } })
type Vega = typeof import('vega', { with: { 'resolution-mode': 'import' } })

/** Writes `{directory}/{name}.md` and `{directory}/{name}.svg`. */
export async function writeBenchDocuments (directory: string, name: string, seed: number, result: BenchResult): Promise<void> {
  await mkdir(directory, { recursive: true })
  await writeFile(join(directory, `${name}.md`), formatTable(name, seed, result))
  await writeFile(join(directory, `${name}.svg`), await plotFigures(name, result.figures))
}

/** The result as a Markdown page. */
export function formatTable (name: string, seed: number, { figures, report }: BenchResult): string {
  return [
    `# Bench \`${name}\``,
    '',
    `Written by \`npm run bench -- all --seed ${seed}\`.`,
    '',
    `![figures and bounds](${name}.svg)`,
    '',
    '| figure | value | unit | bound | verdict |',
    '| --- | --- | --- | --- | --- |',
    ...figures.map(figure => `| ${figure.name} | ${formatNumber(figure.value)} | ${figure.unit} | ${figure.isLowerBound === true ? 'at least' : 'at most'} ${formatNumber(figure.bound)} | ${meetsBound(figure) ? 'pass' : 'missed'} |`),
    '',
    '```',
    ...report,
    '```',
    ''
  ].join('\n')
}

/** Each figure as a part of its bound, so that figures of different units share one axis. */
async function plotFigures (name: string, figures: readonly BenchFigure[]): Promise<string> {
  const vegaLite: VegaLite = await import('vega-lite')
  const vega: Vega = await import('vega')
  const values = figures.map(figure => ({
    figure: `${figure.name} (${figure.isLowerBound === true ? 'at least' : 'at most'} ${formatNumber(figure.bound)} ${figure.unit})`,
    part: figure.value / figure.bound,
    verdict: meetsBound(figure) ? 'pass' : 'missed'
  }))
  const { spec } = vegaLite.compile({
    title: name,
    width: 420,
    layer: [
      {
        data: { values },
        mark: 'bar',
        encoding: {
          y: { field: 'figure', type: 'nominal', sort: null, axis: { title: null, labelLimit: 320 } },
          x: { field: 'part', type: 'quantitative', axis: { title: 'value as a part of its bound' } },
          color: { field: 'verdict', type: 'nominal', scale: { domain: ['pass', 'missed'], range: ['#4c78a8', '#e45756'] } }
        }
      },
      { data: { values: [{ part: 1 }] }, mark: { type: 'rule', strokeDash: [4, 4] }, encoding: { x: { field: 'part', type: 'quantitative' } } }
    ]
  })
  return await new vega.View(vega.parse(spec), { renderer: 'none' }).toSVG()
}

function formatNumber (value: number): string {
  return String(Number(value.toPrecision(4)))
}
