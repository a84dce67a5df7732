/** What a table store whose changes few instances read needs from its instance. */

import { type PeerCallHandler, type PeerDatagrams } from '#jayfall/peers'
import { type Clock, type RandomSource } from '#jayfall/shared'
import { type WatchableTableStore } from '#jayfall/store'
import { type Log } from '#jayfall/telemetry'

import { type FeedLimits } from './JayfallFeedTimings'
import { type FeedInstance } from './JayfallReaderSelector'

export interface SharedTableStoreParts {
  readonly store: WatchableTableStore
  readonly instance: string
  readonly zone: string
  /** IP address and port on which this instance accepts calls from other instances. */
  readonly host: string
  readonly port: number
  /** Bandwidth of this instance's link in Mbit/s; undefined when it is unknown. */
  readonly link?: number
  readonly limits: FeedLimits
  /** Whether the whole deployment starts for the first time, so that no instance is registered yet. */
  readonly isFirstStart: boolean
  /** Carries the notices. Its address is that of the calls, with the same port. */
  readonly datagrams: PeerDatagrams
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
  /** Calls that the listener for other instances takes beside those for changes. */
  readonly otherCalls?: PeerCallHandler
  /** Called with all other registered instances when they have changed. */
  readonly onInstances?: (others: readonly FeedInstance[]) => void
}
