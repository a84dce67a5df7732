/**
 * Steady sessions (promise 3): each session's requests land on any instance while instances are killed
 * and traffic shares change. Its version changes only at a withdrawal, and then explicitly.
 */

import { createRandomSource, delay, type RandomSource } from '#jayfall/shared'
import { testVersion, type TestSystem } from '#jayfall/testbed'

import { askStreamed, type AnswerRecord } from './JayfallAnswerRecord'
import { Proof, type ProofOptions, type ProofResult } from './JayfallProof'
import { PROOF_WORKSPACE, engineSystemSettings, injectFaults, runCallers, withSystem } from './JayfallProofSystem'

const ENTRIES = 3
const SESSIONS = 16
const ROUNDS = 12
const TOKENS = 4
const FAULT_PAUSE_MILLISECONDS = 500
/** Mean time between a session's requests. */
const REQUEST_PAUSE_MILLISECONDS = 800
/** An accepted change is in force everywhere within this time. */
const IN_FORCE_MILLISECONDS = 9000

interface Session {
  readonly token: string
  readonly version: string
}

export class SessionsProof extends Proof {
  override readonly name = 'sessions'
  override readonly promises = [3]

  override async run ({ seed, isCounterProof }: ProofOptions): Promise<ProofResult> {
    const settings = engineSystemSettings(2, ENTRIES, { seed, replacedPart: isCounterProof ? 'sessions' : undefined, tokenInterval: 2 })
    return await withSystem(settings, system => this.observe(system, seed))
  }

  private async observe (system: TestSystem, seed: number): Promise<ProofResult> {
    const random = createRandomSource(seed)
    const violations: string[] = []
    const sessions = new Map<number, Session>()
    let isOver = false
    const faults = injectFaults(seed, createFaults(system), FAULT_PAUSE_MILLISECONDS, () => isOver)
    const records = await runCallers(SESSIONS, ROUNDS, async caller => {
      const record = await ask(system, random, sessions.get(caller)?.token)
      violations.push(...takeRecord(sessions, caller, record))
      await delay(random.exponential(REQUEST_PAUSE_MILLISECONDS))
      return record
    })
    isOver = true
    const count = await faults
    violations.push(...await checkForgery(system, sessions), ...await checkWithdrawal(system, random, sessions))
    return { operations: records.length, faults: count, violations }
  }
}

function createFaults (system: TestSystem) {
  const kill = (random: RandomSource): Promise<void> => system.restartEntry(`entry-${random.integer(1, ENTRIES)}`)
  const shift = async (random: RandomSource): Promise<void> => {
    const share = random.integer(0, 100)
    await system.putEntry(testVersion('guide-1', { trafficShare: share }))
    await system.putEntry(testVersion('guide-2', { trafficShare: 100 - share, version: '2' }))
  }
  return [kill, shift, shift]
}

function ask (system: TestSystem, random: RandomSource, token: string | undefined, headers: Readonly<Record<string, string>> = {}, workspace = PROOF_WORKSPACE): Promise<AnswerRecord> {
  const address = system.callersAddress(`entry-${random.integer(1, ENTRIES)}`)
  return askStreamed({ address, workspace, model: 'guide', tokens: TOKENS, headers: { ...headers, ...(token === undefined ? {} : { 'x-jayfall-session': token }) } })
}

function takeRecord (sessions: Map<number, Session>, caller: number, { status, headers }: AnswerRecord): readonly string[] {
  if (status !== 200) return []
  const version = headers['x-jayfall-version']
  const before = sessions.get(caller)?.version
  sessions.set(caller, { token: headers['x-jayfall-session'], version })
  return before === undefined || before === version ? [] : [`session ${caller} changed from ${before} to ${version}`]
}

async function checkForgery (system: TestSystem, sessions: ReadonlyMap<number, Session>): Promise<readonly string[]> {
  const random = createRandomSource(1)
  const [session] = sessions.values()
  const middle = Math.floor(session.token.length / 2)
  const changed = session.token[middle] === 'A' ? 'B' : 'A'
  const forged = await ask(system, random, `${session.token.slice(0, middle)}${changed}${session.token.slice(middle + 1)}`)
  const foreign = await ask(system, random, session.token, {}, 'taller-dos')
  return [
    ...(forged.error?.code === 'session_invalid' ? [] : [`a forged token was answered with status ${forged.status}`]),
    ...(foreign.error?.code === 'session_forbidden' ? [] : [`another workspace's token was answered with status ${foreign.status}`])
  ]
}

async function checkWithdrawal (system: TestSystem, random: RandomSource, sessions: ReadonlyMap<number, Session>): Promise<readonly string[]> {
  await system.putEntry(testVersion('guide-1', { state: 'withdrawn', trafficShare: 0 }))
  await system.putEntry(testVersion('guide-2', { version: '2', trafficShare: 100 }))
  await delay(IN_FORCE_MILLISECONDS)
  const violations: string[] = []
  for (const [caller, { token, version }] of sessions) {
    const record = await ask(system, random, token)
    const isRight = version === 'guide-1' ? record.error?.code === 'session_version_withdrawn' && record.error.ran === 'no' : record.headers['x-jayfall-version'] === version
    if (!isRight) violations.push(`session ${caller} on ${version}: status ${record.status} and version ${record.headers['x-jayfall-version']} after the withdrawal`)
    if (version !== 'guide-1') continue
    const moved = await ask(system, random, token, { 'x-jayfall-on-withdrawal': 'move' })
    if (moved.headers['x-jayfall-session-moved'] !== 'guide-1 guide-2') violations.push(`session ${caller} was not moved explicitly`)
  }
  return violations
}
