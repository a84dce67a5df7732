/**
 * Proof of promise 2: an accepted revision is in force on every reachable instance within
 * 9 s, nothing reverts, and a withdrawn version gets no new work once that is in force.
 *
 * Three zones of real processes run while operators race for the same entries, replies of the
 * store are lost, instances are killed and paused, a zone is cut off and the store is down.
 */

import { createRandomSource, delay, type RandomSource } from '#jayfall/shared'
import { TestSystem, testCallerKey, testEngineService, testVersion, testWorkspace } from '#jayfall/testbed'

import { Proof, type ProofOptions, type ProofResult } from './JayfallProof'
import { counterProgram } from './JayfallProofSystem'
import { IN_FORCE_MILLISECONDS, RevisionsRecord } from './JayfallRevisionsRecord'
import { CHURNED, RevisionsOperators, WITHDRAWN } from './JayfallRevisionsOperators'

const ZONES = ['north', 'middle', 'south'] as const
const CUT_ZONE = 'south'
const INSTANCES_PER_ZONE = 3
const WORKSPACE = 'workshop'
const REQUEST_TIMEOUT_MILLISECONDS = 3000

const ENTRIES = ZONES.flatMap(zone => Array.from({ length: INSTANCES_PER_ZONE }, (_, index) => ({ id: `${zone}-${index + 1}`, zone })))

export class RevisionsProof extends Proof {
  override readonly name = 'revisions'
  override readonly promises = [2]

  override async run ({ seed, isCounterProof }: ProofOptions): Promise<ProofResult> {
    const system = await startSystem(seed, isCounterProof)
    try {
      const run = new RevisionsRun(system, createRandomSource(seed))
      await run.run()
      return run.record.judge()
    } finally {
      await system.stop()
    }
  }
}

async function startSystem (seed: number, isCounterProof: boolean): Promise<TestSystem> {
  const versions = [...CHURNED, ...WITHDRAWN]
  return await TestSystem.start({
    seed,
    servers: ZONES.map(zone => ({ id: `engine-${zone}`, zone, service: 'assistant', type: 'engine' as const })),
    entries: ENTRIES,
    catalogue: [
      ...versions.map(id => testVersion(id, { model: `model-${id}`, whenCutOff: 'stop' })),
      testEngineService('assistant', versions),
      testWorkspace(WORKSPACE, versions)
    ],
    ...(isCounterProof ? { entryProgram: counterProgram('propagation') } : {})
  })
}

/** One run of the load, the operators and the faults. */
class RevisionsRun {
  readonly record = new RevisionsRecord(ENTRIES)
  private isEnded = false

  constructor (private readonly system: TestSystem, private readonly random: RandomSource) {}

  async run (): Promise<void> {
    const operators = new RevisionsOperators(this.system, this.record, this.random)
    await this.system.changePlatform({ lostReplies: 0.1 })
    const work = [operators.churn(() => this.isEnded), operators.churn(() => this.isEnded), operators.churn(() => this.isEnded), this.sendRequests()]
    await delay(3000)
    await operators.withdraw(WITHDRAWN[0])
    await this.kill()
    await operators.withdraw(WITHDRAWN[1])
    await this.pause(12_000)
    await this.cutZone(async () => {
      await delay(2000)
      await operators.withdraw(WITHDRAWN[2])
      await delay(13_000)
    })
    await this.storeOutage(6000)
    await this.pause(7000)
    // Every accepted change must have had its time when the run ends.
    await delay(3000)
    this.isEnded = true
    await Promise.all(work)
    await delay(IN_FORCE_MILLISECONDS + 1000)
    await this.system.changePlatform({ lostReplies: 0 })
    for (const { id } of ENTRIES) this.record.endLife(id, this.system.entryProcess(id).output)
    this.record.takeLog(await this.system.withCatalogue(store => store.readChanges(0)))
  }

  /** Asks every instance once a second for a version. */
  private async sendRequests (): Promise<void> {
    const pending: Promise<void>[] = []
    while (!this.isEnded) {
      for (const { id } of ENTRIES) pending.push(this.sendRequest(id, this.random.pick([...WITHDRAWN, CHURNED[0]]) ?? CHURNED[0]))
      await delay(500)
    }
    await Promise.all(pending)
  }

  private async sendRequest (instance: string, version: string): Promise<void> {
    const sentAt = Date.now()
    const status = await fetch(`http://${this.system.callersAddress(instance)}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${testCallerKey(WORKSPACE)}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: version, messages: [{ role: 'user', content: 'x' }], max_tokens: 1 }),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS)
    }).then(async response => { await response.text(); return response.status }, () => 0)
    this.record.takeRequest({ instance, version, sentAt, status })
  }

  private async kill (): Promise<void> {
    const id = this.pickInstance()
    const { output } = this.system.entryProcess(id)
    const from = Date.now()
    this.system.entryProcess(id).signal('SIGKILL')
    await delay(2000)
    this.record.endLife(id, output)
    await this.system.restartEntry(id)
    this.record.disturb([id], from, Date.now())
  }

  private async pause (length: number): Promise<void> {
    const id = this.pickInstance()
    const from = Date.now()
    this.system.entryProcess(id).signal('SIGSTOP')
    await delay(length)
    this.system.entryProcess(id).signal('SIGCONT')
    this.record.disturb([id], from, Date.now())
    await delay(1000)
  }

  private async storeOutage (length: number): Promise<void> {
    const from = Date.now()
    await this.system.changePlatform({ down: true })
    await delay(length)
    await this.system.changePlatform({ down: false })
    this.record.disturb(ENTRIES.map(({ id }) => id), from, Date.now())
  }

  /** Cuts the zone from the platform and the other zones while `during` runs. */
  private async cutZone (during: () => Promise<void>): Promise<void> {
    const inside = ENTRIES.filter(({ zone }) => zone === CUT_ZONE)
    const outside = ENTRIES.filter(({ zone }) => zone !== CUT_ZONE)
    const change = async (cut: boolean): Promise<void> => {
      for (const { id } of inside) await this.system.changeLink('platform', { source: this.system.entryHost(id), cut })
      for (const [from, to] of [[inside, outside], [outside, inside]]) {
        for (const source of from) for (const target of to) await this.system.changeLink(`peer-${target.id}`, { source: this.system.entryHost(source.id), cut })
      }
    }
    const from = Date.now()
    await change(true)
    await during()
    await change(false)
    this.record.disturb(inside.map(({ id }) => id), from, Date.now())
  }

  private pickInstance (): string {
    return this.random.pick(ENTRIES)?.id ?? ENTRIES[0].id
  }
}
