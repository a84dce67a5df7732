/** Operators who race for the same catalogue entries. */

import { type VersionEntry } from '#jayfall/catalogue'
import { isPlatformError } from '#jayfall/store'
import { delay, type RandomSource } from '#jayfall/shared'
import { type TestSystem } from '#jayfall/testbed'

import { type RevisionsRecord } from './JayfallRevisionsRecord'

/** Versions whose traffic shares change all the time. */
export const CHURNED: readonly string[] = ['churned-1', 'churned-2']
/** Versions that are withdrawn during the run. */
export const WITHDRAWN: readonly string[] = ['withdrawn-1', 'withdrawn-2', 'withdrawn-3']

const WITHDRAWAL_TIMEOUT_MILLISECONDS = 20_000

/** Writes to the catalogue as several operators do. */
export class RevisionsOperators {
  private writers = 0

  constructor (private readonly system: TestSystem, private readonly record: RevisionsRecord, private readonly random: RandomSource) {}

  /** Changes traffic shares until `isEnded`; conflicts and unknown outcomes are part of the game. */
  async churn (isEnded: () => boolean): Promise<void> {
    this.writers++
    const writer = `operator-${this.writers}`
    while (!isEnded()) {
      const id = this.random.pick(CHURNED) ?? CHURNED[0]
      await this.edit(id, writer, entry => ({ ...entry, trafficShare: this.random.integer(1, 1_000_000) / 10_000 })).catch(() => {})
      await delay(this.random.exponential(300))
    }
  }

  /** Withdraws a version; another operator who read it before tries to write it back. */
  async withdraw (id: string): Promise<void> {
    const before = await this.read(id)
    const deadline = Date.now() + WITHDRAWAL_TIMEOUT_MILLISECONDS
    for (let isDone = false; !isDone && Date.now() < deadline; await delay(100)) {
      await this.edit(id, 'operator-withdrawing', entry => ({ ...entry, state: 'withdrawn' })).catch(() => {})
      const now = await this.read(id).catch(() => undefined)
      isDone = now?.entry.state === 'withdrawn'
      if (isDone && now !== undefined) this.record.takeWithdrawal(id, now.revision, Date.now())
    }
    await this.system.withCatalogue(async store => {
      const revision = await store.write({ key: `version/${id}`, entry: before.entry, basedOn: before.revision, writer: 'operator-late' })
      this.record.takeLostUpdate(id, revision)
    }).catch((error: unknown) => {
      if (!isPlatformError(error)) throw error
    })
  }

  private async read (id: string): Promise<{ readonly revision: number, readonly entry: VersionEntry }> {
    for (;;) {
      const found = await this.system.withCatalogue(store => store.readEntry(`version/${id}`)).catch(() => undefined)
      if (found?.entry.kind === 'version') return { revision: found.revision, entry: found.entry }
      await delay(100)
    }
  }

  private async edit (id: string, writer: string, change: (entry: VersionEntry) => VersionEntry): Promise<void> {
    const { revision: basedOn, entry } = await this.read(id)
    const changed = change(entry)
    this.record.countWrite()
    const revision = await this.system.withCatalogue(store => store.write({ key: `version/${id}`, entry: changed, basedOn, writer }))
    this.record.takeAcceptance({ revision, writer, entry: changed, at: Date.now() })
  }
}
