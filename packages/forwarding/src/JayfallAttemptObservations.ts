/**
 * What the attempts of one request tell of their servers and versions.
 *
 * An error answer is not counted until the answer of another server shows whether the server or the request is at fault.
 */

import { type AttemptPlan } from './JayfallAttemptPlan'
import { type BackendDirectory } from './JayfallBackendDirectory'
import { type ForwardingContext } from './JayfallForwardingContext'
import { type VersionObservation } from './JayfallVersionObservation'

type ObservationContext = Pick<ForwardingContext, 'clock' | 'evidence' | 'versionPolicy'> & { readonly directory: Pick<BackendDirectory, 'recordFailure' | 'recordSuccess' | 'recordFirstEventDelay'> }

export class AttemptObservations {
  /** Attempts that ended with an error answer of the server. */
  private unattributedFailures: AttemptPlan[] = []
  private readonly observations = new Map<AttemptPlan, VersionObservation>()

  constructor (private readonly context: ObservationContext, private readonly service: string, private readonly route: string) {}

  /** @param startedAt monotonic milliseconds. */
  begin (attempt: AttemptPlan, startedAt: number): void {
    const { server: { version }, model, selection } = attempt
    this.observations.set(attempt, this.context.evidence.observe({ service: this.service, version, route: this.route, model, startedAt, explainedTimeToFirstEvent: model === undefined ? undefined : selection.explainedTimeToFirstEvent }))
  }

  recordEvents (attempt: AttemptPlan, count: number): void {
    this.observations.get(attempt)?.recordEvent(this.context.clock.monotonic(), count)
  }

  recordSuccess (attempt: AttemptPlan): void {
    this.context.directory.recordSuccess(attempt.server.id, this.context.clock.monotonic())
    this.recordOutcome(attempt, false)
    this.recordUnattributedFailures()
  }

  recordErrorAnswer (attempt: AttemptPlan): void {
    this.unattributedFailures.push(attempt)
  }

  recordFailure (attempt: AttemptPlan): void {
    this.context.directory.recordFailure(attempt.server.id, this.context.clock.monotonic())
    this.recordOutcome(attempt, true)
  }

  /** Records that the request was moved because no first event came in time. */
  recordMove (attempt: AttemptPlan): void {
    const { clock, directory, evidence } = this.context
    const observation = this.observations.get(attempt)
    if (observation === undefined) return
    const now = clock.monotonic()
    directory.recordFirstEventDelay(attempt.server.id, now - observation.attempt.startedAt, now)
    evidence.recordMove(observation)
  }

  /**
   * Counts the remaining failures at the end of the request. A request that failed at several servers is at
   * fault itself, unless all of them run the new version of a rollout. Attempts that ended for other reasons are
   * not observed any longer.
   */
  finish (): void {
    const versions = new Set(this.unattributedFailures.map(({ server }) => server.version))
    const rollout = this.context.versionPolicy.rolloutOf(this.service)
    const isNewVersion = rollout?.outcome === 'running' && versions.size === 1 && versions.has(rollout.order.version)
    if (this.unattributedFailures.length === 1 || isNewVersion) this.recordUnattributedFailures()
    for (const observation of this.observations.values()) this.context.evidence.forget(observation)
  }

  private recordUnattributedFailures (): void {
    for (const attempt of this.unattributedFailures) this.recordFailure(attempt)
    this.unattributedFailures = []
  }

  private recordOutcome (attempt: AttemptPlan, hasFailed: boolean): void {
    const observation = this.observations.get(attempt)
    if (observation !== undefined) this.context.evidence.recordOutcome(observation, hasFailed)
  }
}
