/** Reading hints as datagrams. */

import { PeerDatagrams, type PeerDatagramsParts } from '#jayfall/peers'
import { z } from 'zod'

import { MAXIMUM_HINT_TARGETS } from './JayfallForwardingConstants'
import { ReadingHints, type ReadingHint } from './JayfallReadingHints'

const hintMessage = z.object({ server: z.string(), reading: z.number().nonnegative() }).readonly()

export class DatagramHints extends ReadingHints {
  private readonly datagrams: PeerDatagrams
  private targets: readonly string[] = []
  private take: (hint: ReadingHint) => void = () => {}

  constructor (private readonly parts: PeerDatagramsParts) {
    super()
    this.datagrams = new PeerDatagrams(parts, message => this.receive(message))
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

  /** @param addresses of the other instances, those of the own zone first. */
  setTargets (addresses: readonly string[]): void {
    this.targets = addresses.slice(0, MAXIMUM_HINT_TARGETS)
  }

  override tell ({ server, reading }: ReadingHint): void {
    if (this.targets.length > 0) this.datagrams.send(this.targets, { server, reading: Math.round(reading) })
  }

  override listen (take: (hint: ReadingHint) => void): void {
    this.take = take
  }

  private receive (message: unknown): void {
    const parsed = hintMessage.safeParse(message)
    if (parsed.success) this.take(parsed.data)
    else this.parts.log.warn('hint_not_read', { reason: z.prettifyError(parsed.error) })
  }
}
