/** A simulated load on one server that names a limit, from many instances. */

import { NoRumors, type RumorChannel } from '#jayfall/peers'
import { type Clock, RandomSource } from '#jayfall/shared'

import { ServerLimits } from '../../JayfallServerLimits'
import { SILENT_LOG } from './JayfallDecisionFixture'
import { RumorNetwork, Simulation } from './JayfallRumorNetwork'

const CONTACT_MILLISECONDS = 3000
export const WINDOW_MILLISECONDS = 4000
const TOLD_MILLISECONDS = 500
const LOSS = 0.05
const RATE_PER_INSTANCE = 2
/** Callers ask for at least this many times what the limit allows. */
const MINIMUM_PRESSURE = 3
const ANSWER_MILLISECONDS = 40
const NEED_STARTS = 1000
const NEED_SECONDS = 16
/** Store clocks of instances are known to within some milliseconds. */
const CLOCK_ERROR_MILLISECONDS = 20

/** @param options `instances`: null when they are unknown. */
export function createLimits (clock: Clock, { rumors = new NoRumors(), instance = 'entry-0', instances = [instance], clockError = 0 }: { readonly rumors?: RumorChannel, readonly instance?: string, readonly instances?: readonly string[] | null, readonly clockError?: number } = {}): ServerLimits {
  return new ServerLimits({ clock, random: new RandomSource(1), log: SILENT_LOG, rumors, storeTime: () => clock.monotonic() + clockError, instance, instances: () => instances ?? undefined })
}

/** Callers of one server that names a limit for a while. An instance sends it whatever its limits allow. */
export class LimitedLoad {
  private readonly simulation = new Simulation()
  private readonly network: RumorNetwork
  private readonly instances: readonly ServerLimits[]
  private readonly arrivals: { readonly at: number, readonly instance: number }[] = []
  /** Times from which instances count as told, by their index. */
  private readonly toldAt: number[] = []
  private firstNamedAt = Infinity

  constructor (count: number, readonly limit: number, seed: number) {
    const random = new RandomSource(seed)
    this.network = new RumorNetwork(this.simulation, count, random, LOSS)
    const ids = this.network.channels.map(({ id }) => id)
    this.instances = this.network.channels.map(rumors => createLimits(this.simulation.clock, { rumors, instance: rumors.id, instances: ids, clockError: random.uniform() * CLOCK_ERROR_MILLISECONDS }))
  }

  play (): void {
    for (const instance of this.instances.keys()) this.simulation.after(this.pause(), () => this.arrive(instance))
    this.simulation.runFor(NEED_STARTS + NEED_SECONDS * 1000 + CONTACT_MILLISECONDS)
  }

  /** The most requests that told instances sent within a window, from the contact time after the limit was first named. */
  mostArrivals (): number {
    const counted = this.arrivals.filter(({ at, instance }) => at >= this.firstNamedAt + CONTACT_MILLISECONDS && at < this.needEndsAt && at >= this.toldAt[instance] + TOLD_MILLISECONDS)
    return Math.max(0, ...counted.map(({ at: start }) => counted.filter(({ at }) => at >= start && at < start + WINDOW_MILLISECONDS).length))
  }

  usedShare (): number {
    const from = this.firstNamedAt + CONTACT_MILLISECONDS
    return this.arrivals.filter(({ at }) => at >= from && at < this.needEndsAt).length / ((this.needEndsAt - from) / 1000 * this.limit)
  }

  limitedInstances (): readonly number[] {
    return [...this.instances.entries()].filter(([, limits]) => [...limits.current()].length > 0).map(([index]) => index)
  }

  messagesPerSecond (): number {
    return Math.max(...this.network.channels.map(({ sentMessages }) => sentMessages)) / NEED_SECONDS
  }

  private get needEndsAt (): number {
    return 1000 + NEED_STARTS + NEED_SECONDS * 1000
  }

  private pause (): number {
    return this.network.random.exponential(1000 / Math.max(RATE_PER_INSTANCE, MINIMUM_PRESSURE * this.limit / this.instances.length))
  }

  private arrive (instance: number): void {
    this.simulation.after(this.pause(), () => this.arrive(instance))
    const limits = this.instances[instance]
    const sentAt = this.simulation.clock.monotonic()
    if (!limits.maySend('s1')) return
    limits.recordSent('s1')
    this.arrivals.push({ at: sentAt, instance })
    this.simulation.after(ANSWER_MILLISECONDS, () => {
      const now = this.simulation.clock.monotonic()
      const isInNeed = now >= 1000 + NEED_STARTS && now < this.needEndsAt
      if (isInNeed) {
        this.firstNamedAt = Math.min(this.firstNamedAt, now)
        this.toldAt[instance] ??= now
      }
      limits.recordAnswer('s1', isInNeed ? this.limit : undefined, sentAt)
    })
  }
}
