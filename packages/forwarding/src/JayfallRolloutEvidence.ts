/** The evidence of this instance on the rollouts of all services. */

import { type Clock } from '#jayfall/shared'

import { VersionEvidence, type AnswerPace } from './JayfallVersionEvidence'
import { type VersionPolicy } from './JayfallVersionPolicy'

export interface VersionOutcome {
  readonly service: string
  readonly version: string
  readonly route: string
  readonly model: string | undefined
  readonly hasFailed: boolean
  readonly pace: AnswerPace
}

export class RolloutEvidence {
  private readonly byService = new Map<string, VersionEvidence>()

  constructor (private readonly versions: VersionPolicy, private readonly clock: Clock) {}

  of (service: string): VersionEvidence {
    const known = this.byService.get(service) ?? new VersionEvidence()
    this.byService.set(service, known)
    return known
  }

  /** Whether an attempt that still runs is already known to be slow, and tells something about a rollout. */
  isSlow ({ service, version, route, model, pace }: Omit<VersionOutcome, 'hasFailed'>): boolean {
    const rollout = this.versions.rolloutOf(service)
    return rollout?.outcome === 'running' && version === rollout.order.version && this.of(service).isSlow(route, model, pace)
  }

  note ({ service, version, route, model, hasFailed, pace }: VersionOutcome): void {
    const rollout = this.versions.rolloutOf(service)
    const evidence = this.of(service)
    if (rollout !== undefined && rollout.outcome === 'running') evidence.noteOutcome(route, model, version === rollout.order.version, hasFailed, pace, this.clock.monotonic())
    else if (!hasFailed) evidence.noteUsual(route, model, pace)
  }
}
