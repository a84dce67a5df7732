/** A simulated load of prompts, some of which crash the servers that answer them, at many instances. */

import { type PromptPart } from '../../JayfallForwardingProtocol'
import { type PromptSuspicions } from '../../JayfallPromptSuspicions'
import { createSuspicions } from './JayfallDecisionFixture'
import { type RumorNetwork, type Simulation } from './JayfallRumorNetwork'

const RATE_PER_INSTANCE = 1
const DEADLY_SHARE = 0.05
const PREFILL_MILLISECONDS = 100
const CRASHED_MILLISECONDS = 3200
const MAXIMUM_ATTEMPTS = 3
const BOOKS = 200

export function promptOf (...ids: readonly string[]): readonly PromptPart[] {
  return ids.map(id => ({ id, tokens: 10 }))
}

interface PendingRequest {
  readonly instance: number
  readonly prompt: readonly PromptPart[]
  readonly attempt: number
  isEnded: boolean
}

/** Callers and servers: each request waits for its answer at a random server that runs, and a deadly one ends it. */
export class CrashLoad {
  readonly crashTimes: number[] = []
  readonly deadlyArrivals: number[] = []
  sound = 0
  soundFirstTimes = 0
  refused = 0
  private readonly instances: PromptSuspicions[]
  private readonly pending: Set<PendingRequest>[]
  private readonly downUntil: number[]

  constructor (private readonly simulation: Simulation, private readonly network: RumorNetwork) {
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
    const isDeadly = this.simulation.clock.monotonic() > 4000 && random.chance(DEADLY_SHARE)
    const book = `book${isDeadly ? random.integer(0, 2) : random.integer(0, BOOKS - 1)}`
    if (!isDeadly) this.sound++
    this.send({ instance, prompt: promptOf('system', book, ...(isDeadly ? ['deadly'] : []), 'own'), attempt: 1, isEnded: false })
  }

  private send (request: PendingRequest): void {
    const now = this.simulation.clock.monotonic()
    const running = [...this.downUntil.keys()].filter(server => this.downUntil[server] <= now)
    if (running.length === 0) return
    const suspicions = this.instances[request.instance]
    const admission = suspicions.admit(request.prompt)
    if (admission.kind === 'refused') {
      this.refused++
      return
    }
    const server = running[this.network.random.integer(0, running.length - 1)]
    const isDeadly = request.prompt.length > 3
    if (isDeadly) this.deadlyArrivals.push(now)
    this.pending[server].add(request)
    const close = suspicions.open(request.prompt, () => { request.isEnded = true })
    this.simulation.after(PREFILL_MILLISECONDS * (0.5 + this.network.random.uniform()), () => {
      close()
      if (!this.pending[server].delete(request) || request.isEnded) return
      if (isDeadly) {
        this.pending[server].add(request)
        return this.crash(server)
      }
      suspicions.recordBegun(request.prompt)
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
        this.instances[request.instance].recordCrash(request.prompt, `s${server}`)
        if (request.attempt < MAXIMUM_ATTEMPTS && !request.isEnded) this.send({ ...request, attempt: request.attempt + 1 })
      })
    }
  }
}
