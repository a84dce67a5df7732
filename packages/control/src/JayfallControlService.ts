/**
 * The control part of a running instance: timers and calls around a `ControlNode`.
 *
 * All timing runs from one tick, so that a paused process falls behind nowhere else.
 */

import { type CatalogueChange } from '#jayfall/catalogue'
import { PeerClients } from '#jayfall/peers'
import { type Clock, type RandomSource } from '#jayfall/shared'

import { EXCHANGE_TIMEOUT_MILLISECONDS, INTERVAL_JITTER, OTHER_ZONE_EXCHANGE_MILLISECONDS, START_PEERS, START_WAIT_MILLISECONDS, TICK_MILLISECONDS, TRIGGERED_PEERS, TRIGGER_COALESCING_MILLISECONDS, ZONE_EXCHANGE_MILLISECONDS } from './JayfallControlConstants'
import { type ControlNode } from './JayfallControlNode'
import { type ControlPeerRouter } from './JayfallControlRouter'
import { exchangeMessageSchema, type ExchangeKind, type ExchangeMessage } from './JayfallExchangeMessage'
import { PeerChoice, type KnownAddress } from './JayfallPeerChoice'
import { StoreReader, type CatalogueSource } from './JayfallStoreReader'

/** Sends an exchange to an address; a fake takes its place in tests. */
export type ExchangeSender = (address: string, request: ExchangeMessage) => Promise<unknown>

export interface ControlServiceParts {
  readonly node: ControlNode
  readonly source: CatalogueSource
  readonly send: ExchangeSender
  /** Addresses from the settings and the platform's list. */
  readonly knownAddresses: () => readonly KnownAddress[]
  readonly clock: Clock
  readonly random: RandomSource
  readonly onFailure?: (work: 'exchange', address: string, error: Error) => void
}

export interface PeerSender {
  readonly send: ExchangeSender
  /** Forgets the clients of all other addresses, as instances are replaced by ones at new addresses every day. */
  readonly keepOnly: (addresses: ReadonlySet<string>) => void
  readonly close: () => void
}

/** Creates the sender over trpc. */
export function createPeerSender (localAddress: string): PeerSender {
  const clients = new PeerClients<ControlPeerRouter>({ localAddress, timeout: EXCHANGE_TIMEOUT_MILLISECONDS })
  return {
    send: (address, request) => clients.clientFor(address).control.exchange.mutate(request as never),
    keepOnly: addresses => clients.keepOnly(addresses),
    close: () => clients.close()
  }
}

/** Runs exchanges and reads of the store. */
export class ControlService {
  readonly node: ControlNode
  private readonly choice: PeerChoice
  private readonly reader: StoreReader
  private readonly clock: Clock
  private readonly random: RandomSource
  private timer: NodeJS.Timeout | undefined
  private nextZoneExchangeAt = 0
  private nextOtherZoneExchangeAt = 0
  private lastTriggerAt = -Infinity
  private untold: readonly CatalogueChange[] = []

  constructor (private readonly parts: ControlServiceParts) {
    this.node = parts.node
    this.clock = parts.clock
    this.random = parts.random
    this.choice = new PeerChoice(parts.node, parts.knownAddresses, parts.random)
    this.reader = new StoreReader(parts.node, parts.source, parts.clock, parts.random, changes => this.tell(changes))
  }

  /** Installs the highest revision that peers and the store offer within the start limit, and begins to tick. */
  async start (): Promise<void> {
    let timer: NodeJS.Timeout | undefined
    const limit = new Promise(resolve => { timer = setTimeout(resolve, START_WAIT_MILLISECONDS) })
    await Promise.race([this.join(), limit])
    clearTimeout(timer)
    const now = this.clock.monotonic()
    // Instances that start together must not act in step.
    this.nextZoneExchangeAt = now + this.random.uniform() * ZONE_EXCHANGE_MILLISECONDS
    this.nextOtherZoneExchangeAt = now + this.random.uniform() * OTHER_ZONE_EXCHANGE_MILLISECONDS
    this.timer = setInterval(() => this.tick(), TICK_MILLISECONDS)
  }

  /** Asks some peers for their revisions, takes the catalogue from the best one and what is newer from the store. */
  async join (): Promise<void> {
    const offers = await Promise.all(this.choice.startPeers(START_PEERS).map(async address => ({ address, revision: await this.exchange('join', address) })))
    const best = offers.reduce((highest, offer) => offer.revision > highest.revision ? offer : highest, { address: '', revision: 0 })
    if (best.revision > this.node.catalogue.revision) await this.exchange('zone', best.address)
    await this.reader.read().catch(() => {})
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Answers another instance's request. */
  answer (request: ExchangeMessage): ExchangeMessage {
    const before = this.node.catalogue.revision
    const reply = this.node.handleRequest(request)
    this.tell((request.changes ?? []).filter(({ revision }) => revision > before && revision <= this.node.catalogue.revision))
    return reply
  }

  /** Does what is due. */
  tick (): void {
    const now = this.clock.monotonic()
    if (this.node.tick() > 0) this.nextZoneExchangeAt = now
    this.triggerWhenDue(now)
    if (now >= this.nextZoneExchangeAt) {
      this.nextZoneExchangeAt = now + this.jitter(ZONE_EXCHANGE_MILLISECONDS)
      this.exchangeWith('zone', this.choice.zonePeer())
    }
    if (now >= this.nextOtherZoneExchangeAt) {
      this.nextOtherZoneExchangeAt = now + this.jitter(OTHER_ZONE_EXCHANGE_MILLISECONDS)
      this.exchangeWith('other-zone', this.choice.otherZonePeer())
    }
    this.reader.tick().catch(() => {})
  }

  /** Passes newly installed changes on: at once, or together with the next ones when others were just passed on. */
  private tell (changes: readonly CatalogueChange[]): void {
    if (changes.length === 0) return
    this.untold = [...this.untold, ...changes]
    this.triggerWhenDue(this.clock.monotonic())
  }

  private triggerWhenDue (now: number): void {
    if (this.untold.length === 0 || now < this.lastTriggerAt + TRIGGER_COALESCING_MILLISECONDS) return
    this.lastTriggerAt = now
    const changes = this.untold
    this.untold = []
    for (const address of this.choice.triggeredPeers(TRIGGERED_PEERS)) this.exchange('triggered', address, changes)
  }

  private exchangeWith (kind: ExchangeKind, address: string | undefined): void {
    if (address !== undefined) this.exchange(kind, address)
  }

  /** Returns the peer's revision, or 0 when the exchange failed; never rejects. */
  private async exchange (kind: ExchangeKind, address: string, changes: readonly CatalogueChange[] = []): Promise<number> {
    const request = this.node.createRequest(kind, changes)
    const startedAt = this.clock.monotonic()
    try {
      const reply = exchangeMessageSchema.parse(await this.parts.send(address, request))
      this.tell(this.node.handleReply(reply, startedAt))
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
