/** A backend server that answers after a time, and records what it runs. */

import http from 'node:http'

import { sleep } from './store-2.mjs'

export class Server {
  /** Identifiers of the requests that ran, in order. */
  ran = []
  #server

  /** @param answer writes the answer of a request that runs; by default 200 after `workMs`. */
  constructor (id, record, { workMs = 80, answer = undefined } = {}) {
    Object.assign(this, { id, record, workMs, answer })
  }

  async start (host, port = 0) {
    this.#server = http.createServer((request, response) => this.#serve(request, response))
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, resolve)
    })
    this.host = host
    this.port = this.#server.address().port
  }

  get address () {
    return `${this.host}:${this.port}`
  }

  /** Ends like a process that crashes. */
  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #serve (request, response) {
    const chunks = []
    request.on('error', () => {})
    response.on('error', () => {})
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    if (request.url === '/health') {
      response.writeHead(200, { 'Instance-Id': this.id, 'Server-Load': '0,0,6' })
      return response.end()
    }
    const id = request.headers['request-id']
    if (request.headers['target-instance'] !== undefined && request.headers['target-instance'] !== this.id) {
      response.writeHead(421, { 'Request-Id': id, 'Not-Executed': '1' })
      return response.end()
    }
    this.ran.push(id)
    this.record.add(`${id}: ${this.id} runs ${request.method} ${request.url}`)
    if (this.answer !== undefined) return this.answer(request, response, Buffer.concat(chunks))
    await sleep(typeof this.workMs === 'function' ? this.workMs(request) : this.workMs)
    response.writeHead(200, { 'Request-Id': id, 'Response-Seal': `seal-of-${id}`, 'Server-Load': '1,0,6' })
    response.end(`answer to ${id}`)
  }
}
