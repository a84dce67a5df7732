/** `npm run bench -- NAME --seed N`, or `all`, or `ci` for the deterministic ones, which `list-deterministic` names. */

import { parseArgs } from 'node:util'

import { formatClosingLine, meetsBound, type Bench, type BenchOptions, type BenchResult } from './JayfallBench'
import { writeBenchDocuments } from './JayfallBenchDocuments'
import { BENCHES } from './JayfallBenchRegistry'

const DOCUMENT_DIRECTORY = 'docs/benches'

function readArguments (): { readonly name: string, readonly options: BenchOptions } {
  const { positionals, tokens } = parseArgs({ allowPositionals: true, strict: false, tokens: true, args: process.argv.slice(2) })
  const parameters: Record<string, string> = {}
  const values = [...positionals]
  for (const token of tokens) {
    if (token.kind !== 'option') continue
    // An unknown option takes the next argument as its value.
    const next = tokens.find(other => other.index === token.index + 1 && other.kind === 'positional')
    const value = token.value ?? (next?.kind === 'positional' ? next.value : '')
    parameters[token.name] = value
    if (token.value === undefined && next !== undefined) values.splice(values.indexOf(value), 1)
  }
  return { name: values[0] ?? '', options: { seed: Number(parameters.seed ?? 1), parameters } }
}

function selectBenches (name: string): readonly Bench[] {
  if (name === 'all') return BENCHES
  if (name === 'ci') return BENCHES.filter(({ isDeterministic }) => isDeterministic)
  return BENCHES.filter(bench => bench.name === name)
}

function printResult (name: string, result: BenchResult): void {
  for (const line of result.report) process.stdout.write(`${line}\n`)
  for (const { name: figure, value, unit, bound, isLowerBound } of result.figures) {
    process.stdout.write(`figure=${figure} value=${Number(value.toPrecision(4))} unit=${unit} ${isLowerBound === true ? 'at_least' : 'at_most'}=${bound}\n`)
  }
  process.stdout.write(`${formatClosingLine(name, result)}\n`)
}

async function main (): Promise<void> {
  const { name, options } = readArguments()
  if (name === 'list-deterministic') {
    for (const bench of selectBenches('ci')) process.stdout.write(`${bench.name}\n`)
    return
  }
  const benches = selectBenches(name)
  if (benches.length === 0 && name !== 'ci') {
    process.stderr.write(`there is no bench "${name}"; known: all, ci, ${BENCHES.map(bench => bench.name).join(', ')}\n`)
    process.exitCode = 2
    return
  }
  for (const bench of benches) {
    const result = await bench.run(options)
    printResult(bench.name, result)
    if (name === 'all') await writeBenchDocuments(DOCUMENT_DIRECTORY, bench.name, options.seed, result)
    if (!result.figures.every(meetsBound)) process.exitCode = 1
  }
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack}\n`)
  process.exitCode = 1
})
