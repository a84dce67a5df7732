/**
 * Decides on which version of a service a request may run.
 *
 * The requests of a session may arrive at several instances, which exchange nothing about the session.
 * So in the first half of a rollout all sessions stay on the old version, whatever an instance knows of
 * them. In the second half, each instance moves the same sessions at the same time of the store's clock,
 * and no session returns to the old version unless the rollout is rolled back. Requests without a session
 * take part in the canary phase from its start.
 */

import { rendezvousShare } from '#jayfall/shared'
import { LRUCache } from 'lru-cache'

import { SESSION_MARGIN_MILLISECONDS } from './JayfallForwardingConstants'
import { mayMoveSessions, newVersionShare, type Rollout } from './JayfallRolloutSchedule'

const MAXIMUM_REMEMBERED_SESSIONS = 20_000

/** Why a request goes to a version; for the log. */
export type VersionReason = 'no_rollout' | 'complete' | 'rolled_back' | 'suspended' | 'session_on_new' | 'in_share' | 'stays_old'

export interface VersionRule {
  readonly reason: VersionReason
  /** The version on which this instance last ran the session; undefined when it does not know the session. */
  readonly sessionVersion: string | undefined
  /** Whether the request should run on the version. */
  readonly isPreferred: (version: string) => boolean
  /** Whether the request may run on the version when no server of a preferred one is available. */
  readonly isAllowed: (version: string, isRetry: boolean) => boolean
}

interface SessionVersion {
  readonly version: string
  /** Monotonic milliseconds. */
  readonly lastRunAt: number
}

export interface VersionPolicySettings {
  /** Maximum time between two requests of one session, in milliseconds. */
  readonly sessionGap: number
  /** Maximum fraction of a service's requests that a bad version may receive. */
  readonly exposureShare: number
}

export class VersionPolicy {
  private readonly sessions = new LRUCache<string, SessionVersion>({ max: MAXIMUM_REMEMBERED_SESSIONS })
  private rollouts: ReadonlyMap<string, Rollout> = new Map()
  /** By service, the version that gets no new work from this instance although the instances have not agreed on a rollback yet. */
  private readonly suspended = new Map<string, string>()

  constructor (private settings: VersionPolicySettings, private readonly storeTime: () => number) {}

  setSettings (settings: VersionPolicySettings): void {
    this.settings = settings
  }

  setRollouts (rollouts: ReadonlyMap<string, Rollout>): void {
    this.rollouts = rollouts
    for (const [service, version] of this.suspended) if (rollouts.get(service)?.order.version !== version) this.suspended.delete(service)
  }

  rolloutOf (service: string): Rollout | undefined {
    return this.rollouts.get(service)
  }

  /** Keeps new work away from the new version of a running rollout. */
  suspend (service: string, version: string): void {
    this.suspended.set(service, version)
  }

  /** @param isSharedSession whether other requests may belong to the same session. */
  ruleFor (service: string, session: string, now: number, isSharedSession = true): VersionRule {
    const rollout = this.rollouts.get(service)
    const sessionVersion = this.knownVersion(service, session, now)
    if (rollout === undefined) return { reason: 'no_rollout', sessionVersion, isPreferred: () => true, isAllowed: () => true }
    const target = rollout.order.version
    const isNew = (version: string): boolean => version === target
    const isOld = (version: string): boolean => version !== target
    if (rollout.outcome === 'complete') return { reason: 'complete', sessionVersion, isPreferred: isNew, isAllowed: () => true }
    if (rollout.outcome === 'rolled_back' || this.suspended.has(service)) return { reason: rollout.outcome === 'rolled_back' ? 'rolled_back' : 'suspended', sessionVersion, isPreferred: isOld, isAllowed: isOld }
    const storeTime = this.storeTime()
    const isInShare = rendezvousShare(session, `${service}/${target}`) < newVersionShare(rollout, storeTime, this.settings.exposureShare)
    const isAssignedToNew = sessionVersion === target || (isInShare && (!isSharedSession || mayMoveSessions(rollout, storeTime)))
    // When no old server is left, the new version is in service, even if this instance has not read that yet.
    if (!isAssignedToNew) return { reason: 'stays_old', sessionVersion, isPreferred: isOld, isAllowed: (version, isRetry) => !isRetry || isOld(version) }
    return { reason: sessionVersion === target ? 'session_on_new' : 'in_share', sessionVersion, isPreferred: isNew, isAllowed: () => true }
  }

  /** Records that a request of the session runs on a version. */
  recordRun (service: string, session: string, version: string, now: number): void {
    this.sessions.set(`${service}/${session}`, { version, lastRunAt: now })
  }

  private knownVersion (service: string, session: string, now: number): string | undefined {
    const remembered = this.sessions.get(`${service}/${session}`)
    return remembered === undefined || now - remembered.lastRunAt > this.settings.sessionGap + SESSION_MARGIN_MILLISECONDS ? undefined : remembered.version
  }
}
