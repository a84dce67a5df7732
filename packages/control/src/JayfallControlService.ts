/**
 * Runs the exchanges with other instances and the reads of the store for a `ControlNode`.
 *
 * All timing derives from one tick, so that a pause of the process has to be handled only there.
 */

import { type CatalogueChange } from '#jayfall/catalogue'
import { PeerClients } from '#jayfall/peers'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { EXCHANGE_TIMEOUT_MILLISECONDS, INTERVAL_JITTER, OTHER_ZONE_EXCHANGE_INTERVAL_MILLISECONDS, START_PEERS, START_TIMEOUT_MILLISECONDS, TICK_INTERVAL_MILLISECONDS, TRIGGERED_PEERS, TRIGGER_COALESCING_MILLISECONDS, ZONE_EXCHANGE_INTERVAL_MILLISECONDS } from './JayfallControlConstants'
import { type ControlNode } from './JayfallControlNode'
import { type ControlPeerRouter } from './JayfallControlRouter'
import { exchangeMessageSchema, type ExchangeKind, type ExchangeMessage } from './JayfallExchangeMessage'
import { PeerSelector, type KnownAddress } from './JayfallPeerSelector'
import { StoreReader, type CatalogueSource } from './JayfallStoreReader'

/** Sends the request of an exchange to an address and resolves to the unchecked reply. Tests replace it. */
export type ExchangeSender = (address: string, request: ExchangeMessage) => Promise<unknown>

export interface ControlServiceParts {
  readonly node: ControlNode
  readonly source: CatalogueSource
  readonly send: ExchangeSender
  /** Addresses of other instances from the settings and the platform's list. */
  readonly knownAddresses: () => readonly KnownAddress[]
  readonly clock: Clock
  readonly random: RandomSource
  readonly onFailure?: (work: 'exchange', address: string, error: Error) => void
}

/** Sends exchanges to other instances. */
export interface PeerSender {
  readonly send: ExchangeSender
  /** Removes the clients of all other addresses, as instances are replaced by ones at new addresses every day. */
  readonly keepOnly: (addresses: ReadonlySet<string>) => void
  readonly close: () => void
}

/** Creates a sender that uses trpc over connections from `localAddress` (an IP address). */
export function createPeerSender (localAddress: string): PeerSender {
  const clients = new PeerClients<ControlPeerRouter>({ localAddress, timeout: EXCHANGE_TIMEOUT_MILLISECONDS })
  return {
    send: (address, request) => clients.clientFor(address).control.exchange.mutate(request as never),
    keepOnly: addresses => clients.keepOnly(addresses),
    close: () => clients.close()
  }
}

/** Schedules exchanges with peers and reads of the store. */
export class ControlService {
  readonly node: ControlNode
  private readonly peerSelector: PeerSelector
  private readonly reader: StoreReader
  private readonly clock: Clock
  private readonly random: RandomSource
  private timer: NodeJS.Timeout | undefined
  private nextZoneExchangeAt = 0
  private nextOtherZoneExchangeAt = 0
  private lastTriggerAt = -Infinity
  /** Newly installed changes for the next round of triggered exchanges. */
  private pendingChanges: readonly CatalogueChange[] = []

  constructor (private readonly parts: ControlServiceParts) {
    this.node = parts.node
    this.clock = parts.clock
    this.random = parts.random
    this.peerSelector = new PeerSelector(parts.node, parts.knownAddresses, parts.random)
    this.reader = new StoreReader(parts.node, parts.source, parts.clock, parts.random, changes => this.propagate(changes))
  }

  /** Installs the highest revision that peers and the store offer within the start time-out, and starts the tick. */
  async start (): Promise<void> {
    let timer: NodeJS.Timeout | undefined
    const limit = new Promise(resolve => { timer = setTimeout(resolve, START_TIMEOUT_MILLISECONDS) })
    await Promise.race([this.join(), limit])
    clearTimeout(timer)
    const now = this.clock.monotonic()
    // Instances that start together begin their exchanges at different times.
    this.nextZoneExchangeAt = now + this.random.uniform() * ZONE_EXCHANGE_INTERVAL_MILLISECONDS
    this.nextOtherZoneExchangeAt = now + this.random.uniform() * OTHER_ZONE_EXCHANGE_INTERVAL_MILLISECONDS
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MILLISECONDS)
  }

  /** Asks some peers for their revisions, fetches the catalogue from the one with the highest revision and reads newer changes from the store. */
  async join (): Promise<void> {
    const offers = await Promise.all(this.peerSelector.startPeers(START_PEERS).map(async address => ({ address, revision: await this.exchange('join', address) })))
    const best = offers.reduce((highest, offer) => offer.revision > highest.revision ? offer : highest, { address: '', revision: 0 })
    if (best.revision > this.node.catalogue.revision) await this.exchange('zone', best.address)
    await this.reader.read().catch(() => {})
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Merges another instance's request and returns the reply. */
  answer (request: ExchangeMessage): ExchangeMessage {
    const before = this.node.catalogue.revision
    const reply = this.node.handleRequest(request)
    this.propagate((request.changes ?? []).filter(({ revision }) => revision > before && revision <= this.node.catalogue.revision))
    return reply
  }

  /** Starts the exchanges and the read of the store that are due. */
  tick (): void {
    const now = this.clock.monotonic()
    if (this.node.tick() > 0) this.nextZoneExchangeAt = now
    this.sendTriggeredWhenDue(now)
    if (now >= this.nextZoneExchangeAt) {
      this.nextZoneExchangeAt = now + this.jitter(ZONE_EXCHANGE_INTERVAL_MILLISECONDS)
      this.exchangeWith('zone', this.peerSelector.zonePeer())
    }
    if (now >= this.nextOtherZoneExchangeAt) {
      this.nextOtherZoneExchangeAt = now + this.jitter(OTHER_ZONE_EXCHANGE_INTERVAL_MILLISECONDS)
      this.exchangeWith('other-zone', this.peerSelector.otherZonePeer())
    }
    this.reader.tick().catch(() => {})
  }

  /** Passes newly installed changes on to peers: immediately, or in the next round when the last one was less than `TRIGGER_COALESCING_MILLISECONDS` ago. */
  private propagate (changes: readonly CatalogueChange[]): void {
    if (changes.length === 0) return
    this.pendingChanges = [...this.pendingChanges, ...changes]
    this.sendTriggeredWhenDue(this.clock.monotonic())
  }

  private sendTriggeredWhenDue (now: number): void {
    if (this.pendingChanges.length === 0 || now < this.lastTriggerAt + TRIGGER_COALESCING_MILLISECONDS) return
    this.lastTriggerAt = now
    const changes = this.pendingChanges
    this.pendingChanges = []
    for (const address of this.peerSelector.triggeredPeers(TRIGGERED_PEERS)) this.exchange('triggered', address, changes)
  }

  private exchangeWith (kind: ExchangeKind, address: string | undefined): void {
    if (address !== undefined) this.exchange(kind, address)
  }

  /** Exchanges messages with a peer and resolves to the peer's revision, or to 0 when the exchange failed; never rejects. */
  private async exchange (kind: ExchangeKind, address: string, changes: readonly CatalogueChange[] = []): Promise<number> {
    const request = this.node.createRequest(kind, changes)
    const startedAt = this.clock.monotonic()
    try {
      const reply = exchangeMessageSchema.parse(await this.parts.send(address, request))
      this.propagate(this.node.handleReply(reply, startedAt))
      return reply.revision
    } catch (error) {
      this.parts.onFailure?.('exchange', address, error as Error)
      return 0
    }
  }

  private jitter (interval: number): number {
    return interval * (1 + INTERVAL_JITTER * (2 * this.random.uniform() - 1))
  }
}
