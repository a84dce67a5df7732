/**
 * A listener that is open before the server that will use it is loaded.
 *
 * Callers whose connections are refused while an instance starts have to try again. So a program can listen first, load
 * the rest, and then hand the listener over, with the connections that came in between.
 */

import * as net from 'node:net'

export class OpenListener {
  private sockets: readonly net.Socket[] = []

  private constructor (private readonly server: net.Server) {
    server.on('connection', socket => { this.sockets = [...this.sockets, socket] })
  }

  /** Begins to listen; undefined when the address cannot be used now. */
  static open (options: net.ListenOptions): Promise<OpenListener | undefined> {
    return new Promise(resolve => {
      const server = net.createServer({ pauseOnConnect: true, noDelay: true })
      server.once('error', () => resolve(undefined))
      server.listen(options, () => resolve(new OpenListener(server)))
    })
  }

  /** Lets another server listen from now on, beginning with the connections that have come so far. */
  handOver (server: net.Server, backlog: number): Promise<void> {
    return new Promise(resolve => {
      // A server may listen on the handle of another one, which then gets no further connections.
      server.listen(this.server, backlog, () => {
        for (const socket of this.sockets) {
          server.emit('connection', socket)
          socket.resume()
        }
        this.sockets = []
        resolve()
      })
    })
  }
}
