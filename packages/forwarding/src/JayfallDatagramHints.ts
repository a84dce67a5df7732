/** Exchanges prefill hints between instances as UDP datagrams. */

import { PeerDatagrams, type PeerDatagramsParts } from '#jayfall/peers'
import * as z from 'zod'

import { MAXIMUM_HINT_TARGETS } from './JayfallForwardingConstants'
import { PrefillHints, type PrefillHint } from './JayfallPrefillHints'

const hintMessage = z.object({ server: z.string(), reading: z.number().nonnegative() }).readonly()

export class DatagramHints extends PrefillHints {
  private readonly datagrams: PeerDatagrams
  private targets: readonly string[] = []
  private handler: (hint: PrefillHint) => void = () => {}

  constructor (private readonly dependencies: PeerDatagramsParts) {
    super()
    this.datagrams = new PeerDatagrams(dependencies, message => this.handleMessage(message))
  }

  get port (): number {
    return this.datagrams.port
  }

  start (): Promise<void> {
    return this.datagrams.listen()
  }

  close (): void {
    this.datagrams.close()
  }

  /** @param addresses IP addresses and ports of the other instances, those in the same zone first. */
  setTargets (addresses: readonly string[]): void {
    this.targets = addresses.slice(0, MAXIMUM_HINT_TARGETS)
  }

  override publish ({ server, reading }: PrefillHint): void {
    if (this.targets.length > 0) this.datagrams.send(this.targets, { server, reading: Math.round(reading) })
  }

  override subscribe (handler: (hint: PrefillHint) => void): void {
    this.handler = handler
  }

  private handleMessage (message: unknown): void {
    const parsed = hintMessage.safeParse(message)
    if (parsed.success) this.handler(parsed.data)
    else this.dependencies.log.warn('hint_not_read', { reason: z.prettifyError(parsed.error) })
  }
}
