/** Selects the peers with which an instance exchanges messages. */

import { type RandomSource } from '#jayfall/shared'

import { type ControlNode } from './JayfallControlNode'

/** The address of another entry instance, and its zone when that is known. */
export interface KnownAddress {
  readonly address: string
  readonly zone?: string
}

/** Probability that a periodic exchange goes to an address outside the live members, so that diverged views merge again. */
const OUTSIDE_VIEW_PROBABILITY = 0.1

/** Selects peers from the node's members and summaries and from the addresses in the settings and the platform's list. */
export class PeerSelector {
  constructor (private readonly node: ControlNode, private readonly knownAddresses: () => readonly KnownAddress[], private readonly random: RandomSource) {}

  /** A peer of the own zone for a periodic exchange. */
  zonePeer (): string | undefined {
    const liveAddresses = this.liveAddresses()
    const outside = this.addressesOutsideView(liveAddresses)
    if (liveAddresses.length > 0 && !(outside.length > 0 && this.random.chance(OUTSIDE_VIEW_PROBABILITY))) return this.random.pick(liveAddresses)
    return this.random.pick(outside)
  }

  /** Up to `count` peers of the own zone for triggered exchanges. */
  triggeredPeers (count: number): readonly string[] {
    return this.random.sample(this.liveAddresses(), count)
  }

  /** A peer of another zone; each zone is equally likely. */
  otherZonePeer (): string | undefined {
    const { zone } = this.node.settings
    const byZone = new Map<string, readonly string[]>()
    for (const address of this.knownAddresses()) {
      if (address.zone !== undefined && address.zone !== zone) byZone.set(address.zone, [...byZone.get(address.zone) ?? [], address.address])
    }
    for (const { summary } of this.node.summaries.otherZones()) byZone.set(summary.zone, [...byZone.get(summary.zone) ?? [], ...summary.contacts])
    return this.random.pick(this.random.pick([...byZone.values()]) ?? [])
  }

  /** Up to `count` addresses for a starting instance, those of the own zone first. */
  startPeers (count: number): readonly string[] {
    const { zone } = this.node.settings
    const candidates = this.random.sample(this.knownAddresses().filter(({ address }) => address !== this.node.settings.address), Infinity)
    const zoneDistance = (peer: KnownAddress) => peer.zone === zone ? 0 : peer.zone === undefined ? 1 : 2
    return [...candidates].sort((left, right) => zoneDistance(left) - zoneDistance(right)).slice(0, count).map(({ address }) => address)
  }

  private liveAddresses (): readonly string[] {
    return this.node.membership.livePeersOfZone().map(({ address }) => address)
  }

  /** Addresses in the own zone or in an unknown zone that do not belong to live members. */
  private addressesOutsideView (liveAddresses: readonly string[]): readonly string[] {
    const { zone, address: own } = this.node.settings
    const listedAddresses = this.knownAddresses().filter(peer => peer.zone === undefined || peer.zone === zone).map(({ address }) => address)
    const memberAddresses = this.node.membership.all().map(({ facts }) => facts.address)
    const contacts = this.node.summaries.own?.contacts ?? []
    return [...new Set([...listedAddresses, ...memberAddresses, ...contacts])].filter(address => address !== own && !liveAddresses.includes(address))
  }
}
