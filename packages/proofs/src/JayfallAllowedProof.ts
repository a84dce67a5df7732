/**
 * `allowed`: a version that a workspace may no longer use gets none of its work, though the request
 * was admitted before the catalogue changed: at a retry, at an escalation, and for new requests.
 *
 * In the counter-proof the instance is cut off from the platform before each change, so that it
 * goes on with the old catalogue.
 */

import { HttpTableStore, PlatformHttp } from '#jayfall/store'
import { ANSWER_SIGNALS, QualityEstimates, requestKind } from '#jayfall/rollout'
import { createRandomSource, delay, type RandomSource } from '#jayfall/shared'
import { TestSystem, testCallerKey, testEngineService, testVersion, testWorkspace } from '#jayfall/testbed'

import { Proof, type ProofOptions, type ProofResult } from './JayfallProof'

const WORKSPACE = 'taller-uno'
const ENTRY = 'entry-1'
const ROUNDS = 3
/** Time within which the instance installs a change: it reads the head once a second. */
const INSTALL_MILLISECONDS = 3000
/** Time within which a data thread has read the ratings of a cascade. */
const QUALITY_MILLISECONDS = 33_000
const NEW_REQUESTS = 10
const ESCALATION_REQUESTS = 10
/** The slow engine answers after the instance has given up on it, which takes 5 s. */
const RETRY_MILLISECONDS = 8000
const ALL = ['guide-a', 'guide-b', 'draft']
const SMALL_ENGINE = 'engine-small'
const LARGE_ENGINES = ['engine-large-1', 'engine-large-2'] as const

/** One run. */
class AllowedRun {
  private operations = 0
  private faults = 0
  private readonly violations: string[] = []

  constructor (private readonly system: TestSystem, private readonly random: RandomSource, private readonly isCounterProof: boolean) {}

  async run (): Promise<ProofResult> {
    await this.delay(QUALITY_MILLISECONDS)
    for (let round = 0; round < ROUNDS; round++) {
      await this.checkRetry()
      await this.checkEscalation()
      await this.checkNewRequests()
    }
    return { operations: this.operations, faults: this.faults, violations: this.violations }
  }

  /** Both engines of the version go silent, so that the first attempt fails after the change. */
  private async checkRetry (): Promise<void> {
    const started = await this.countLarge()
    for (const engine of LARGE_ENGINES) await this.system.changeLink(engine, { silence: 'all' })
    this.faults++
    const answer = this.request('guide-b', 20)
    await this.delay(this.random.integer(200, 800))
    await this.allow(['guide-a'])
    for (const engine of LARGE_ENGINES) await this.system.changeLink(engine, { silence: 'none' })
    await this.delay(RETRY_MILLISECONDS)
    await this.expectNone('at a retry', started)
    await answer
    await this.allowAll()
  }

  /** The first step takes long enough for the change to be installed before its answer is judged. */
  private async checkEscalation (): Promise<void> {
    await this.system.changeServer(SMALL_ENGINE, { slowdown: 300 })
    const started = await this.countLarge()
    const answer = this.request('draft', 3)
    await this.delay(this.random.integer(200, 800))
    await this.allow(['guide-a'])
    const status = await answer
    if (status !== 200 && !this.isCounterProof) this.violations.push(`a request whose escalation was no longer allowed ended with status ${status} instead of its first answer`)
    await this.expectNone('at an escalation', started)
    await this.system.changeServer(SMALL_ENGINE, { slowdown: 1 })
    await this.allowAll()
    await this.expectEscalation()
  }

  /** With the version allowed again such requests have to escalate, or the check before shows nothing. A plan lets a few answers pass. */
  private async expectEscalation (): Promise<void> {
    const before = await this.countLarge()
    for (let index = 0; index < ESCALATION_REQUESTS; index++) await this.request('draft', 3)
    if (await this.countLarge() === before) this.violations.push(`none of ${ESCALATION_REQUESTS} requests escalated though they were allowed to`)
  }

  private async checkNewRequests (): Promise<void> {
    await this.allow(['guide-a'])
    const started = await this.countLarge()
    for (let index = 0; index < NEW_REQUESTS; index++) await this.request(this.random.pick(['guide-b', 'draft', 'guide']) ?? 'guide-b', this.random.integer(1, 10))
    await this.expectNone('for new requests', started)
    await this.allowAll()
  }

  private async expectNone (when: string, before: number): Promise<void> {
    const work = await this.countLarge() - before
    if (work > 0) this.violations.push(`${work} attempts of a version that is no longer allowed ${when}`)
  }

  /** Attempts that engines of the second version have started. */
  private async countLarge (): Promise<number> {
    let sum = 0
    for (const engine of LARGE_ENGINES) sum += Object.keys(await this.system.readStandIn<object>(engine, '/started')).length
    return sum
  }

  private async allow (allowed: readonly string[]): Promise<void> {
    if (this.isCounterProof) await this.system.changeLink('platform', { cut: true })
    this.faults++
    await this.system.putEntry(testWorkspace(WORKSPACE, allowed))
    await this.delay(INSTALL_MILLISECONDS)
  }

  private async allowAll (): Promise<void> {
    await this.system.changeLink('platform', { cut: false })
    await this.system.putEntry(testWorkspace(WORKSPACE, ALL))
    await this.delay(INSTALL_MILLISECONDS)
  }

  private async request (model: string, tokens: number): Promise<number> {
    this.operations++
    const response = await fetch(`http://${this.system.callersAddress(ENTRY)}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model, messages: [{ role: 'user', content: 'review my cutting log' }], max_tokens: tokens })
    })
    await response.arrayBuffer()
    return response.status
  }

  private async delay (milliseconds: number): Promise<void> {
    await delay(milliseconds)
  }
}

/** Ratings after which the first step answers first and only its weak answers escalate. */
async function writeRatings (address: string): Promise<void> {
  const estimates = new QualityEstimates()
  const kind = requestKind({ workspace: WORKSPACE, workClass: 'standard', promptTokens: 6, messages: 1 })
  for (const signal of ANSWER_SIGNALS) {
    for (let index = 0; index < 500; index++) {
      estimates.addRating(kind, 0, signal, signal === 'weak' ? 0 : 1)
      estimates.addRating(kind, 1, signal, 1)
    }
  }
  const http = new PlatformHttp({ address })
  try {
    await new HttpTableStore(http).transact([{ table: 'rollouts', key: 'quality/draft', value: { kind: 'quality', ratings: estimates.snapshot() } }])
  } finally {
    http.close()
  }
}

export class AllowedProof extends Proof {
  override readonly name = 'allowed'
  override readonly promises = [1]

  override async run ({ seed, isCounterProof }: ProofOptions): Promise<ProofResult> {
    const large = { promptPerMillionTokens: 5, outputPerMillionTokens: 10 }
    const system = await TestSystem.start({
      seed,
      servers: [
        { id: SMALL_ENGINE, zone: 'valdivia', service: 'small', type: 'engine' },
        ...LARGE_ENGINES.map(id => ({ id, zone: 'valdivia', service: 'large', type: 'engine' as const }))
      ],
      entries: [{ id: ENTRY, zone: 'valdivia' }],
      catalogue: [
        testVersion('guide-a'), testVersion('guide-b', { price: large }),
        { kind: 'cascade', id: 'draft', owner: 'test', steps: ['guide-a', 'guide-b'], qualityTarget: 0.95, deadline: 30_000 },
        testEngineService('small', ['guide-a']), testEngineService('large', ['guide-b']), testWorkspace(WORKSPACE, ALL)
      ]
    })
    try {
      await writeRatings(system.directAddress('platform'))
      return await new AllowedRun(system, createRandomSource(seed), isCounterProof).run()
    } finally {
      await system.stop()
    }
  }
}
