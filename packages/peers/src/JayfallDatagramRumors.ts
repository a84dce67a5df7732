/**
 * Spreads news between instances as UDP datagrams.
 *
 * Clocks of instances differ, so a message carries the age of its news instead of a time. An instance that has
 * just started asks a few others for what they know.
 */

import { rendezvousRank, type Clock, type RandomSource } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'
import * as z from 'zod'

import { ASK_OFFSETS_MILLISECONDS, ASKED_PEERS } from './JayfallPeerConstants'
import { type PeerDatagrams } from './JayfallPeerDatagrams'
import { type Peer } from './JayfallPeerDirectory'
import { RumorChannel, type RumorTopic } from './JayfallRumorChannel'
import { collectorsOf, drawSome, RumorSpreader, type News } from './JayfallRumorSpreader'

const newsMessage = z.object({ news: z.string(), age: z.number().nonnegative(), body: z.unknown() }).readonly()
/** A question for all current news, with the address to answer to. */
const askMessage = z.object({ askNews: z.string() }).readonly()
/** The end of the answer, with the number of messages before it. */
const toldMessage = z.object({ toldNews: z.number() }).readonly()

export interface DatagramRumorsParts {
  readonly datagrams: PeerDatagrams
  /** This instance as others reach it. */
  readonly self: Peer
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: Log
}

export class DatagramRumors extends RumorChannel {
  private readonly spreader: RumorSpreader
  private readonly topics = new Map<string, RumorTopic>()
  private peers: readonly Peer[] = []
  private timer: NodeJS.Timeout | undefined
  private hasAsked = false
  private isTold = false

  constructor (private readonly parts: DatagramRumorsParts) {
    super()
    this.spreader = new RumorSpreader(parts.random)
    parts.datagrams.subscribe(message => this.handleMessage(message))
  }

  /** @param peers all other instances. */
  setPeers (peers: readonly Peer[]): void {
    this.peers = peers
    this.spreader.setAddresses(peers.map(({ address }) => address))
    if (this.hasAsked || peers.length === 0) return
    this.hasAsked = true
    for (const offset of ASK_OFFSETS_MILLISECONDS) setTimeout(() => this.ask(), offset).unref()
  }

  override subscribe (topic: RumorTopic): void {
    this.topics.set(topic.name, topic)
  }

  override tell ({ name }: RumorTopic, body: unknown, happenedAt: number): void {
    this.pass({ topic: name, happenedAt, body })
  }

  override report (topic: RumorTopic, key: string, body: unknown, happenedAt: number): void {
    const { self, datagrams } = this.parts
    const collectors = collectorsOf(key, [self, ...this.peers], self.zone)
    datagrams.send(collectors.filter(({ id }) => id !== self.id).map(({ address }) => address), this.encode({ topic: topic.name, happenedAt, body }))
    if (collectors.some(({ id }) => id === self.id)) topic.hear(body, happenedAt)
  }

  override rankFor (key: string): number {
    const { self } = this.parts
    return rendezvousRank(key, [self, ...this.peers].map(({ id }) => id)).indexOf(self.id)
  }

  private ask (): void {
    const { datagrams, self, random } = this.parts
    if (!this.isTold) datagrams.send(drawSome(this.peers, ASKED_PEERS, random).map(({ address }) => address), { askNews: self.address })
  }

  private handleMessage (message: unknown): boolean {
    const news = newsMessage.safeParse(message).data
    if (news !== undefined) {
      this.hear(news.news, news.body, news.age)
      return true
    }
    const ask = askMessage.safeParse(message).data
    if (ask !== undefined) {
      this.answer(ask.askNews)
      return true
    }
    const told = toldMessage.safeParse(message).success
    this.isTold ||= told
    return told
  }

  private hear (name: string, body: unknown, age: number): void {
    const happenedAt = this.parts.clock.monotonic() - age
    if (this.topics.get(name)?.hear(body, happenedAt) === true) this.pass({ topic: name, happenedAt, body })
  }

  private answer (address: string): void {
    let count = 0
    for (const topic of this.topics.values()) {
      for (const { body, happenedAt } of topic.current()) {
        this.parts.datagrams.send([address], this.encode({ topic: topic.name, body, happenedAt }))
        count++
      }
    }
    this.parts.datagrams.send([address], { toldNews: count })
  }

  private pass (news: News): void {
    this.spreader.pass(news, this.parts.clock.monotonic())
    this.sendDue()
  }

  private sendDue (): void {
    const { clock, datagrams, log } = this.parts
    const now = clock.monotonic()
    for (const { addresses, news } of this.spreader.takeDue(now)) datagrams.send(addresses, this.encode(news))
    clearTimeout(this.timer)
    const { nextDueAt, dropped } = this.spreader
    if (dropped > 0) log.warn('news_not_passed_on', { dropped })
    this.spreader.dropped = 0
    if (nextDueAt !== undefined) this.timer = setTimeout(() => this.sendDue(), Math.max(1, nextDueAt - now)).unref()
  }

  private encode ({ topic, happenedAt, body }: News): unknown {
    return { news: topic, age: Math.max(0, Math.round(this.parts.clock.monotonic() - happenedAt)), body }
  }
}
