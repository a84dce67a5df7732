/** A simulated load of prompts, some of which crash the servers that answer them, at many instances. */

import { type PromptSuspicions } from '../../JayfallPromptSuspicions'
import { type RequestIdentity } from '../../JayfallRequestIdentity'
import { createSuspicions } from './JayfallDecisionFixture'
import { ZONES, type RumorNetwork, type Simulation } from './JayfallRumorNetwork'

const RATE_PER_INSTANCE = 1
const DEADLY_SHARE = 0.05
const PREFILL_MILLISECONDS = 100
const CRASHED_MILLISECONDS = 3200
const MAXIMUM_ATTEMPTS = 3
const BOOKS = 200
const UPDATE_MILLISECONDS = 100

let requests = 0

/** A request of its own with a prompt of these parts. */
export function requestWith (...ids: readonly string[]): RequestIdentity {
  return { fingerprint: `request:${++requests}`, promptParts: ids.map(id => ({ id, tokens: 10 })) }
}

interface PendingRequest {
  readonly instance: number
  readonly isDeadly: boolean
  readonly identity: RequestIdentity
  readonly attempt: number
  isEnded: boolean
}

/** Callers and servers: each request waits for its answer at a random server that runs, and a deadly one ends it. */
export class CrashLoad {
  readonly crashTimes: number[] = []
  readonly deadlyArrivals: number[] = []
  /** The deadly requests that came to instances. */
  readonly deadlyRequests: RequestIdentity[] = []
  sound = 0
  soundFirstTimes = 0
  refused = 0
  private readonly instances: PromptSuspicions[]
  private readonly pending: Set<PendingRequest>[]
  private readonly downUntil: number[]

  constructor (private readonly simulation: Simulation, private readonly network: RumorNetwork, private readonly deadlyShare = DEADLY_SHARE, private readonly maximumAttempts = MAXIMUM_ATTEMPTS) {
    this.instances = network.channels.map(channel => createSuspicions(simulation.clock, channel))
    const servers = Math.max(6, Math.round(network.channels.length * 1.3))
    this.pending = Array.from({ length: servers }, () => new Set())
    this.downUntil = Array<number>(servers).fill(-Infinity)
  }

  suspicionsOf (instance: number): PromptSuspicions {
    return this.instances[instance]
  }

  restart (instance: number): void {
    this.instances[instance] = createSuspicions(this.simulation.clock, this.network.channels[instance])
  }

  begin (): void {
    const { random } = this.network
    const update = (): void => {
      for (const instance of this.instances) instance.update()
      this.simulation.after(UPDATE_MILLISECONDS, update)
    }
    update()
    for (const instance of this.instances.keys()) {
      const next = (): void => {
        this.arrive(instance)
        this.simulation.after(random.exponential(1000 / RATE_PER_INSTANCE), next)
      }
      this.simulation.after(random.exponential(1000 / RATE_PER_INSTANCE), next)
    }
  }

  private arrive (instance: number): void {
    const { random } = this.network
    const isDeadly = this.simulation.clock.monotonic() > 4000 && random.chance(this.deadlyShare)
    const book = `book${isDeadly ? random.integer(0, 2) : random.integer(0, BOOKS - 1)}`
    if (!isDeadly) this.sound++
    const identity = requestWith('system', book, ...(isDeadly ? ['deadly'] : []), 'own')
    if (isDeadly) this.deadlyRequests.push(identity)
    this.send({ instance, isDeadly, identity, attempt: 1, isEnded: false })
  }

  /** Sends one deadly request again and again, to a random one of the instances each time. */
  repeat (identity: RequestIdentity, instances: readonly number[], interval: number): void {
    const instance = instances[this.network.random.integer(0, instances.length - 1)]
    this.send({ instance, isDeadly: true, identity, attempt: 1, isEnded: false })
    this.simulation.after(interval, () => this.repeat(identity, instances, interval))
  }

  private send (request: PendingRequest): void {
    const now = this.simulation.clock.monotonic()
    const { zone } = this.network.channels[request.instance]
    const running = [...this.downUntil.keys()].filter(server => this.downUntil[server] <= now && !this.network.areApart(zone, ZONES[server % ZONES.length]))
    if (running.length === 0) return
    const suspicions = this.instances[request.instance]
    const admission = suspicions.admit(request.identity)
    if (admission.kind === 'refused') {
      this.refused++
      return
    }
    const server = running[this.network.random.integer(0, running.length - 1)]
    const { isDeadly } = request
    if (isDeadly) this.deadlyArrivals.push(now)
    this.pending[server].add(request)
    const close = suspicions.open(request.identity, () => { request.isEnded = true })
    this.simulation.after(PREFILL_MILLISECONDS * (0.5 + this.network.random.uniform()), () => {
      close()
      if (!this.pending[server].delete(request) || request.isEnded) return
      if (isDeadly) {
        this.pending[server].add(request)
        return this.crash(server)
      }
      suspicions.recordBegun(request.identity)
      if (request.attempt === 1) this.soundFirstTimes++
    })
  }

  private crash (server: number): void {
    const now = this.simulation.clock.monotonic()
    this.crashTimes.push(now)
    this.downUntil[server] = now + CRASHED_MILLISECONDS
    const waiting = [...this.pending[server]]
    this.pending[server].clear()
    for (const request of waiting) {
      this.simulation.after(2, () => {
        this.instances[request.instance].recordCrash(request.identity, `s${server}`)
        if (request.attempt < this.maximumAttempts && !request.isEnded) this.send({ ...request, attempt: request.attempt + 1 })
      })
    }
  }
}
