/** The status row of a zone, for operators. */

import { type ControlNode } from './JayfallControlNode'
import { type MemberState } from './JayfallMembership'

/** A member that is not alive, or that lags behind the zone's highest revision, or whose confirmation is old. */
export interface LaggingInstance {
  readonly id: string
  readonly state: MemberState
  readonly revision: number
  /** Milliseconds at the time of the row. */
  readonly confirmationAge: number
}

export interface ZoneStatus {
  readonly zone: string
  /** Wall-clock milliseconds. */
  readonly writtenAt: number
  readonly writer: string
  readonly members: number
  readonly leaving: readonly string[]
  /** Highest and lowest installed revision of members that are alive. */
  readonly highestRevision: number
  readonly lowestRevision: number
  readonly lagging: readonly LaggingInstance[]
}

/** Confirmation ages up to this are ordinary, as they include the delay of the gossip. Milliseconds. */
const ORDINARY_CONFIRMATION_AGE = 4000

/** The zone as this instance sees it. */
export function createZoneStatus ({ membership, catalogue, confirmation }: ControlNode, now: number, wall: number): ZoneStatus {
  const members = membership.all().map(member => {
    const isSelf = member.key === membership.selfKey
    return {
      id: member.facts.id,
      state: membership.stateOf(member),
      leaving: member.details.leaving,
      revision: isSelf ? catalogue.revision : member.beat.revision,
      confirmationAge: Math.min(Number.MAX_SAFE_INTEGER, Math.round(isSelf ? confirmation.age : member.beat.confirmationAge * 1000 + now - member.advancedAt))
    }
  })
  const revisions = members.filter(({ state }) => state === 'alive').map(({ revision }) => revision)
  const highestRevision = Math.max(...revisions)
  return {
    zone: membership.zone,
    writtenAt: wall,
    writer: membership.self.facts.id,
    members: members.length,
    leaving: members.filter(({ leaving }) => leaving).map(({ id }) => id),
    highestRevision,
    lowestRevision: Math.min(...revisions),
    lagging: members
      .filter(({ state, revision, confirmationAge }) => state !== 'alive' || revision < highestRevision || confirmationAge > ORDINARY_CONFIRMATION_AGE)
      .map(({ id, state, revision, confirmationAge }) => ({ id, state, revision, confirmationAge }))
  }
}
