/** A TCP proxy in front of one address, as a link that can be cut: while it is, no byte passes and new connections hang. */

import net from 'node:net'

export class Link {
  isCut = false
  #pairs = new Set()
  #server = net.createServer({ pauseOnConnect: true }, socket => this.#connect(socket))

  constructor (host, target) {
    this.host = host
    this.target = target
  }

  async start () {
    await new Promise(resolve => this.#server.listen(0, this.host, resolve))
  }

  get address () {
    return `${this.host}:${this.#server.address().port}`
  }

  cut () {
    this.isCut = true
    for (const sockets of this.#pairs) for (const socket of sockets) socket.pause()
  }

  /** Bytes that were held up pass again. */
  heal () {
    this.isCut = false
    for (const sockets of this.#pairs) {
      if (sockets.length === 1) this.#open(sockets)
      else for (const socket of sockets) socket.resume()
    }
  }

  stop () {
    this.#server.close()
    for (const sockets of this.#pairs) for (const socket of sockets) socket.destroy()
  }

  #connect (socket) {
    const sockets = [socket]
    this.#pairs.add(sockets)
    socket.on('error', () => {})
    socket.on('close', () => this.#close(sockets))
    if (!this.isCut) this.#open(sockets)
  }

  #open (sockets) {
    const [near] = sockets
    const [host, port] = this.target.split(':')
    const far = net.connect(Number(port), host)
    sockets.push(far)
    far.on('error', () => {})
    far.on('close', () => this.#close(sockets))
    near.pipe(far)
    far.pipe(near)
  }

  #close (sockets) {
    this.#pairs.delete(sockets)
    for (const socket of sockets) socket.destroy()
  }
}
