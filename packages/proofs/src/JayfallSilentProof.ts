/**
 * Silent connections (promise 11): open connections to an engine go silent for good while new ones
 * work. Streams go on within a stated time, and the engine still gets new work.
 */

import { delay, type RandomSource } from '#jayfall/shared'
import { type TestSystem } from '#jayfall/testbed'

import { askStreamed, findAnswerViolations, type AnswerRecord } from './JayfallAnswerRecord'
import { Proof, type ProofOptions, type ProofResult } from './JayfallProof'
import { PROOF_WORKSPACE, engineSystemSettings, injectFaults, runCallers, withSystem } from './JayfallProofSystem'

const ENGINES = 2
const CALLERS = 10
const ROUNDS = 4
const TOKENS = 150
const FAULT_PAUSE_MILLISECONDS = 2500
/**
 * The stated time: 2 s of silence after the first token, found by a check every 0.5 s, and a new connection;
 * a silence that begins before the first token takes up to 5 s and a check.
 */
const LONGEST_GAP_MILLISECONDS = 6500
const CALL_LIMIT_MILLISECONDS = 40_000

export class SilentProof extends Proof {
  override readonly name = 'silent'
  override readonly promises = [11]

  override async run ({ seed, isCounterProof }: ProofOptions): Promise<ProofResult> {
    const settings = engineSystemSettings(ENGINES, 2, { seed, replacedPart: isCounterProof ? 'silence-checks' : undefined })
    return await withSystem(settings, system => this.observe(system, seed))
  }

  private async observe (system: TestSystem, seed: number): Promise<ProofResult> {
    let isOver = false
    const silence = (random: RandomSource): Promise<void> => system.changeLink(`engine-${random.integer(1, ENGINES)}`, { silence: 'open' })
    const faults = injectFaults(seed, [silence], FAULT_PAUSE_MILLISECONDS, () => isOver)
    const records = await runCallers(CALLERS, ROUNDS, caller => this.ask(system, caller))
    isOver = true
    const count = await faults
    return { operations: records.length, faults: count, violations: [...records.flatMap(findViolations), ...await findBlame(system)] }
  }

  private async ask (system: TestSystem, caller: number): Promise<AnswerRecord | undefined> {
    const address = system.callersAddress(`entry-${caller % 2 + 1}`)
    return await Promise.race([askStreamed({ address, workspace: PROOF_WORKSPACE, model: 'guide', tokens: TOKENS }), delay(CALL_LIMIT_MILLISECONDS, true).then(() => undefined)])
  }
}

function findViolations (record: AnswerRecord | undefined): readonly string[] {
  if (record === undefined) return [`an answer was not whole after ${CALL_LIMIT_MILLISECONDS} ms`]
  const request = record.headers['x-jayfall-request']
  return [
    ...findAnswerViolations(record, TOKENS),
    ...(record.isDone ? [] : [`request ${request}: not whole, ${record.error?.code ?? 'broken'}`]),
    ...(record.longestGap <= LONGEST_GAP_MILLISECONDS ? [] : [`request ${request}: ${Math.round(record.longestGap)} ms without an event`])
  ]
}

/** The engines are well, so each must get new work right after its connections went silent. */
async function findBlame (system: TestSystem): Promise<readonly string[]> {
  const before = await startedByEngine(system)
  for (let engine = 1; engine <= ENGINES; engine++) await system.changeLink(`engine-${engine}`, { silence: 'open' })
  await Promise.all(Array.from({ length: 12 }, (_, caller) =>
    Promise.race([askStreamed({ address: system.callersAddress(`entry-${caller % 2 + 1}`), workspace: PROOF_WORKSPACE, model: 'guide', tokens: 10 }), delay(CALL_LIMIT_MILLISECONDS, true)])))
  const after = await startedByEngine(system)
  return after.flatMap((count, index) => count > before[index] ? [] : [`engine-${index + 1} got no work after its connections had gone silent`])
}

async function startedByEngine (system: TestSystem): Promise<readonly number[]> {
  return await Promise.all(Array.from({ length: ENGINES }, async (_, index) =>
    Object.keys(await system.readStandIn<object>(`engine-${index + 1}`, '/started')).length))
}
