/**
 * Each finished draft and each enrolment that ran is billed exactly once.
 *
 * Instances are killed one after another, before, within and after a store outage, while the
 * store loses replies. A second kill comes only when the witness of the first has had time to
 * write, as the loss of both holders of a bill is outside the promise.
 */

import { type Bill, type BillPart, type CallRow, type OpenCall } from '#jayfall/ledger'
import { createRandomSource, delay, type RandomSource } from '#jayfall/shared'
import { TestProcess, type TestSystem, testEngineService, testPlainService, testVersion, testWorkspace } from '#jayfall/testbed'

import { applyFaults, disturbPlatform, killEntry, placeFault, type Fault } from './JayfallFaultSchedule'
import { readPlainRuns, readTable, type PlainRun } from './JayfallPlainRuns'
import { Proof, type ProofOptions, type ProofResult } from './JayfallProof'
import { counterProgram, withSystem } from './JayfallProofSystem'
import { RecordingCaller, type RecordedAnswer } from './JayfallRecordingCaller'

const WORKSPACE = 'taller-uno'
const ENTRIES = ['entry-1', 'entry-2', 'entry-3']
const DRAFTS = 500
const ENROLMENTS = 100
const TRAFFIC_MILLISECONDS = 22_000
const SETTLE_LIMIT_MILLISECONDS = 33_000
const CALLER_TIMEOUT_MILLISECONDS = 10_000
const MAXIMUM_TRIES = 6
const ENROLMENT_PRICE = 3

interface Draft {
  readonly key: string
  readonly startsAt: number
  readonly outputTokens: number
  readonly isStreamed: boolean
}

/** Promise 4. */
export class BillingProof extends Proof {
  override readonly name = 'billing'
  override readonly promises = [4]

  override async run ({ seed, isCounterProof }: ProofOptions): Promise<ProofResult> {
    return await withSystem({
      seed,
      servers: [
        { id: 'engine-1', zone: 'valdivia', service: 'asistente', type: 'engine' },
        { id: 'engine-2', zone: 'valdivia', service: 'asistente', type: 'engine' },
        { id: 'desk-1', zone: 'valdivia', service: 'desk', type: 'plain', options: ['--call-time', '50'] }
      ],
      entries: ENTRIES.map(id => ({ id, zone: 'valdivia', settings: { callers: { 'request-deadline': '5s' } } })),
      catalogue: [testVersion('guide-1'), testEngineService('asistente', ['guide-1']), testPlainService('desk'), testWorkspace(WORKSPACE, ['guide-1', 'desk'])],
      ...(isCounterProof ? { entryProgram: counterProgram('replication') } : {})
    }, system => this.drive(system, createRandomSource(seed)))
  }

  private async drive (system: TestSystem, random: RandomSource): Promise<ProofResult> {
    const drafting = new RecordingCaller(WORKSPACE, CALLER_TIMEOUT_MILLISECONDS)
    const enrolling = new RecordingCaller(WORKSPACE, CALLER_TIMEOUT_MILLISECONDS)
    const faults = planFaults(system, random)
    const drafts = Array.from({ length: DRAFTS }, (_, index) => planDraft(random, index))
    const applied = applyFaults(faults)
    await Promise.all([
      ...drafts.map(draft => this.draft(system, drafting, draft, createRandomSource(random.integer(0, 2 ** 30)))),
      ...Array.from({ length: ENROLMENTS }, (_, index) => this.enrol(system, enrolling, `student-${index}`, createRandomSource(random.integer(0, 2 ** 30))))
    ])
    await applied
    const finished = new Map(drafts.filter(({ key }) => drafting.answers.some(answer => answer.key === key && isWhole(answer))).map(draft => [draft.key, draft]))
    await waitUntilSettled(system, new Set(finished.keys()))
    const bills = await exportBills(system)
    const parts = await readBillParts(system)
    const runs = await readPlainRuns(system, ['desk-1'])
    const rows = await readTable<CallRow>(system, 'calls')
    const violations = [
      ...checkDrafts(bills, finished, drafts), ...checkParts(parts), ...checkEnrolments(bills, runs, rows, enrolling.answers),
      ...finished.size > DRAFTS * 0.9 && runs.length > ENROLMENTS / 2 ? [] : [`the run shows too little: ${finished.size} drafts and ${runs.length} enrolments`]
    ]
    return { operations: drafting.answers.length + enrolling.answers.length, faults: faults.length, violations }
  }

  private async draft (system: TestSystem, caller: RecordingCaller, { key, startsAt, outputTokens, isStreamed }: Draft, random: RandomSource): Promise<void> {
    await delay(startsAt)
    const body = { model: 'guide', stream: isStreamed, max_tokens: outputTokens, messages: [{ role: 'user', content: `draft ${key}` }] }
    for (let attempt = 0; attempt < MAXIMUM_TRIES; attempt++) {
      const answer = await caller.send({ key, address: system.callersAddress(random.pick(ENTRIES) as string), path: '/v1/chat/completions', body })
      if (isWhole(answer)) return
      await delay(random.integer(100, 800))
    }
  }

  private async enrol (system: TestSystem, caller: RecordingCaller, key: string, random: RandomSource): Promise<void> {
    await delay(random.integer(0, TRAFFIC_MILLISECONDS))
    for (let attempt = 0; attempt < MAXIMUM_TRIES; attempt++) {
      const answer = await caller.send({ key, address: system.callersAddress(random.pick(ENTRIES) as string), path: '/v1/services/desk/enrol', body: { key } })
      if (answer.status === 200) return
      await delay(random.integer(200, 1500))
    }
  }
}

function planDraft (random: RandomSource, index: number): Draft {
  return { key: `draft-${index}`, startsAt: random.integer(0, TRAFFIC_MILLISECONDS), outputTokens: random.integer(2, 60), isStreamed: random.chance(0.7) }
}

function planFaults (system: TestSystem, random: RandomSource): readonly Fault[] {
  const [first, second, third] = random.sample(ENTRIES, ENTRIES.length)
  return [
    placeFault(random, killEntry(system, first), 1500, 3000, 300),
    placeFault(random, disturbPlatform(system, { lostReplies: 0.4 }), 5500, 6500, 2000),
    placeFault(random, killEntry(system, second), 9500, 10_000, 300),
    // The third instance dies within the outage: only its witness has its bills until the store is back.
    placeFault(random, disturbPlatform(system, { down: true }), 14_000, 14_500, 4500),
    placeFault(random, killEntry(system, third), 15_500, 17_500, 4000),
    placeFault(random, disturbPlatform(system, { slow: 300 }), 20_000, 21_000, 2000)
  ]
}

/** A whole answer: all events up to the end mark, or a complete JSON body. */
function isWhole ({ status, text }: RecordedAnswer): boolean {
  return status === 200 && text !== undefined && (text.startsWith('{') || text.endsWith('data: [DONE]\n\n'))
}

async function readBillParts (system: TestSystem): Promise<readonly BillPart[]> {
  const parts: BillPart[] = []
  for (let after = ''; ;) {
    const { names } = await system.readStandIn<{ names: readonly string[] }>('platform', `/objects?prefix=bills/&after=${encodeURIComponent(after)}`)
    if (names.length === 0) return parts
    for (const name of names) parts.push(await system.readStandIn<BillPart>('platform', `/objects/${encodeURIComponent(name)}`))
    after = names[names.length - 1]
  }
}

/** Waits for the last batches and for the recovery of calls that lost their owner. */
async function waitUntilSettled (system: TestSystem, finished: ReadonlySet<string>): Promise<void> {
  const deadline = performance.now() + SETTLE_LIMIT_MILLISECONDS
  while (performance.now() < deadline) {
    await delay(1000)
    const open = await readTable<OpenCall>(system, 'calls-open')
    const stored = new Set((await readBillParts(system)).flatMap(({ bills }) => bills.map(({ key }) => key)))
    if (open.size === 0 && [...finished].every(key => stored.has(`${WORKSPACE}/${key}`))) return
  }
}

/** The ledger as an operator sees it. */
async function exportBills (system: TestSystem): Promise<readonly Bill[]> {
  const command = new TestProcess('bill export', 'command/src/main.js', ['bill', 'export', '--json', '--platform', system.directAddress('platform')])
  while (command.isRunning) await delay(20)
  // The end of the process can be seen before its last output.
  await delay(200)
  return (JSON.parse(command.output) as { bills: readonly Bill[] }).bills
}

function checkDrafts (bills: readonly Bill[], finished: ReadonlyMap<string, Draft>, drafts: readonly Draft[]): readonly string[] {
  const ofDrafts = bills.filter(({ source }) => source === 'guide-1')
  const known = new Map(drafts.map(draft => [`${WORKSPACE}/${draft.key}`, draft]))
  return [
    ...[...finished.keys()].flatMap(key => {
      const count = ofDrafts.filter(bill => bill.key === `${WORKSPACE}/${key}`).length
      return count === 1 ? [] : [`${key}: finished and billed ${count} times`]
    }),
    ...ofDrafts.filter(({ key, outputTokens }) => known.get(key)?.outputTokens !== outputTokens).map(({ key }) => `${key}: the bill is for other work`)
  ]
}

function checkParts (parts: readonly BillPart[]): readonly string[] {
  const names = parts.flatMap(({ origin, sequence, bills }) => bills.map(({ key }) => `${origin}/${sequence} ${key}`))
  return names.filter((name, index) => names.indexOf(name) !== index).map(name => `${name}: stored twice in one batch`)
}

function checkEnrolments (bills: readonly Bill[], runs: readonly PlainRun[], rows: ReadonlyMap<string, CallRow>, answers: readonly RecordedAnswer[]): readonly string[] {
  const billed = (key: string): readonly Bill[] => bills.filter(bill => bill.source === 'desk/enrol' && bill.key === `${WORKSPACE}/${key}`)
  const ran = new Set(runs.map(({ key }) => key))
  const told = new Set(answers.filter(({ status }) => status === 200).map(({ key }) => key))
  return [
    ...[...ran].flatMap(key => billed(key).length === 1 && billed(key)[0].amount === ENROLMENT_PRICE ? [] : [`${key}: ran and was billed ${billed(key).length} times, row ${rows.get(`${WORKSPACE}/${key}`)?.state}`]),
    ...[...told].filter(key => !ran.has(key)).map(key => `${key}: answered and did not run`),
    ...bills.filter(({ key, source }) => source === 'desk/enrol' && !ran.has(key.slice(WORKSPACE.length + 1))).map(({ key }) => `${key}: billed and did not run`)
  ]
}
