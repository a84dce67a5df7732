/**
 * Tries to open connections to servers, without sending anything.
 *
 * A server that has ended refuses connections at once. One that only cut a connection accepts the next one, and one
 * behind a partition answers nothing.
 */

import * as net from 'node:net'

import { CONNECT_TIMEOUT_MILLISECONDS } from './JayfallForwardingConstants'

export type ConnectionOutcome = 'opened' | 'refused' | 'silent'

export abstract class ServerConnectionCheck {
  /** @param address IP address and port. */
  abstract tryConnection (address: string): Promise<ConnectionOutcome>
}

/** Opens connections, one at a time to each server for all that ask. */
export class ConnectionCheck extends ServerConnectionCheck {
  private readonly running = new Map<string, Promise<ConnectionOutcome>>()

  override tryConnection (address: string): Promise<ConnectionOutcome> {
    const running = this.running.get(address) ?? openConnection(address).finally(() => this.running.delete(address))
    this.running.set(address, running)
    return running
  }
}

function openConnection (address: string): Promise<ConnectionOutcome> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = net.connect({ host, port: Number(port) })
    const settle = (outcome: ConnectionOutcome): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(outcome)
    }
    const timer = setTimeout(() => settle('silent'), CONNECT_TIMEOUT_MILLISECONDS)
    socket.once('connect', () => settle('opened'))
    socket.once('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED' ? 'refused' : 'silent'))
  })
}
