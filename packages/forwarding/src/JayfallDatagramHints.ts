/** Exchanges prefill hints between instances as UDP datagrams. */

import { type PeerDatagrams } from '#jayfall/peers'
import * as z from 'zod'

import { MAXIMUM_HINT_TARGETS } from './JayfallForwardingConstants'
import { PrefillHints, type PrefillHint } from './JayfallPrefillHints'

const hintMessage = z.object({ server: z.string(), reading: z.number().nonnegative(), isInLane: z.boolean().optional() }).readonly()

/** An instance that is told, with its IP address and port. */
export interface HintTarget {
  readonly zone: string
  readonly address: string
}

export class DatagramHints extends PrefillHints {
  private targets: readonly string[] = []
  private targetsByZone: ReadonlyMap<string, readonly string[]> = new Map()
  private handler: (hint: PrefillHint) => void = () => {}

  constructor (private readonly datagrams: PeerDatagrams) {
    super()
    datagrams.subscribe(message => this.handleMessage(message))
  }

  /** @param instances the other instances, those in the same zone first. */
  setTargets (instances: readonly HintTarget[]): void {
    this.targets = instances.slice(0, MAXIMUM_HINT_TARGETS).map(({ address }) => address)
    const zones = new Set(instances.map(({ zone }) => zone))
    this.targetsByZone = new Map([...zones].map(zone => [zone, instances.filter(instance => instance.zone === zone).slice(0, MAXIMUM_HINT_TARGETS).map(({ address }) => address)]))
  }

  override publish ({ server, reading, isInLane }: PrefillHint, zones?: Iterable<string>): void {
    const targets = zones === undefined ? this.targets : [...zones].flatMap(zone => this.targetsByZone.get(zone) ?? [])
    if (targets.length > 0) this.datagrams.sendWithinLimit(targets, { server, reading: Math.round(reading), isInLane })
  }

  override subscribe (handler: (hint: PrefillHint) => void): void {
    this.handler = handler
  }

  private handleMessage (message: unknown): boolean {
    const { data } = hintMessage.safeParse(message)
    if (data !== undefined) this.handler(data)
    return data !== undefined
  }
}
