/**
 * The data of a zone's members and its encoding in messages.
 *
 * Heartbeats identify a member by a short key. Its address and other constant facts are sent
 * only to an instance whose message shows that it lacks them.
 */

import { createHash } from 'node:crypto'

import { MEMBER_KEY_LENGTH } from './JayfallControlConstants'
import { ControlError } from './JayfallControlError'

/** The properties of a member that stay constant while its process runs. */
export interface MemberFacts {
  readonly id: string
  /** IP address and port on which the member accepts calls from other instances. */
  readonly address: string
  /** Start time of the process, in wall-clock milliseconds; a higher incarnation of an instance replaces a lower one. */
  readonly incarnation: number
}

/** The properties of a member that change seldom; `version` counts the changes. */
export interface MemberDetails {
  readonly version: number
  readonly leaving: boolean
  /** The demands of the member, encoded by `packDemands`. */
  readonly demands: string
}

/** One heartbeat of a member, with the properties that change at each heartbeat. */
export interface MemberHeartbeat {
  readonly key: string
  readonly counter: number
  readonly detailsVersion: number
  /** Installed catalogue revision at that heartbeat. */
  readonly revision: number
  /** Confirmation age at that heartbeat, in whole seconds. */
  readonly confirmationAge: number
}

/** The description of a member for an instance that lacks the member or its current details. */
export interface MemberEntry {
  /** Undefined when the receiver lacks only the details. */
  readonly facts?: MemberFacts
  readonly key: string
  readonly details: MemberDetails
}

/** The key that identifies one incarnation of an instance in messages. */
export function memberKey ({ id, incarnation }: Pick<MemberFacts, 'id' | 'incarnation'>): string {
  return createHash('sha256').update(`${id}\0${incarnation}`).digest('base64url').slice(0, MEMBER_KEY_LENGTH)
}

/** Encodes heartbeats as text. Revisions are relative to `base`, which the message contains once. */
export function packHeartbeats (heartbeats: Iterable<MemberHeartbeat>, base: number): string {
  const parts: string[] = []
  for (const { key, counter, detailsVersion, revision, confirmationAge } of heartbeats) {
    parts.push(`${key}${counter.toString(36)}.${detailsVersion.toString(36)}.${(base - revision).toString(36)}.${confirmationAge.toString(36)}`)
  }
  return parts.join(',')
}

/**
 * Decodes heartbeats that `packHeartbeats` encoded with the same `base`.
 * @throws ControlError `message_malformed`.
 */
export function unpackHeartbeats (packed: string, base: number): readonly MemberHeartbeat[] {
  if (packed === '') return []
  return packed.split(',').map(part => {
    const [counter, detailsVersion, lag, confirmationAge] = part.slice(MEMBER_KEY_LENGTH).split('.').map(number => parseInt(number, 36))
    const heartbeat = { key: part.slice(0, MEMBER_KEY_LENGTH), counter, detailsVersion, revision: base - lag, confirmationAge }
    if (![counter, detailsVersion, lag, confirmationAge].every(Number.isSafeInteger)) throw new ControlError('message_malformed', `the heartbeat ${part} cannot be read`)
    return heartbeat
  })
}
