/**
 * Decides to which instances news is passed on, without network I/O.
 *
 * News spreads as a rumor: an instance that hears something for the first time passes it on to a few instances that
 * it draws at random, in several rounds. So every instance sends the same small number of messages however many
 * instances there are, no instance has a special role, and lost messages or dead instances only delay the news.
 * Above a rate of messages, the following ones are sent later.
 */

import { type RandomSource, rendezvousRank } from '#jayfall/shared'

import { COLLECTOR_ZONES, MAXIMUM_ACTIVE_RUMORS, MAXIMUM_RUMOR_BURST, MAXIMUM_RUMOR_MESSAGES_PER_SECOND, RUMOR_FANOUT, RUMOR_ROUND_OFFSETS_MILLISECONDS } from './JayfallPeerConstants'
import { type Peer } from './JayfallPeerDirectory'

/** Something that happened, for other instances. */
export interface News {
  readonly topic: string
  /** Monotonic milliseconds of this instance's clock. */
  readonly happenedAt: number
  readonly body: unknown
}

/** News that is due to be sent to some instances. */
export interface DueNews {
  /** IP addresses and ports. */
  readonly addresses: readonly string[]
  readonly news: News
}

interface ActiveRumor {
  readonly news: News
  readonly startedAt: number
  /** Rounds that were sent. */
  readonly rounds: number
  /** Addresses drawn for the rounds, in order; undefined until the first round. */
  readonly addresses: readonly string[] | undefined
}

export class RumorSpreader {
  private addresses: readonly string[] = []
  private rumors: readonly ActiveRumor[] = []
  /** Messages that could be sent at the time `refilledAt`. */
  private allowance = MAXIMUM_RUMOR_BURST
  private refilledAt = -Infinity
  /** Rumors that were given up because too many were active. */
  dropped = 0

  constructor (private readonly random: RandomSource) {}

  /** @param addresses of all other instances. */
  setAddresses (addresses: readonly string[]): void {
    this.addresses = addresses
  }

  /** Begins to pass news on. */
  pass (news: News, now: number): void {
    this.rumors = [...this.rumors, { news, startedAt: now, rounds: 0, addresses: undefined }]
    const excess = this.rumors.length - MAXIMUM_ACTIVE_RUMORS
    if (excess <= 0) return
    this.rumors = this.rumors.slice(excess)
    this.dropped += excess
  }

  /** Yields the messages that are due, as far as the rate allows. */
  * takeDue (now: number): Generator<DueNews> {
    this.allowance = Math.min(MAXIMUM_RUMOR_BURST, this.allowance + (now - this.refilledAt) / 1000 * MAXIMUM_RUMOR_MESSAGES_PER_SECOND)
    this.refilledAt = now
    const remaining: ActiveRumor[] = []
    for (const rumor of this.rumors) {
      if (now < dueTime(rumor) || this.allowance < RUMOR_FANOUT) {
        remaining.push(rumor)
        continue
      }
      const drawn = rumor.addresses ?? this.drawAddresses()
      const addresses = drawn.slice(rumor.rounds * RUMOR_FANOUT, (rumor.rounds + 1) * RUMOR_FANOUT)
      this.allowance -= addresses.length
      const rounds = rumor.rounds + 1
      if (rounds < RUMOR_ROUND_OFFSETS_MILLISECONDS.length) remaining.push({ ...rumor, rounds, addresses: drawn })
      if (addresses.length > 0) yield { addresses, news: rumor.news }
    }
    this.rumors = remaining
  }

  /** Monotonic milliseconds at which the next message is due; undefined when nothing is passed on. */
  get nextDueAt (): number | undefined {
    if (this.rumors.length === 0) return undefined
    const due = Math.min(...this.rumors.map(dueTime))
    const missing = Math.max(0, RUMOR_FANOUT - this.allowance)
    return Math.max(due, this.refilledAt + missing / MAXIMUM_RUMOR_MESSAGES_PER_SECOND * 1000)
  }

  private drawAddresses (): readonly string[] {
    return drawSome(this.addresses, RUMOR_FANOUT * RUMOR_ROUND_OFFSETS_MILLISECONDS.length, this.random)
  }
}

function dueTime ({ startedAt, rounds }: ActiveRumor): number {
  return startedAt + RUMOR_ROUND_OFFSETS_MILLISECONDS[rounds]
}

/** Draws up to `count` different members. */
export function drawSome<Member> (members: readonly Member[], count: number, random: RandomSource): readonly Member[] {
  const pool = [...members]
  const drawn = Math.min(count, pool.length)
  for (let index = 0; index < drawn; index++) {
    const other = random.integer(index, pool.length - 1);
    [pool[index], pool[other]] = [pool[other], pool[index]]
  }
  return pool.slice(0, drawn)
}

/**
 * The instances that collect reports under a key: one of the own zone, which still works when the zone is cut off, and
 * one of each of the first few zones, where the reports of all instances meet. All instances compute the same ones.
 */
export function collectorsOf (key: string, instances: readonly Peer[], ownZone: string): readonly Peer[] {
  const zones = rendezvousRank(key, new Set(instances.map(({ zone }) => zone))).slice(0, COLLECTOR_ZONES)
  return [...new Set([ownZone, ...zones])].flatMap(zone => {
    const [first] = rendezvousRank(key, instances.filter(peer => peer.zone === zone).map(({ id }) => id))
    return instances.filter(({ id }) => id === first)
  })
}
