/**
 * Planned stops (promise 9): instances are stopped with SIGTERM and started again under load, behind
 * a balancer that looks at their readiness. No request is cut off.
 */

import { createRandomSource, delay, type RandomSource } from '#jayfall/shared'
import { type TestSystem } from '#jayfall/testbed'

import { askStreamed, findAnswerViolations, type AnswerRecord } from './JayfallAnswerRecord'
import { Proof, type ProofOptions, type ProofResult } from './JayfallProof'
import { PROOF_WORKSPACE, engineSystemSettings, runCallers, withSystem } from './JayfallProofSystem'

const ENTRIES = 3
const CALLERS = 12
const ROUNDS = 10
const TOKENS = 50
const STOPS = 6
const BALANCER_INTERVAL_MILLISECONDS = 50
const STOP_PAUSE_MILLISECONDS = 400
/** The stated time: notice, the longest answer, and writing bills. */
const STOP_LIMIT_MILLISECONDS = 10_000

export class PlannedStopProof extends Proof {
  override readonly name = 'planned-stop'
  override readonly promises = [9]

  override async run ({ seed, isCounterProof }: ProofOptions): Promise<ProofResult> {
    return await withSystem(engineSystemSettings(3, ENTRIES, { seed }), system => this.observe(system, seed, isCounterProof))
  }

  private async observe (system: TestSystem, seed: number, isCounterProof: boolean): Promise<ProofResult> {
    const random = createRandomSource(seed)
    const balancer = new Balancer(system)
    balancer.start()
    const stops = stopInTurn(system, seed, isCounterProof)
    const records = await runCallers(CALLERS, ROUNDS, () => askReady(balancer, random))
    const violations = await stops
    balancer.stop()
    const answers = records.filter(record => record !== undefined)
    return { operations: answers.length, faults: STOPS, violations: [...violations, ...answers.flatMap(findCut)] }
  }
}

/** Sends new requests only to instances whose last check found them ready. */
class Balancer {
  private timer: NodeJS.Timeout | undefined
  private addresses: readonly string[] = []

  constructor (private readonly system: TestSystem) {
    this.addresses = Array.from({ length: ENTRIES }, (_, index) => system.callersAddress(`entry-${index + 1}`))
  }

  get ready (): readonly string[] {
    return this.addresses
  }

  start (): void {
    this.timer = setInterval(() => { this.check().catch(() => {}) }, BALANCER_INTERVAL_MILLISECONDS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private async check (): Promise<void> {
    const all = Array.from({ length: ENTRIES }, (_, index) => this.system.callersAddress(`entry-${index + 1}`))
    const ready = await Promise.all(all.map(address => fetch(`http://${address}/readyz`).then(({ ok }) => ok, () => false)))
    this.addresses = all.filter((_, index) => ready[index])
  }
}

async function askReady (balancer: Balancer, random: RandomSource): Promise<AnswerRecord | undefined> {
  const address = random.pick(balancer.ready)
  if (address !== undefined) return await askStreamed({ address, workspace: PROOF_WORKSPACE, model: 'guide', tokens: TOKENS })
  await delay(BALANCER_INTERVAL_MILLISECONDS)
  return undefined
}

/** Stops one instance after the other; the counter-proof sends the second signal, which skips the waiting. */
async function stopInTurn (system: TestSystem, seed: number, isCounterProof: boolean): Promise<readonly string[]> {
  const random: RandomSource = createRandomSource(seed + 1)
  const violations: string[] = []
  for (let stop = 0; stop < STOPS; stop++) {
    await delay(random.exponential(STOP_PAUSE_MILLISECONDS))
    const id = `entry-${random.integer(1, ENTRIES)}`
    const startedAt = performance.now()
    if (isCounterProof) system.entryProcess(id).signal('SIGTERM')
    if (isCounterProof) await delay(BALANCER_INTERVAL_MILLISECONDS)
    const status = await system.entryProcess(id).stop()
    if (status !== 0) violations.push(`${id} ended with status ${status}`)
    if (performance.now() - startedAt > STOP_LIMIT_MILLISECONDS) violations.push(`${id} took longer than ${STOP_LIMIT_MILLISECONDS} ms to stop`)
    await system.restartEntry(id)
  }
  return violations
}

function findCut (record: AnswerRecord): readonly string[] {
  const request = record.headers['x-jayfall-request'] ?? 'unknown'
  if (record.isDone) return findAnswerViolations(record, TOKENS)
  return [`request ${request} was cut off: status ${record.status}, ${record.error?.code ?? 'connection broken'} after ${record.eventIds.length} events`]
}
