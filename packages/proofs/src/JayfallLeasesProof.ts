/**
 * `leases`: engines are brought to the wanted state while the holder of the lease `orders` is paused
 * past its lease and orders of an earlier holder arrive late.
 *
 * The counter-proof takes the mechanisms away: no engine checks fencing numbers, and the successor
 * is paused, so that nobody compares the engines' states with the wanted one.
 */

import { type VersionEntry } from '#jayfall/catalogue'
import { HttpTableStore, LEASES_TABLE, PlatformHttp, type LeaseRow } from '#jayfall/store'
import { createRandomSource, delay, type RandomSource } from '#jayfall/shared'
import { type TestSystem, testEngineService, testVersion, testWorkspace } from '#jayfall/testbed'
import Wreck from '@hapi/wreck'

import { Proof, type ProofOptions, type ProofResult } from './JayfallProof'
import { withSystem } from './JayfallProofSystem'

const ROUNDS = 1
const SETTLE_MILLISECONDS = 45_000
/** The lease's term, and time for a candidate to notice its end. */
const PAUSE_MILLISECONDS = 27_000
/** Two rounds of the holder. */
const CORRECTION_MILLISECONDS = 12_000
const POLL_MILLISECONDS = 250
const ENGINES = ['engine-checking', 'engine-ignoring'] as const
const ENTRIES = ['entry-1', 'entry-2'] as const

interface EngineOrder {
  readonly fencing: number
  readonly wanted: { readonly versions: readonly string[], readonly role: string }
}

/** One run. */
class LeasesRun {
  private operations = 0
  private faults = 0
  private readonly violations: string[] = []
  private readonly injected: EngineOrder[] = []

  constructor (private readonly system: TestSystem, private readonly random: RandomSource, private readonly isCounterProof: boolean) {}

  async run (): Promise<ProofResult> {
    await this.expectVersions(['guide-1', 'guide-2'], SETTLE_MILLISECONDS, 'after the start')
    for (let round = 0; round < ROUNDS; round++) await this.pauseHolder()
    await this.checkOrders()
    return { operations: this.operations, faults: this.faults, violations: this.violations }
  }

  private async pauseHolder (): Promise<void> {
    const before = await this.readLease()
    const holder = this.entryOf(before)
    const successor = ENTRIES.find(id => id !== holder) ?? ENTRIES[0]
    // Orders go on while the holder is paused: the wanted state changes.
    await this.putSecond('withdrawn')
    await delay(this.random.integer(0, 1500))
    this.system.entryProcess(holder).signal('SIGSTOP')
    this.faults++
    await delay(PAUSE_MILLISECONDS)
    const after = await this.readLease()
    if (after.fencing <= before.fencing) this.violations.push(`no successor took the lease with a higher fencing number than ${before.fencing}`)
    this.operations++
    await this.expectVersions(['guide-1'], SETTLE_MILLISECONDS, 'under the successor')
    this.system.entryProcess(holder).signal('SIGCONT')
    if (this.isCounterProof) this.system.entryProcess(successor).signal('SIGSTOP')
    await this.sendLateOrder(before.fencing)
    await this.expectVersions(['guide-1'], CORRECTION_MILLISECONDS, 'after a late order of the earlier holder')
  }

  /** An order of the earlier holder that was on its way. */
  private async sendLateOrder (fencing: number): Promise<void> {
    const order: EngineOrder = { fencing, wanted: { versions: ['guide-1', 'guide-2'], role: 'serving' } }
    this.injected.push(order)
    for (const engine of ENGINES) {
      this.faults++
      const response = await Wreck.request('POST', `http://${this.system.directAddress(engine)}/orders`, { payload: JSON.stringify(order), headers: { 'content-type': 'application/json' } })
      response.resume()
      if (engine === 'engine-checking' && response.statusCode !== 409) this.violations.push(`${engine} accepted an order with the old fencing number ${fencing}`)
    }
  }

  /** No entry instance sent an order after one with a higher fencing number. */
  private async checkOrders (): Promise<void> {
    for (const engine of ENGINES) {
      const { orders } = await this.system.readStandIn<{ orders: readonly EngineOrder[] }>(engine, '/orders')
      let highest = 0
      let skipped = 0
      for (const { fencing } of orders) {
        this.operations++
        // The injected orders are the only ones that may come late, each once.
        if (fencing < highest && ++skipped > this.injected.length) this.violations.push(`${engine} received an order with fencing number ${fencing} after ${highest}`)
        highest = Math.max(highest, fencing)
      }
    }
  }

  private async expectVersions (versions: readonly string[], timeout: number, when: string): Promise<void> {
    const deadline = Date.now() + timeout
    const wanted = versions.join()
    for (const engine of ENGINES) {
      this.operations++
      for (;;) {
        const { versions: loaded } = await this.system.readStandIn<{ versions: readonly string[] }>(engine, '/state')
        if ([...loaded].sort().join() === wanted) break
        if (Date.now() > deadline) {
          this.violations.push(`${when} ${engine} has ${loaded.join() || 'nothing'} loaded instead of ${wanted}`)
          break
        }
        await delay(POLL_MILLISECONDS)
      }
    }
  }

  private async putSecond (state: VersionEntry['state']): Promise<void> {
    await this.system.putEntry(testVersion('guide-2', { state, trafficShare: 0 }))
    this.operations++
  }

  private async readLease (): Promise<LeaseRow> {
    const http = new PlatformHttp({ address: this.system.directAddress('platform') })
    try {
      const row = await new HttpTableStore(http).read<LeaseRow>(LEASES_TABLE, 'orders')
      if (row === undefined) throw new Error('nobody took the lease')
      return row.value
    } finally {
      http.close()
    }
  }

  private entryOf ({ holder }: LeaseRow): typeof ENTRIES[number] {
    return ENTRIES.find(id => holder?.startsWith(`${id}/`)) ?? ENTRIES[0]
  }
}

export class LeasesProof extends Proof {
  override readonly name = 'leases'
  override readonly promises = [10]

  override async run ({ seed, isCounterProof }: ProofOptions): Promise<ProofResult> {
    return await withSystem({
      seed,
      servers: ENGINES.map(id => ({ id, zone: 'valdivia', service: 'scribes', type: 'engine', checksFencing: id === 'engine-checking' && !isCounterProof })),
      entries: ENTRIES.map(id => ({ id, zone: 'valdivia' })),
      catalogue: [testVersion('guide-1'), testVersion('guide-2', { trafficShare: 0 }), testEngineService('scribes', ['guide-1', 'guide-2']), testWorkspace('taller-uno', ['guide-1'])]
    }, system => new LeasesRun(system, createRandomSource(seed), isCounterProof).run())
  }
}
