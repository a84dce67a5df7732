/** What the revisions proof saw, and its judgement. Times are wall-clock milliseconds of one machine. */

import { isDeepStrictEqual } from 'node:util'

import { type CatalogueChange, type VersionEntry } from '#jayfall/catalogue'

import { type ProofResult } from './JayfallProof'

/** An accepted revision is in force on a reachable instance within this time. */
export const IN_FORCE_MILLISECONDS = 9000

interface Acceptance {
  readonly revision: number
  readonly writer: string
  readonly entry: VersionEntry
  readonly at: number
}

interface SentRequest {
  readonly instance: string
  readonly version: string
  readonly sentAt: number
  /** 0 without an answer. */
  readonly status: number
}

interface Installation {
  readonly at: number
  readonly revision: number
}

/** One process of an instance. */
interface Life {
  readonly instance: string
  readonly installations: readonly Installation[]
  readonly endedAt: number
}

interface Disturbance {
  readonly instances: readonly string[]
  readonly from: number
  readonly to: number
}

/** Collects facts during the run. */
export class RevisionsRecord {
  private readonly acceptances: Acceptance[] = []
  private readonly requests: SentRequest[] = []
  private readonly lives: Life[] = []
  private readonly disturbances: Disturbance[] = []
  private readonly withdrawals = new Map<string, { readonly revision: number, readonly at: number }>()
  private readonly found: string[] = []
  private writes = 0

  constructor (private readonly entries: readonly { readonly id: string, readonly zone: string }[]) {}

  countWrite (): void {
    this.writes++
  }

  takeAcceptance (acceptance: Acceptance): void {
    this.acceptances.push(acceptance)
  }

  takeWithdrawal (version: string, revision: number, at: number): void {
    this.withdrawals.set(version, { revision, at })
  }

  /** A write that was based on an older revision was accepted. */
  takeLostUpdate (version: string, revision: number): void {
    this.found.push(`a write of ${version} based on an old revision was accepted as ${revision}`)
  }

  takeRequest (request: SentRequest): void {
    this.requests.push(request)
  }

  disturb (instances: readonly string[], from: number, to: number): void {
    this.disturbances.push({ instances, from, to })
  }

  /** Takes the log of a process that has ended, or of one at the end of the run. */
  endLife (instance: string, output: string): void {
    const installations = [...output.matchAll(/^time=(\S+) .*event=catalogue_installed .*revision=(\d+)/gm)]
      .map(([, time, revision]) => ({ at: Date.parse(time), revision: Number(revision) }))
    this.lives.push({ instance, installations, endedAt: Date.now() })
  }

  /** Compares what operators were told with the change log. */
  takeLog (changes: readonly CatalogueChange[]): void {
    const byRevision = new Map(changes.map(change => [change.revision, change]))
    if (byRevision.size !== changes.length || changes.some((change, index) => change.revision !== index + 1)) this.found.push('the change log has gaps or repeats')
    for (const { revision, writer, entry } of this.acceptances) {
      const change = byRevision.get(revision)
      if (change?.writer !== writer || !isDeepStrictEqual(change.entry, entry)) this.found.push(`${writer} was told that revision ${revision} is its own, and the log says otherwise`)
    }
  }

  judge (): ProofResult {
    const violations = [...this.found, ...this.judgeOrder(), ...this.judgePropagation(), ...this.judgeWithdrawals()]
    return { operations: this.writes + this.requests.length, faults: this.disturbances.length, violations }
  }

  private judgeOrder (): readonly string[] {
    return this.lives.flatMap(({ instance, installations }) => installations.slice(1).flatMap(({ revision }, index) =>
      revision < installations[index].revision ? [`${instance} went back from revision ${installations[index].revision} to ${revision}`] : []))
  }

  private judgePropagation (): readonly string[] {
    return this.acceptances.flatMap(({ revision, at }) => this.lives.flatMap(({ instance, installations, endedAt }) => {
      const deadline = this.deadline(instance, at)
      const first = installations[0]?.at ?? Infinity
      // A process that ended before the deadline, or started after it, says nothing.
      if (endedAt < deadline || first > deadline) return []
      const installed = installations.find(installation => installation.revision >= revision)
      if (installed !== undefined && installed.at <= deadline) return []
      return [`revision ${revision} was not in force on ${instance} in time: ${installed === undefined ? 'never' : `${installed.at - at} ms after it was accepted`}`]
    }))
  }

  private judgeWithdrawals (): readonly string[] {
    return this.requests.flatMap(({ instance, version, sentAt, status }) => {
      const withdrawal = this.withdrawals.get(version)
      if (withdrawal === undefined || status !== 200 || sentAt <= this.deadline(instance, withdrawal.at)) return []
      return [`${instance} ran withdrawn ${version} ${sentAt - withdrawal.at} ms after its withdrawal`]
    }).concat(this.judgeCutOff())
  }

  /** Versions that stop when cut off get no work from any instance that runs, reached or not, after the limit. */
  private judgeCutOff (): readonly string[] {
    return this.requests.flatMap(({ instance, version, sentAt, status }) => {
      const withdrawal = this.withdrawals.get(version)
      const isLate = withdrawal !== undefined && sentAt > withdrawal.at + IN_FORCE_MILLISECONDS
      return isLate && status === 200 ? [`${instance} of zone ${this.zoneOf(instance)} ran ${version}, cut off or not, after the confirmation limit`] : []
    })
  }

  /** The time by which the instance, disturbances left out, must have had a change. */
  private deadline (instance: string, acceptedAt: number): number {
    let start = acceptedAt
    const own = this.disturbances.filter(({ instances }) => instances.includes(instance)).sort((left, right) => left.from - right.from)
    for (const { from, to } of own) {
      if (from <= start + IN_FORCE_MILLISECONDS && to > start) start = to
    }
    return start + IN_FORCE_MILLISECONDS
  }

  private zoneOf (instance: string): string {
    return this.entries.find(({ id }) => id === instance)?.zone ?? ''
  }
}
