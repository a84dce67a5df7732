/**
 * Members of a zone and their form in messages.
 *
 * A member is named by a short key in repeated messages; its address and other constant
 * facts are sent only to an instance whose message shows that it lacks them.
 */

import { createHash } from 'node:crypto'

import { MEMBER_KEY_LENGTH } from './JayfallControlConstants'
import { ControlError } from './JayfallControlError'

/** What never changes while a process runs. */
export interface MemberFacts {
  readonly id: string
  /** IP address and port at which other instances call it. */
  readonly address: string
  /** Wall-clock milliseconds of the process's start; a higher one replaces a lower one. */
  readonly incarnation: number
}

/** What changes seldom; `version` counts the changes. */
export interface MemberDetails {
  readonly version: number
  readonly leaving: boolean
  /** See `packDemands`. */
  readonly demands: string
}

/** What changes with each heartbeat. */
export interface MemberBeat {
  readonly key: string
  readonly heartbeat: number
  readonly detailsVersion: number
  /** Installed revision at that heartbeat. */
  readonly revision: number
  /** Confirmation age at that heartbeat, in whole seconds. */
  readonly confirmationAge: number
}

/** A member as it is introduced to an instance that lacks it or its details. */
export interface MemberEntry {
  /** Missing when only the details are new. */
  readonly facts?: MemberFacts
  readonly key: string
  readonly details: MemberDetails
}

/** The name of one incarnation of an instance in messages. */
export function memberKey ({ id, incarnation }: Pick<MemberFacts, 'id' | 'incarnation'>): string {
  return createHash('sha256').update(`${id}\0${incarnation}`).digest('base64url').slice(0, MEMBER_KEY_LENGTH)
}

/** Packs beats into a text; revisions are relative to `base`, which the message holds once. */
export function packBeats (beats: Iterable<MemberBeat>, base: number): string {
  const parts: string[] = []
  for (const { key, heartbeat, detailsVersion, revision, confirmationAge } of beats) {
    parts.push(`${key}${heartbeat.toString(36)}.${detailsVersion.toString(36)}.${(base - revision).toString(36)}.${confirmationAge.toString(36)}`)
  }
  return parts.join(',')
}

/** @throws ControlError `message_malformed`. */
export function unpackBeats (packed: string, base: number): readonly MemberBeat[] {
  if (packed === '') return []
  return packed.split(',').map(part => {
    const [heartbeat, detailsVersion, lag, confirmationAge] = part.slice(MEMBER_KEY_LENGTH).split('.').map(number => parseInt(number, 36))
    const beat = { key: part.slice(0, MEMBER_KEY_LENGTH), heartbeat, detailsVersion, revision: base - lag, confirmationAge }
    if (![heartbeat, detailsVersion, lag, confirmationAge].every(Number.isSafeInteger)) throw new ControlError('message_malformed', `the heartbeat ${part} cannot be read`)
    return beat
  })
}
