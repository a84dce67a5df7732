/**
 * Sends short messages as UDP datagrams to many instances; messages may be lost.
 *
 * Datagrams need no connection, so an instance that is frozen or has ended causes no cost at the sender.
 * A token bucket limits the rate of datagrams. Datagrams above the limit are dropped and counted.
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

/** A UDP socket that sends and receives JSON messages with a rate limit. */
export class PeerDatagrams {
  private readonly socket = dgram.createSocket('udp4')
  /** Number of datagrams that could be sent at the time `refilledAt`. */
  private allowance = MAXIMUM_DATAGRAM_BURST
  /** Monotonic milliseconds. */
  private refilledAt = -Infinity
  /** Datagrams above the rate limit since the last log line. */
  private dropped = 0
  /** Datagrams that the operating system failed to send since the last log line. */
  private failed = 0
  private loggedAt = -Infinity

  constructor (private readonly parts: PeerDatagramsParts, onMessage: (message: unknown) => void) {
    this.socket.on('message', bytes => {
      try {
        onMessage(JSON.parse(bytes.toString('utf8')))
      } catch (error) {
        this.parts.log.warn('datagram_not_read', { bytes: bytes.length, message: String(error) })
      }
    })
    this.socket.on('error', error => this.parts.log.warn('datagrams_failed', { message: error.message }))
    this.socket.unref()
  }

  /** The local port; available when `listen` has resolved. */
  get port (): number {
    return this.socket.address().port
  }

  /** Binds the socket to the host and port. */
  listen (): Promise<void> {
    return new Promise(resolve => this.socket.bind(this.parts.port, this.parts.host, resolve))
  }

  /**
   * Sends a message to several instances.
   * @param addresses IP addresses and ports.
   */
  send (addresses: readonly string[], message: unknown): void {
    const now = this.parts.clock.monotonic()
    this.allowance = Math.min(MAXIMUM_DATAGRAM_BURST, this.allowance + (now - this.refilledAt) / 1000 * MAXIMUM_DATAGRAMS_PER_SECOND)
    this.refilledAt = now
    const sent = addresses.slice(0, Math.floor(this.allowance))
    this.allowance -= sent.length
    this.dropped += addresses.length - sent.length
    const bytes = Buffer.from(JSON.stringify(message))
    for (const address of sent) {
      const [host, port] = address.split(':')
      this.socket.send(bytes, Number(port), host, error => { if (error !== null) this.failed++ })
    }
    this.logLosses(now)
  }

  close (): void {
    this.socket.close()
  }

  /** Logs the numbers of datagrams that were not sent, at most once per interval. */
  private logLosses (now: number): void {
    if (this.dropped + this.failed === 0 || now - this.loggedAt < DATAGRAM_LOG_INTERVAL_MILLISECONDS) return
    this.parts.log.warn('datagrams_not_sent', { dropped: this.dropped, failed: this.failed })
    this.loggedAt = now
    this.dropped = 0
    this.failed = 0
  }
}
