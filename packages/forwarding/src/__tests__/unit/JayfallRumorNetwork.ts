/** Many instances that exchange news over a simulated network with delays and losses, in simulated time. */

import { collectorsOf, RumorChannel, RumorSpreader, type News, type RumorTopic } from '#jayfall/peers'
import { ManualClock, RandomSource, rendezvousRank } from '#jayfall/shared'

export const ZONES = ['valdivia', 'osorno', 'puerto-montt', 'chiloe']
const LONGEST_DELAY_MILLISECONDS = 20

/** Runs actions at simulated times, with a resolution of a millisecond. */
export class Simulation {
  readonly clock = new ManualClock(1000)
  private readonly actions = new Map<number, (() => void)[]>()

  after (milliseconds: number, action: () => void): void {
    const at = Math.ceil(this.clock.monotonic() + milliseconds)
    this.actions.set(at, [...this.actions.get(at) ?? [], action])
  }

  runFor (milliseconds: number): void {
    for (const end = this.clock.monotonic() + milliseconds; this.clock.monotonic() < end;) {
      this.clock.advance(1)
      const now = this.clock.monotonic()
      for (let due = this.actions.get(now); due !== undefined; due = this.actions.get(now)) {
        this.actions.delete(now)
        for (const action of due) action()
      }
    }
  }
}

export class RumorNetwork {
  readonly channels: readonly SimulatedChannel[]
  /** Messages that instances sent. */
  sentMessages = 0
  /** Whether reports to collectors are lost. */
  losesReports = false
  /** A zone that no message enters or leaves. */
  cutZone: string | undefined

  constructor (readonly simulation: Simulation, instances: number, readonly random: RandomSource, private readonly loss: number) {
    this.channels = Array.from({ length: instances }, (_, index) => new SimulatedChannel(this, index))
    for (const channel of this.channels) channel.connect()
  }

  /** Whether the cut lies between two zones. */
  areApart (zone: string, other: string): boolean {
    return this.cutZone !== undefined && (zone === this.cutZone) !== (other === this.cutZone)
  }

  send (from: SimulatedChannel, to: SimulatedChannel, news: News, isReport: boolean): void {
    this.sentMessages++
    from.sentMessages++
    if ((isReport && this.losesReports) || this.random.chance(this.loss) || to.isSilent || this.areApart(from.zone, to.zone)) return
    this.simulation.after(1 + this.random.uniform() * LONGEST_DELAY_MILLISECONDS, () => to.receive(news, isReport))
  }
}

export class SimulatedChannel extends RumorChannel {
  readonly id: string
  readonly zone: string
  readonly address: string
  sentMessages = 0
  /** A frozen or dead instance receives nothing. */
  isSilent = false
  private readonly spreader: RumorSpreader
  private readonly topics = new Map<string, RumorTopic>()
  private dueAt = Infinity

  constructor (private readonly network: RumorNetwork, index: number) {
    super()
    this.id = `entry-${index}`
    this.zone = ZONES[index % ZONES.length]
    this.address = String(index)
    this.spreader = new RumorSpreader(network.random)
  }

  connect (): void {
    this.spreader.setAddresses(this.network.channels.filter(other => other !== this).map(({ address }) => address))
  }

  /** Asks another instance for what it knows, as one does that has just started. */
  ask (other: SimulatedChannel): void {
    for (const topic of other.topics.values()) {
      for (const { body, happenedAt } of topic.current()) this.network.send(other, this, { topic: topic.name, body, happenedAt }, false)
    }
  }

  receive ({ topic, body, happenedAt }: News, isReport: boolean): void {
    if (this.topics.get(topic)?.hear(body, happenedAt) === true && !isReport) this.pass({ topic, body, happenedAt })
  }

  override subscribe (topic: RumorTopic): void {
    this.topics.set(topic.name, topic)
  }

  override tell ({ name }: RumorTopic, body: unknown, happenedAt: number): void {
    this.pass({ topic: name, body, happenedAt })
  }

  override report (topic: RumorTopic, key: string, body: unknown, happenedAt: number): void {
    for (const { address } of collectorsOf(key, this.network.channels, this.zone)) this.network.send(this, this.network.channels[Number(address)], { topic: topic.name, body, happenedAt }, true)
  }

  override rankFor (key: string): number {
    return rendezvousRank(key, this.network.channels.map(({ id }) => id)).indexOf(this.id)
  }

  private pass (news: News): void {
    this.spreader.pass(news, this.network.simulation.clock.monotonic())
    this.sendDue()
  }

  private sendDue (): void {
    const { simulation, channels } = this.network
    const now = simulation.clock.monotonic()
    for (const { addresses, news } of this.spreader.takeDue(now)) {
      for (const address of addresses) this.network.send(this, channels[Number(address)], news, false)
    }
    const { nextDueAt } = this.spreader
    if (nextDueAt === undefined || (this.dueAt > now && this.dueAt <= nextDueAt)) return
    this.dueAt = Math.max(now + 1, nextDueAt)
    simulation.after(this.dueAt - now, () => this.sendDue())
  }
}
