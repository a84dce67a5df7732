/** Exchanges prefill hints between instances as UDP datagrams. */

import { type PeerDatagrams } from '#jayfall/peers'
import * as z from 'zod'

import { MAXIMUM_HINT_TARGETS } from './JayfallForwardingConstants'
import { PrefillHints, type PrefillHint } from './JayfallPrefillHints'

const hintMessage = z.object({ server: z.string(), reading: z.number().nonnegative() }).readonly()

export class DatagramHints extends PrefillHints {
  private targets: readonly string[] = []
  private handler: (hint: PrefillHint) => void = () => {}

  constructor (private readonly datagrams: PeerDatagrams) {
    super()
    datagrams.subscribe(message => this.handleMessage(message))
  }

  /** @param addresses IP addresses and ports of the other instances, those in the same zone first. */
  setTargets (addresses: readonly string[]): void {
    this.targets = addresses.slice(0, MAXIMUM_HINT_TARGETS)
  }

  override publish ({ server, reading }: PrefillHint): void {
    if (this.targets.length > 0) this.datagrams.sendWithinLimit(this.targets, { server, reading: Math.round(reading) })
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
