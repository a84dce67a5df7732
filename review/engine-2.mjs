/** An engine that answers with a stream of events, and ends at a prompt with a certain part. */

import http from 'node:http'

import { sleep } from './store-2.mjs'

const PREFILL_MS = 100
const EVENT_MS = 20
const EVENTS = 20

export class Engine {
  #running = 0
  #server = http.createServer((request, response) => this.#serve(request, response))

  constructor (id, zone, options) {
    Object.assign(this, { id, zone, options })
  }

  async start (host) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(0, host, resolve)
    })
    this.address = `${host}:${this.#server.address().port}`
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #serve (request, response) {
    request.on('error', () => {})
    response.on('error', () => {})
    request.resume()
    if (request.url === '/health') {
      response.writeHead(200, { 'Instance-Id': this.id, 'Server-Load': `${this.#running},0,64` })
      return response.end()
    }
    const { headers: { 'request-id': id, 'target-instance': target, 'prompt-prefix': prefix = '', 'last-event-id': last = '0' } } = request
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, { 'Request-Id': id, 'Not-Executed': '1' })
      return response.end()
    }
    const parts = prefix.split(',').map(part => part.split(':')[0].trim())
    const { crashesOn, eventsBeforeCrash, onArrival, onCrash } = this.options
    onArrival?.(id, parts)
    this.#running++
    response.once('close', () => { this.#running-- })
    await sleep(this.options.prefillMs ?? PREFILL_MS)
    const isDeadly = crashesOn !== undefined && parts.includes(crashesOn)
    if (isDeadly && eventsBeforeCrash === 0) return this.#crash(id, onCrash)
    if (response.destroyed) return
    response.writeHead(200, { 'Request-Id': id, 'Response-Seal': `seal-of-${id}`, 'Content-Type': 'text/event-stream', 'Server-Load': `${this.#running},0,64` })
    for (let event = Number(last) + 1; event <= EVENTS; event++) {
      if (response.destroyed) return
      response.write(`id: ${event}\ndata: token ${event} of ${id}\n\n`)
      await sleep(EVENT_MS)
      if (isDeadly && event - Number(last) >= eventsBeforeCrash) return this.#crash(id, onCrash)
    }
    response.end()
  }

  #crash (id, onCrash) {
    if (!this.#server.listening) return
    this.stop()
    onCrash(id)
  }
}
