/** `npm run prove -- NAME --seed N [--counter]`, `--list`, or `all` for every proof with its counter-proof. */

import { parseArgs } from 'node:util'

import { formatClosingLine, type Proof } from './JayfallProof'
import { PROOFS } from './JayfallProofRegistry'

/** Runs one proof and returns whether it came out as it must. */
async function runProof (proof: Proof, seed: number, isCounterProof: boolean): Promise<boolean> {
  const result = await proof.run({ seed, isCounterProof })
  for (const violation of result.violations.slice(0, 20)) process.stdout.write(`violation: ${violation}\n`)
  process.stdout.write(`${isCounterProof ? 'counter=yes ' : ''}${formatClosingLine(proof.name, seed, result)}\n`)
  return isCounterProof ? result.violations.length > 0 : result.violations.length === 0
}

async function main (): Promise<void> {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { seed: { type: 'string', default: '1' }, counter: { type: 'boolean', default: false }, list: { type: 'boolean', default: false } }
  })
  if (values.list) {
    for (const { name } of PROOFS) process.stdout.write(`${name}\n`)
    return
  }
  const seed = Number(values.seed)
  const [name] = positionals
  const selected = name === 'all' ? PROOFS : PROOFS.filter(proof => proof.name === name)
  if (selected.length === 0) throw new Error(`there is no proof "${name ?? ''}"; --list names them`)
  for (const proof of selected) {
    const modes = name === 'all' ? [false, true] : [values.counter]
    for (const isCounterProof of modes) {
      if (!await runProof(proof, seed, isCounterProof)) process.exitCode = 1
    }
  }
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack}\n`)
  process.exitCode = 1
})
