/**
 * A listener that is open before the server that will use it is loaded.
 *
 * Callers whose connections are refused while an instance starts have to try again. So a program can listen first, load
 * the rest, and then hand the listener over, with the connections that came in between.
 */

import * as net from 'node:net'

export class OpenListener {
  private readonly sockets: net.Socket[] = []

  private constructor (private readonly server: net.Server) {
    server.on('connection', socket => this.sockets.push(socket))
  }

  /** Begins to listen; undefined when the address cannot be used now. */
  static open (options: net.ListenOptions): Promise<OpenListener | undefined> {
    return new Promise(resolve => {
      // The same options as those of an HTTP server, because a connection keeps them when it is handed over.
      const server = net.createServer({ pauseOnConnect: true, noDelay: true, keepAlive: true, allowHalfOpen: true })
      // After the listener has opened, an error concerns one connection that could not be accepted.
      server.on('error', () => resolve(undefined))
      server.listen(options, () => resolve(new OpenListener(server)))
    })
  }

  /** Lets another server listen from now on, beginning with the connections that have come so far. */
  handOver (server: net.Server, backlog: number): Promise<void> {
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      // A server may listen on the handle of another one, which then gets no further connections.
      server.listen(this.server, backlog, () => {
        server.off('error', reject)
        for (const socket of this.sockets.splice(0)) {
          server.emit('connection', socket)
          socket.resume()
        }
        resolve()
      })
    })
  }
}
