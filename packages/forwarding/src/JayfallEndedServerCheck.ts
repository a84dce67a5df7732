/**
 * Checks whether a server has ended, after a connection to it broke before an answer began.
 *
 * A server that has ended refuses connections at once. One that only cut the connection accepts the next one, and one
 * behind a partition answers nothing.
 */

import * as net from 'node:net'

import { CONNECT_TIMEOUT_MILLISECONDS } from './JayfallForwardingConstants'

export abstract class EndedServerCheck {
  /** @param address IP address and port. */
  abstract hasEnded (address: string): Promise<boolean>
}

/** Opens a connection to the server, one at a time for all requests that ask. */
export class ConnectionCheck extends EndedServerCheck {
  private readonly running = new Map<string, Promise<boolean>>()

  override hasEnded (address: string): Promise<boolean> {
    const running = this.running.get(address) ?? isRefused(address).finally(() => this.running.delete(address))
    this.running.set(address, running)
    return running
  }
}

function isRefused (address: string): Promise<boolean> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = net.connect({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MILLISECONDS })
    const settle = (isRefusal: boolean): void => {
      socket.destroy()
      resolve(isRefusal)
    }
    socket.once('connect', () => settle(false))
    socket.once('timeout', () => settle(false))
    socket.once('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'))
  })
}
