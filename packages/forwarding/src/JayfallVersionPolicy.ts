/**
 * Which version of a service a request may run on.
 *
 * A session may run at several instances, which tell each other nothing about it. So in the first
 * half of a rollout all sessions stay on the old version, whatever an instance knows of them; in the
 * second half each instance moves the same sessions at the same time of the store's clock, and none
 * goes back unless the rollout does. Requests without a session take part in the trial from its start.
 */

import { rendezvousShare } from '#jayfall/shared'
import { LRUCache } from 'lru-cache'

import { SESSION_MARGIN } from './JayfallForwardingConstants'
import { mayMoveSessions, newVersionShare, type Rollout } from './JayfallRolloutPlan'

const MAXIMUM_REMEMBERED_SESSIONS = 20_000

/** Why a request goes to a version; for the log. */
export type VersionReason = 'no_rollout' | 'complete' | 'rolled_back' | 'suspended' | 'session_on_new' | 'in_share' | 'stays_old'

export interface VersionRule {
  readonly reason: VersionReason
  /** The version on which this instance ran the session last; undefined when it does not know the session. */
  readonly known: string | undefined
  /** Versions that the request should run on. */
  readonly prefers: (version: string) => boolean
  /** Versions that it may run on when no server of those can take it. */
  readonly allows: (version: string, isRepeat: boolean) => boolean
}

interface SessionVersion {
  readonly version: string
  /** Monotonic milliseconds. */
  readonly at: number
}

export interface VersionPolicySettings {
  /** How long two requests of one session may be apart. Milliseconds. */
  readonly sessionGap: number
  /** The part of a service's requests that a bad version may get. */
  readonly exposureShare: number
}

export class VersionPolicy {
  private readonly sessions = new LRUCache<string, SessionVersion>({ max: MAXIMUM_REMEMBERED_SESSIONS })
  private rollouts: ReadonlyMap<string, Rollout> = new Map()
  /** Versions that this instance keeps new work away from before all agreed on that, by service. */
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

  /** @param isSession whether other requests may belong to the same session. */
  ruleFor (service: string, session: string, now: number, isSession = true): VersionRule {
    const rollout = this.rollouts.get(service)
    const known = this.knownVersion(service, session, now)
    if (rollout === undefined) return { reason: 'no_rollout', known, prefers: () => true, allows: () => true }
    const target = rollout.order.version
    const isNew = (version: string): boolean => version === target
    const isOld = (version: string): boolean => version !== target
    if (rollout.outcome === 'complete') return { reason: 'complete', known, prefers: isNew, allows: () => true }
    if (rollout.outcome === 'rolled_back' || this.suspended.has(service)) return { reason: rollout.outcome === 'rolled_back' ? 'rolled_back' : 'suspended', known, prefers: isOld, allows: isOld }
    const storeTime = this.storeTime()
    const isInShare = rendezvousShare(session, `${service}/${target}`) < newVersionShare(rollout, storeTime, this.settings.exposureShare)
    const goesToNew = known === target || (isInShare && (!isSession || mayMoveSessions(rollout, storeTime)))
    // When no old server is left, the new version is in service, whatever this instance has not read yet.
    if (!goesToNew) return { reason: 'stays_old', known, prefers: isOld, allows: (version, isRepeat) => !isRepeat || isOld(version) }
    return { reason: known === target ? 'session_on_new' : 'in_share', known, prefers: isNew, allows: () => true }
  }

  /** Takes note that a request of the session runs on a version. */
  noteRun (service: string, session: string, version: string, now: number): void {
    this.sessions.set(`${service}/${session}`, { version, at: now })
  }

  private knownVersion (service: string, session: string, now: number): string | undefined {
    const known = this.sessions.get(`${service}/${session}`)
    return known === undefined || now - known.at > this.settings.sessionGap + SESSION_MARGIN ? undefined : known.version
  }
}
