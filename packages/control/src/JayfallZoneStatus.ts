/** The status row of a zone in the store, from which operators see where a revision is installed. */

import { type ControlNode } from './JayfallControlNode'
import { type MemberState } from './JayfallMembership'

/** A member that is not alive, has a lower revision than others of the zone, or has an old confirmation. */
export interface LaggingInstance {
  readonly id: string
  readonly state: MemberState
  readonly revision: number
  /** Confirmation age at the time of the row, in milliseconds. */
  readonly confirmationAge: number
}

/** The content of the row. */
export interface ZoneStatus {
  readonly zone: string
  /** Time of the write, in wall-clock milliseconds. */
  readonly writtenAt: number
  readonly writer: string
  readonly members: number
  readonly leaving: readonly string[]
  /** Highest and lowest installed catalogue revision of the members that are alive. */
  readonly highestRevision: number
  readonly lowestRevision: number
  readonly lagging: readonly LaggingInstance[]
}

/** Confirmation age up to which a member is not lagging, in milliseconds; it includes the propagation delay between members. */
const NORMAL_CONFIRMATION_AGE_MILLISECONDS = 4000

/** Creates the status row from the view of one instance. `now` is monotonic and `wallTime` wall-clock time, both in milliseconds. */
export function createZoneStatus ({ membership, catalogue, confirmation }: ControlNode, now: number, wallTime: number): ZoneStatus {
  const members = membership.all().map(member => {
    const isSelf = member.key === membership.selfKey
    return {
      id: member.facts.id,
      state: membership.stateOf(member),
      leaving: member.details.leaving,
      revision: isSelf ? catalogue.revision : member.heartbeat.revision,
      confirmationAge: Math.min(Number.MAX_SAFE_INTEGER, Math.round(isSelf ? confirmation.age : member.heartbeat.confirmationAge * 1000 + now - member.advancedAt))
    }
  })
  const revisions = members.filter(({ state }) => state === 'alive').map(({ revision }) => revision)
  const highestRevision = Math.max(...revisions)
  return {
    zone: membership.zone,
    writtenAt: wallTime,
    writer: membership.self.facts.id,
    members: members.length,
    leaving: members.filter(({ leaving }) => leaving).map(({ id }) => id),
    highestRevision,
    lowestRevision: Math.min(...revisions),
    lagging: members
      .filter(({ state, revision, confirmationAge }) => state !== 'alive' || revision < highestRevision || confirmationAge > NORMAL_CONFIRMATION_AGE_MILLISECONDS)
      .map(({ id, state, revision, confirmationAge }) => ({ id, state, revision, confirmationAge }))
  }
}
