/**
 * Short messages to many instances that may be lost.
 *
 * Datagrams need no connection, so an instance that is frozen or gone costs the sender nothing.
 * What is sent is bounded; beyond that, messages are dropped and counted.
 */

import * as dgram from 'node:dgram'

import { type Clock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { DATAGRAM_LOG_INTERVAL_MILLISECONDS, MAXIMUM_DATAGRAM_BURST, MAXIMUM_DATAGRAMS_PER_SECOND } from './JayfallPeerConstants'

export interface PeerDatagramsParts {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly log: Log
}

export class PeerDatagrams {
  private readonly socket = dgram.createSocket('udp4')
  /** Datagrams that may still be sent, as of `filledAt`. */
  private allowance = MAXIMUM_DATAGRAM_BURST
  private filledAt = -Infinity
  private dropped = 0
  private failed = 0
  private loggedAt = -Infinity

  constructor (private readonly parts: PeerDatagramsParts, take: (message: unknown) => void) {
    this.socket.on('message', bytes => {
      try {
        take(JSON.parse(bytes.toString('utf8')))
      } catch (error) {
        this.parts.log.warn('datagram_not_read', { bytes: bytes.length, message: String(error) })
      }
    })
    this.socket.on('error', error => this.parts.log.warn('datagrams_failed', { message: error.message }))
    this.socket.unref()
  }

  /** The port that is listened on, once `listen` has resolved. */
  get port (): number {
    return this.socket.address().port
  }

  listen (): Promise<void> {
    return new Promise(resolve => this.socket.bind(this.parts.port, this.parts.host, resolve))
  }

  /** @param addresses IP addresses and ports. */
  send (addresses: readonly string[], message: unknown): void {
    const now = this.parts.clock.monotonic()
    this.allowance = Math.min(MAXIMUM_DATAGRAM_BURST, this.allowance + (now - this.filledAt) / 1000 * MAXIMUM_DATAGRAMS_PER_SECOND)
    this.filledAt = now
    const sent = addresses.slice(0, Math.floor(this.allowance))
    this.allowance -= sent.length
    this.dropped += addresses.length - sent.length
    const bytes = Buffer.from(JSON.stringify(message))
    for (const address of sent) {
      const [host, port] = address.split(':')
      this.socket.send(bytes, Number(port), host, error => { if (error !== null) this.failed++ })
    }
    this.report(now)
  }

  close (): void {
    this.socket.close()
  }

  /** Logs what was not sent, at most once in an interval. */
  private report (now: number): void {
    if (this.dropped + this.failed === 0 || now - this.loggedAt < DATAGRAM_LOG_INTERVAL_MILLISECONDS) return
    this.parts.log.warn('datagrams_not_sent', { dropped: this.dropped, failed: this.failed })
    this.loggedAt = now
    this.dropped = 0
    this.failed = 0
  }
}
