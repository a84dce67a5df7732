/** A server that answers each connection with given bytes and then ends it in a given way. */

import * as net from 'node:net'

/** How the server ends a connection: with a FIN, or with a reset in the tick in which it wrote. */
export type ConnectionEnd = 'fin' | 'reset'

const REST_DELAY_MILLISECONDS = 100

export class CutServer {
  /** Connections that have not been closed by both sides. */
  private readonly open = new Set<net.Socket>()
  private readonly server = net.createServer({ allowHalfOpen: true }, socket => {
    this.open.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.open.delete(socket))
    let received = 0
    socket.on('data', bytes => {
      received += bytes.length
      if (received >= (this.requestBytes ?? 0)) this.answer(socket)
    })
  })

  /** @param requestBytes number of bytes of the request after which the server answers; undefined when it answers to the first bytes and reads the rest later. */
  constructor (private readonly bytes: string, private readonly end: ConnectionEnd, private readonly requestBytes?: number) {}

  get openConnections (): number {
    return this.open.size
  }

  /** IP address and port. */
  get address (): string {
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`
  }

  start (): Promise<void> {
    return new Promise(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
  }

  stop (): void {
    for (const socket of this.open) socket.destroy()
    this.server.close()
  }

  private answer (socket: net.Socket): void {
    if (this.requestBytes === undefined) {
      socket.removeAllListeners('data')
      socket.pause()
      // Reads the rest later, to notice when the other side closes the connection.
      setTimeout(() => socket.resume(), REST_DELAY_MILLISECONDS)
    }
    socket.write(this.bytes)
    if (this.end === 'fin') socket.end()
    else socket.resetAndDestroy()
  }
}
