/**
 * Sends short messages as UDP datagrams to many instances; messages may be lost.
 *
 * Datagrams need no connection, so an instance that is frozen or has ended causes no cost at the sender.
 * A token bucket limits the rate of messages that are not needed. Datagrams above the limit are dropped and counted.
 */

import * as dgram from 'node:dgram'

import { isSocketAddress, type Clock } from '#jayfall/shared'
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
  private isClosed = false
  private boundPort = 0

  private readonly handlers: ((message: unknown) => boolean)[] = []

  constructor (private readonly parts: PeerDatagramsParts) {
    this.socket.on('message', bytes => {
      try {
        const message: unknown = JSON.parse(bytes.toString('utf8'))
        if (!this.handlers.some(handle => handle(message))) this.parts.log.warn('datagram_not_read', { bytes: bytes.length, message: 'of no known kind' })
      } catch (error) {
        this.parts.log.warn('datagram_not_read', { bytes: bytes.length, message: String(error) })
      }
    })
    this.socket.on('error', error => this.parts.log.warn('datagrams_failed', { message: error.message }))
    this.socket.unref()
  }

  /** The local port; available when `listen` has resolved. */
  get port (): number {
    return this.boundPort
  }

  /** Binds the socket to the host and port. @throws Error when they cannot be used. */
  listen (): Promise<void> {
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject)
      this.socket.bind(this.parts.port, this.parts.host, () => {
        this.socket.off('error', reject)
        this.boundPort = this.socket.address().port
        resolve()
      })
    })
  }

  /** Adds a handler of received messages. Handlers are called in order until one returns that the message is of its kind. */
  subscribe (handle: (message: unknown) => boolean): void {
    this.handlers.push(handle)
  }

  /**
   * Sends a message to several instances.
   * @param addresses IP addresses and ports.
   */
  send (addresses: readonly string[], message: unknown): void {
    if (this.isClosed) return
    const bytes = Buffer.from(JSON.stringify(message))
    for (const address of addresses) {
      if (!isSocketAddress(address)) {
        this.failed++
        continue
      }
      const [host, port] = address.split(':')
      this.socket.send(bytes, Number(port), host, error => { if (error !== null) this.failed++ })
    }
  }

  /** Sends a message to as many of the instances as the limit allows; those at the front of the list come first. */
  sendWithinLimit (addresses: readonly string[], message: unknown): void {
    const now = this.parts.clock.monotonic()
    this.allowance = Math.min(MAXIMUM_DATAGRAM_BURST, this.allowance + (now - this.refilledAt) / 1000 * MAXIMUM_DATAGRAMS_PER_SECOND)
    this.refilledAt = now
    const sent = addresses.slice(0, Math.floor(this.allowance))
    this.allowance -= sent.length
    this.dropped += addresses.length - sent.length
    this.send(sent, message)
    this.logLosses(now)
  }

  close (): void {
    this.isClosed = true
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
