/** The instances that the settings name as seeds, asked at intervals who they are and whether they are leaving. */

import { createPeerRouter, PeerClients, PeerDirectory, peerProcedure, type Peer } from '#jayfall/peers'
import { type Clock } from '#jayfall/shared'

/** A seed that has not answered for this long is not chosen. */
const SILENT_MILLISECONDS = 3000
/** A seed that has not answered for this long is taken for dead. */
const DEAD_MILLISECONDS = 10_000

/** What an instance says about itself; `startedAt` is wall-clock milliseconds. */
export interface SeedIdentity extends Omit<Peer, 'address'> {
  readonly startedAt: number
}

interface SeedAnswer extends SeedIdentity {
  readonly leaving: boolean
}

interface KnownSeed extends SeedAnswer {
  /** Monotonic milliseconds. */
  readonly answeredAt: number
}

/** The procedure by which an instance says who it is. */
export function createSeedRouter (self: SeedIdentity, isLeaving: () => boolean) {
  return createPeerRouter({
    identify: peerProcedure.mutation((): SeedAnswer => ({ ...self, leaving: isLeaving() }))
  })
}

/** The routers of other instances, as far as this directory calls them. */
type RootRouter = ReturnType<typeof createPeerRouter<{ seeds: ReturnType<typeof createSeedRouter> }>>

/** Knows the seeds that answer. */
export class SeedPeerDirectory extends PeerDirectory {
  private readonly clients: PeerClients<RootRouter>
  private readonly known = new Map<string, KnownSeed>()

  constructor (private readonly seeds: readonly string[], private readonly zone: string, localAddress: string, private readonly clock: Clock) {
    super()
    this.clients = new PeerClients({ localAddress })
  }

  /** Asks all seeds; those that do not answer keep their last answer and its age. */
  async refresh (): Promise<void> {
    await Promise.all(this.seeds.map(async seed => {
      const answer = await this.clients.at(seed).seeds.identify.mutate().catch(() => undefined)
      if (answer !== undefined) this.known.set(seed, { ...answer, answeredAt: this.clock.monotonic() })
    }))
  }

  override livePeersOfZone (): readonly Peer[] {
    return [...this.known]
      .filter(([, seed]) => seed.zone === this.zone && !seed.leaving && this.ageOf(seed) < SILENT_MILLISECONDS)
      .map(([address, { id, zone }]) => ({ id, zone, address }))
  }

  override isDead (id: string): boolean {
    const seeds = [...this.known.values()].filter(seed => seed.id === id)
    return seeds.length > 0 && seeds.every(seed => this.ageOf(seed) >= DEAD_MILLISECONDS)
  }

  override incarnationOf (id: string): number | undefined {
    const starts = [...this.known.values()].filter(seed => seed.id === id).map(({ startedAt }) => startedAt)
    return starts.length === 0 ? undefined : Math.max(...starts)
  }

  close (): void {
    this.clients.close()
  }

  private ageOf ({ answeredAt }: KnownSeed): number {
    return this.clock.monotonic() - answeredAt
  }
}
