/** Collects the outcomes that this instance observes for the rollouts of all services. */

import { type Clock } from '#jayfall/shared'

import { VersionEvidence, type AnswerTiming } from './JayfallVersionEvidence'
import { type VersionPolicy } from './JayfallVersionPolicy'

export interface VersionOutcome {
  readonly service: string
  readonly version: string
  readonly route: string
  readonly model: string | undefined
  readonly hasFailed: boolean
  readonly timing: AnswerTiming
}

export class RolloutEvidence {
  private readonly evidenceByService = new Map<string, VersionEvidence>()

  constructor (private readonly versionPolicy: VersionPolicy, private readonly clock: Clock) {}

  forService (service: string): VersionEvidence {
    const known = this.evidenceByService.get(service) ?? new VersionEvidence()
    this.evidenceByService.set(service, known)
    return known
  }

  /** Whether a running attempt on the new version of a running rollout is already known to be slow. */
  isSlow ({ service, version, route, model, timing }: Omit<VersionOutcome, 'hasFailed'>): boolean {
    const rollout = this.versionPolicy.rolloutOf(service)
    return rollout?.outcome === 'running' && version === rollout.order.version && this.forService(service).isSlow(route, model, timing)
  }

  recordOutcome ({ service, version, route, model, hasFailed, timing }: VersionOutcome): void {
    const rollout = this.versionPolicy.rolloutOf(service)
    const evidence = this.forService(service)
    if (rollout !== undefined && rollout.outcome === 'running') evidence.recordOutcome(route, model, version === rollout.order.version, hasFailed, timing, this.clock.monotonic())
    else if (!hasFailed) evidence.recordBaseline(route, model, timing)
  }
}
