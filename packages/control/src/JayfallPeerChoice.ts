/** Whom to exchange with. */

import { type RandomSource } from '#jayfall/shared'

import { type ControlNode } from './JayfallControlNode'

/** Another entry instance that is known by its address only, and its zone where that is known. */
export interface KnownAddress {
  readonly address: string
  readonly zone?: string
}

/** The part of periodic exchanges that try an address outside the own view, so that views that fell apart meet again. */
const OUTSIDE_VIEW_CHANCE = 0.1

/** Chooses peers from the views of the node and from addresses that the settings and the platform name. */
export class PeerChoice {
  constructor (private readonly node: ControlNode, private readonly known: () => readonly KnownAddress[], private readonly random: RandomSource) {}

  /** A peer of the own zone for a periodic exchange. */
  zonePeer (): string | undefined {
    const live = this.livePeers()
    const outside = this.outsideView(live)
    if (live.length > 0 && !(outside.length > 0 && this.random.chance(OUTSIDE_VIEW_CHANCE))) return this.random.pick(live)
    return this.random.pick(outside)
  }

  /** Peers of the own zone to tell at once. */
  triggeredPeers (count: number): readonly string[] {
    return this.random.sample(this.livePeers(), count)
  }

  /** A peer of another zone, each zone being equally likely. */
  otherZonePeer (): string | undefined {
    const { zone } = this.node.settings
    const byZone = new Map<string, readonly string[]>()
    for (const address of this.known()) {
      if (address.zone !== undefined && address.zone !== zone) byZone.set(address.zone, [...byZone.get(address.zone) ?? [], address.address])
    }
    for (const { summary } of this.node.summaries.otherZones()) byZone.set(summary.zone, [...byZone.get(summary.zone) ?? [], ...summary.contacts])
    return this.random.pick(this.random.pick([...byZone.values()]) ?? [])
  }

  /** Addresses for a starting instance, those of the own zone first. */
  startPeers (count: number): readonly string[] {
    const { zone } = this.node.settings
    const known = this.random.sample(this.known().filter(({ address }) => address !== this.node.settings.address), Infinity)
    const isNear = (peer: KnownAddress) => peer.zone === zone ? 0 : peer.zone === undefined ? 1 : 2
    return [...known].sort((left, right) => isNear(left) - isNear(right)).slice(0, count).map(({ address }) => address)
  }

  private livePeers (): readonly string[] {
    return this.node.membership.livePeersOfZone().map(({ address }) => address)
  }

  /** Addresses of the own zone, or of an unknown one, that are not among the live members. */
  private outsideView (live: readonly string[]): readonly string[] {
    const { zone, address: own } = this.node.settings
    const known = this.known().filter(peer => peer.zone === undefined || peer.zone === zone).map(({ address }) => address)
    const silent = this.node.membership.all().map(({ facts }) => facts.address)
    const contacts = this.node.summaries.own?.contacts ?? []
    return [...new Set([...known, ...silent, ...contacts])].filter(address => address !== own && !live.includes(address))
  }
}
