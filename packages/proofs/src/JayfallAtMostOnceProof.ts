/**
 * Non-idempotent calls run at most once, refusals with `ran: no` are true, and what ran can be learnt later.
 *
 * Callers repeat each key on several instances at once while instances are killed and paused
 * and the store loses replies, is slow, silent or down. One pause lasts longer than every
 * timeout and than the age at which recovery takes a row up.
 */

import { type CallRow, type OpenCall } from '#jayfall/ledger'
import { createRandomSource, delay, type RandomSource } from '#jayfall/shared'
import { testPlainService, type TestSystem, testWorkspace } from '#jayfall/testbed'

import { applyFaults, disturbLink, disturbPlatform, killEntry, pauseEntry, placeFault, placeInTurn, type Fault } from './JayfallFaultSchedule'
import { type PlainRun, readPlainRuns, readTable } from './JayfallPlainRuns'
import { Proof, type ProofOptions, type ProofResult } from './JayfallProof'
import { counterProgram, withSystem } from './JayfallProofSystem'
import { RecordingCaller, type RecordedAnswer } from './JayfallRecordingCaller'

const WORKSPACE = 'taller-uno'
const ENTRIES = ['entry-1', 'entry-2', 'entry-3']
const SERVERS = ['desk-1', 'desk-2', 'blind-1']
/** With and without a lookup of outcomes. */
const SERVICES = ['desk', 'blind-desk']
const KEYS = 240
const FAULT_WINDOW_MILLISECONDS = 12_000
/** Longer than the age at which recovery takes up a row, with the recovery's interval. */
const LONG_PAUSE_MILLISECONDS = 37_000
const SETTLE_LIMIT_MILLISECONDS = 45_000
const CALLER_TIMEOUT_MILLISECONDS = 8000
const MAXIMUM_REPEATS = 3

interface Student {
  readonly key: string
  readonly service: string
  readonly startsAt: number
  /** Instances that are called at the same moment. */
  readonly instances: readonly string[]
}

/** Promises 7 and 6. */
export class AtMostOnceProof extends Proof {
  override readonly name = 'at-most-once'
  override readonly promises = [7, 6]

  override async run ({ seed, isCounterProof }: ProofOptions): Promise<ProofResult> {
    return await withSystem({
      seed,
      servers: [
        { id: 'desk-1', zone: 'valdivia', service: 'desk', type: 'plain', options: ['--call-time', '80'] },
        { id: 'desk-2', zone: 'valdivia', service: 'desk', type: 'plain', options: ['--call-time', '20'] },
        { id: 'blind-1', zone: 'valdivia', service: 'blind-desk', type: 'plain', options: ['--call-time', '80'] }
      ],
      entries: ENTRIES.map(id => ({ id, zone: 'valdivia', settings: { callers: { 'request-deadline': '5s' } } })),
      catalogue: [testPlainService('desk'), testPlainService('blind-desk', false), testWorkspace(WORKSPACE, SERVICES)],
      ...(isCounterProof ? { entryProgram: counterProgram('claims') } : {})
    }, system => this.drive(system, createRandomSource(seed)))
  }

  private async drive (system: TestSystem, random: RandomSource): Promise<ProofResult> {
    const caller = new RecordingCaller(WORKSPACE, CALLER_TIMEOUT_MILLISECONDS)
    const faults = planFaults(system, random)
    const students = Array.from({ length: KEYS }, (_, index) => planStudent(random, index))
    const applied = applyFaults(faults)
    await Promise.all(students.map(student => this.enrol(system, caller, student, createRandomSource(random.integer(0, 2 ** 30)))))
    await applied
    await waitUntilSettled(system)
    const runs = await readPlainRuns(system, SERVERS)
    const rows = await readTable<CallRow>(system, 'calls')
    const outcomes = new RecordingCaller(WORKSPACE, CALLER_TIMEOUT_MILLISECONDS)
    for (const { key } of students) await outcomes.send({ key, address: system.callersAddress('entry-1'), path: `/v1/requests/${key}`, method: 'GET' })
    const violations = [...findViolations(students, runs, rows, caller.answers), ...findUnlearnt(runs, outcomes.answers, students)]
    return { operations: caller.answers.length, faults: faults.length, violations: [...violations, ...assertCoverage(caller.answers, runs)] }
  }

  /** Calls several instances at once, and repeats on others. */
  private async enrol (system: TestSystem, caller: RecordingCaller, { key, service, startsAt, instances }: Student, random: RandomSource): Promise<void> {
    await delay(startsAt)
    const send = (instance: string) =>
      caller.send({ key, address: system.callersAddress(instance), path: `/v1/services/${service}/enrol`, body: { key } })
    const first = await Promise.all(instances.map(send))
    let isAnswered = first.some(({ status }) => status === 200)
    for (let repeat = 0; repeat < MAXIMUM_REPEATS; repeat++) {
      // Some callers repeat a key although they have its outcome.
      if (isAnswered && !random.chance(0.3)) return
      await delay(random.integer(100, 1500))
      isAnswered = (await send(random.pick(ENTRIES) as string)).status === 200 || isAnswered
    }
  }
}

function planStudent (random: RandomSource, index: number): Student {
  return {
    key: `student-${index}`,
    service: random.pick(SERVICES) as string,
    startsAt: random.integer(0, FAULT_WINDOW_MILLISECONDS),
    instances: random.sample(ENTRIES, random.integer(1, ENTRIES.length))
  }
}

function planFaults (system: TestSystem, random: RandomSource): readonly Fault[] {
  const [first, second, third] = random.sample(ENTRIES, ENTRIES.length)
  const storeFaults = [
    { ...disturbPlatform(system, { lostReplies: 0.4 }), duration: 1800 },
    { ...disturbPlatform(system, { slow: 400 }), duration: 1200 },
    { ...disturbPlatform(system, { down: true }), duration: 1000 },
    // Longer than the platform timeout, so that writes arrive after their callers gave up.
    { ...disturbLink(system, 'platform', { delay: 1200 }), duration: 1500 },
    { ...disturbLink(system, 'platform', { silence: 'all' }), duration: 1500 }
  ]
  return [
    ...placeInTurn(random, storeFaults, 500, FAULT_WINDOW_MILLISECONDS - 1000),
    ...placeInTurn(random, [1, 2].map(() => ({ ...killEntry(system, first), duration: 300 })), 1000, FAULT_WINDOW_MILLISECONDS),
    ...placeInTurn(random, [{ ...killEntry(system, second), duration: 300 }, { ...pauseEntry(system, second), duration: 3000 }], 1000, FAULT_WINDOW_MILLISECONDS),
    placeFault(random, pauseEntry(system, third), 1500, 5000, LONG_PAUSE_MILLISECONDS),
    placeFault(random, disturbLink(system, 'desk-1', { lostReplies: true }), 1000, FAULT_WINDOW_MILLISECONDS, 1500),
    placeFault(random, disturbLink(system, 'blind-1', { lostReplies: true }), 1000, FAULT_WINDOW_MILLISECONDS, 500)
  ]
}

/** Waits until recovery has taken up every call that lost its owner. */
async function waitUntilSettled (system: TestSystem): Promise<void> {
  const deadline = performance.now() + SETTLE_LIMIT_MILLISECONDS
  while (performance.now() < deadline) {
    const open = await readTable<OpenCall>(system, 'calls-open')
    if ([...open.values()].every(({ state }) => state !== 'dispatched')) return
    await delay(500)
  }
}

function findViolations (students: readonly Student[], runs: readonly PlainRun[], rows: ReadonlyMap<string, CallRow>, answers: readonly RecordedAnswer[]): readonly string[] {
  const violations: string[] = []
  const ran = new Set(runs.map(({ requestId }) => requestId))
  for (const { error, key } of answers) {
    if (error?.ran === 'no' && ran.has(error.requestId)) violations.push(`${key}: request ${error.requestId} ran although the answer said ran: no (${error.code})`)
  }
  for (const { key } of students) {
    const ofKey = runs.filter(run => run.key === key)
    const count = ofKey.reduce((sum, run) => sum + run.runs, 0)
    const row = rows.get(`${WORKSPACE}/${key}`)
    const told = answers.filter(answer => answer.key === key)
    if (count > 1) violations.push(`${key}: ran ${count} times`)
    if (count > 0 && (row === undefined || row.state === 'not-run')) violations.push(`${key}: ran and its row is ${row?.state ?? 'absent'}`)
    if (count === 0 && row?.state === 'done') violations.push(`${key}: did not run and its row is done`)
    if (count > 0 && told.every(({ error }) => error?.ran === 'no')) violations.push(`${key}: ran and every answer said ran: no`)
    for (const { status, text } of told) {
      if (status === 200 && !ofKey.some(({ outcome }) => JSON.stringify(outcome) === text)) violations.push(`${key}: an answer differs from what the service recorded`)
    }
  }
  return violations
}

/** The outcome of each call that ran must be found through `GET /v1/requests/{key}`; `unknown` only without a lookup. */
function findUnlearnt (runs: readonly PlainRun[], answers: readonly RecordedAnswer[], students: readonly Student[]): readonly string[] {
  return runs.flatMap(({ key, outcome }) => {
    const answer = answers.find(other => other.key === key)
    const { state, outcome: recorded } = (answer?.status === 200 ? JSON.parse(answer.text ?? '{}') : {}) as { state?: string, outcome?: { body: string } }
    const hasLookup = students.find(student => student.key === key)?.service === 'desk'
    if (state === 'done' && recorded?.body === JSON.stringify(outcome)) return []
    return state === 'unknown' && !hasLookup ? [] : [`${key}: ran and its outcome is reported as ${state ?? answer?.error?.code ?? 'no answer'}`]
  })
}

/** A run in which hardly anything ran would show nothing. */
function assertCoverage (answers: readonly RecordedAnswer[], runs: readonly PlainRun[]): readonly string[] {
  const isCovered = runs.length > KEYS / 2 && answers.some(({ isReplayed }) => isReplayed) && answers.some(({ error }) => error?.ran === 'unknown')
  return isCovered ? [] : [`the run shows too little: ${runs.length} of ${KEYS} calls ran`]
}
