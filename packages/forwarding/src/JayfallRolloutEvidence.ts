/** Collects what this instance observes of the versions of all services. */

import { type Clock } from '#jayfall/shared'

import { VersionEvidence } from './JayfallVersionEvidence'
import { VersionObservation, type ObservedAttempt } from './JayfallVersionObservation'
import { type VersionPolicy } from './JayfallVersionPolicy'

export class RolloutEvidence {
  private readonly evidenceByService = new Map<string, VersionEvidence>()

  constructor (private readonly versionPolicy: VersionPolicy, private readonly clock: Clock) {}

  forService (service: string): VersionEvidence {
    const known = this.evidenceByService.get(service) ?? new VersionEvidence()
    this.evidenceByService.set(service, known)
    return known
  }

  /** Begins to observe an attempt. */
  observe (attempt: ObservedAttempt): VersionObservation {
    const observation = new VersionObservation(attempt)
    if (this.isRunning(attempt)) this.forService(attempt.service).observe(observation, this.isNew(attempt))
    return observation
  }

  /** Records that an attempt ended for reasons that have nothing to do with its version. */
  forget (observation: VersionObservation): void {
    this.forService(observation.attempt.service).forget(observation, this.clock.monotonic())
  }

  /** Records that an attempt was moved to another server because its first event was late. */
  recordMove (observation: VersionObservation): void {
    const { attempt } = observation
    if (this.isRunning(attempt)) this.forService(attempt.service).recordMove(observation, this.isNew(attempt), this.clock.monotonic())
  }

  recordOutcome (observation: VersionObservation, hasFailed: boolean): void {
    const { attempt } = observation
    const evidence = this.forService(attempt.service)
    if (this.isRunning(attempt)) evidence.recordOutcome(observation, this.isNew(attempt), hasFailed, this.clock.monotonic())
    else if (!hasFailed) evidence.recordBaseline(observation)
  }

  private isRunning ({ service }: ObservedAttempt): boolean {
    return this.versionPolicy.rolloutOf(service)?.outcome === 'running'
  }

  private isNew ({ service, version }: ObservedAttempt): boolean {
    return version === this.versionPolicy.rolloutOf(service)?.order.version
  }
}
