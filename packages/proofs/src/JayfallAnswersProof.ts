/**
 * Whole answers and truthful refusals (promises 5 and 6) while connections to engines are cut,
 * engines deliver another stream's events, and instances are killed.
 */

import { createRandomSource, delay, type RandomSource } from '#jayfall/shared'
import { type TestSystem } from '#jayfall/testbed'

import { askStreamed, findAnswerViolations, resumeStreamed, type AnswerRecord } from './JayfallAnswerRecord'
import { Proof, type ProofOptions, type ProofResult } from './JayfallProof'
import { PROOF_WORKSPACE, engineSystemSettings, injectFaults, runCallers, withSystem } from './JayfallProofSystem'

const ENGINES = 3
const ENTRIES = 3
const CALLERS = 12
const ROUNDS = 8
const TOKENS = 60
const CUT_MILLISECONDS = 60
/** Mean time between faults. */
const FAULT_PAUSE_MILLISECONDS = 350
const RESUME_ATTEMPTS = 5
const RESUME_PAUSE_MILLISECONDS = 200

export class AnswersProof extends Proof {
  override readonly name = 'answers'
  override readonly promises = [5, 6]

  override async run ({ seed, isCounterProof }: ProofOptions): Promise<ProofResult> {
    const settings = engineSystemSettings(ENGINES, ENTRIES, { seed, replacedPart: isCounterProof ? 'stream-checks' : undefined })
    return await withSystem(settings, system => this.observe(system, seed))
  }

  private async observe (system: TestSystem, seed: number): Promise<ProofResult> {
    const random = createRandomSource(seed)
    let isOver = false
    const faults = injectFaults(seed, createFaults(system), FAULT_PAUSE_MILLISECONDS, () => isOver)
    const records = await runCallers(CALLERS, ROUNDS, () => askAndResume(system, random))
    isOver = true
    const violations = records.flatMap(record => findAnswerViolations(record, TOKENS))
    const started = await startedStreams(system)
    return { operations: records.length, faults: await faults, violations: [...violations, ...findRunViolations(records, started)] }
  }
}

function createFaults (system: TestSystem) {
  const anyEngine = (random: RandomSource): string => `engine-${random.integer(1, ENGINES)}`
  const cut = async (random: RandomSource): Promise<void> => {
    const engine = anyEngine(random)
    await system.changeLink(engine, { cut: true })
    await delay(CUT_MILLISECONDS)
    await system.changeLink(engine, { cut: false })
  }
  const cross = (random: RandomSource): Promise<void> => system.changeServer(anyEngine(random), { crossedEvents: 3 })
  const kill = (random: RandomSource): Promise<void> => system.restartEntry(`entry-${random.integer(1, ENTRIES)}`)
  return [cut, cut, cross, cross, kill]
}

/** Asks one instance; when the connection breaks, goes on through others as a caller would. */
async function askAndResume (system: TestSystem, random: RandomSource): Promise<AnswerRecord> {
  const anyAddress = (): string => system.callersAddress(`entry-${random.integer(1, ENTRIES)}`)
  const headers = { 'x-jayfall-resumable': '1' }
  let record = await askStreamed({ address: anyAddress(), workspace: PROOF_WORKSPACE, model: 'guide', tokens: TOKENS, headers })
  for (let attempt = 0; attempt < RESUME_ATTEMPTS && record.isBroken && record.headers['x-jayfall-stream'] !== undefined; attempt++) {
    await delay(RESUME_PAUSE_MILLISECONDS)
    const resumed = await resumeStreamed(anyAddress(), PROOF_WORKSPACE, record)
    // An instance that is down, or not ready yet, says nothing about the stream.
    if (resumed.status === 200) record = resumed
  }
  return record
}

async function startedStreams (system: TestSystem): Promise<ReadonlyMap<string, number>> {
  const started = new Map<string, number>()
  for (let engine = 1; engine <= ENGINES; engine++) {
    const counts = await system.readStandIn<Record<string, number>>(`engine-${engine}`, '/started')
    for (const [stream, count] of Object.entries(counts)) started.set(stream, (started.get(stream) ?? 0) + count)
  }
  return started
}

function findRunViolations (records: readonly AnswerRecord[], started: ReadonlyMap<string, number>): readonly string[] {
  const startedRequests = new Set([...started.keys()].map(stream => stream.slice(0, stream.lastIndexOf('.'))))
  const twice = [...started].filter(([, count]) => count > 1).map(([stream]) => `stream ${stream} was started twice`)
  const untrue = records.flatMap(({ error }) => error?.ran === 'no' && startedRequests.has(error.requestId) ? [`request ${error.requestId} ran and was called not run`] : [])
  return [...twice, ...untrue]
}
