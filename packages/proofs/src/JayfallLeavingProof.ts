/**
 * Leaving backend servers (promise 8): a server that the catalogue marks, and one that says so itself,
 * receive no new work after a few seconds, and their running streams finish.
 */

import { delay } from '#jayfall/shared'
import { type TestSystem } from '#jayfall/testbed'

import { askStreamed, findAnswerViolations, type AnswerRecord } from './JayfallAnswerRecord'
import { Proof, type ProofOptions, type ProofResult } from './JayfallProof'
import { PROOF_WORKSPACE, engineSystemSettings, runCallers, withSystem } from './JayfallProofSystem'

const ENGINES = 4
const CALLERS = 12
const ROUNDS = 12
const TOKENS = 40
/** After this time a leaving server must not get new work. */
const LEARN_MILLISECONDS = 3000
const MARK_AFTER_MILLISECONDS = 2000

export class LeavingProof extends Proof {
  override readonly name = 'leaving'
  override readonly promises = [8]

  override async run ({ seed, isCounterProof }: ProofOptions): Promise<ProofResult> {
    const settings = engineSystemSettings(ENGINES, 2, { seed, replacedPart: isCounterProof ? 'leaving' : undefined })
    return await withSystem(settings, system => this.observe(system))
  }

  private async observe (system: TestSystem): Promise<ProofResult> {
    const marks = markServers(system)
    const records = await runCallers(CALLERS, ROUNDS, caller =>
      askStreamed({ address: system.callersAddress(`entry-${caller % 2 + 1}`), workspace: PROOF_WORKSPACE, model: 'guide', tokens: TOKENS }))
    const { afterLearning } = await marks
    const atEnd = await startedCounts(system)
    const late = afterLearning.flatMap((count, index) => atEnd[index] > count ? [`engine-${index + 1} got ${atEnd[index] - count} requests more than ${LEARN_MILLISECONDS} ms after it was marked`] : [])
    return { operations: records.length, faults: 2, violations: [...late, ...records.flatMap(findUnfinished)] }
  }
}

/** Engine 1 is marked in the catalogue, engine 2 announces itself. */
async function markServers (system: TestSystem): Promise<{ readonly afterLearning: readonly number[] }> {
  await delay(MARK_AFTER_MILLISECONDS)
  const marked = await system.withCatalogue(store => store.readEntry('server/engine-1'))
  if (marked?.entry.kind === 'server') await system.putEntry({ ...marked.entry, leaving: true })
  await system.changeServer('engine-2', { leaving: true })
  await delay(LEARN_MILLISECONDS)
  return { afterLearning: (await startedCounts(system)).slice(0, 2) }
}

async function startedCounts (system: TestSystem): Promise<readonly number[]> {
  return await Promise.all(Array.from({ length: ENGINES }, async (_, index) => {
    const { requests } = await system.readStandIn<{ requests: number }>(`engine-${index + 1}`, '/received')
    return requests
  }))
}

function findUnfinished (record: AnswerRecord): readonly string[] {
  if (record.isDone) return findAnswerViolations(record, TOKENS)
  return [`request ${record.headers['x-jayfall-request'] ?? 'unknown'} was not finished: ${record.error?.code ?? 'connection broken'}`]
}
