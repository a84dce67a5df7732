/** A server leaves while a machine is cut off from the store and from all other machines. The server says so in its answers. */

import http from 'node:http'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

import { BOUNDS, requireThat, runCase } from '../deployment-2.mjs'
import { call, newRequestId } from '../http-2.mjs'
import { Link } from '../link-2.mjs'
import { Server } from '../server-2.mjs'
import { sleep } from '../store-2.mjs'

const SERVERS = 4
const WORK_MS = 86
const PAUSE_MS = 15
const CUT_MS = 8000
const LEAVES_AFTER_MS = 1000
/** How much longer than `drain-ms` the server goes on. */
const LINGER_MS = 1500
const HEARTBEAT_MS = 1200

class LeavingServer extends Server {
  isLeaving = false
  /** Arrivals, with the time and whether the answer said that the server leaves. */
  arrivals = []
  open = new Set()

  constructor (id, record) {
    super(id, record, { answer: (request, response) => this.#work(request, response) })
  }

  async #work (request, response) {
    const id = request.headers['request-id']
    this.arrivals.push({ id, at: performance.now() })
    this.open.add(id)
    await sleep(WORK_MS)
    this.open.delete(id)
    response.writeHead(200, { 'Request-Id': id, 'Response-Seal': `seal-of-${id}`, 'Server-Load': `${this.open.size},0,6`, ...(this.isLeaving ? { 'Server-Leaving': '1' } : {}) })
    response.end(`answer to ${id}`)
  }
}

async function play (deployment, record, isTroubled) {
  const servers = Array.from({ length: SERVERS }, (_, index) => new LeavingServer(`i-${index + 1}`, record))
  deployment.configure([{ name: 'orders', prefix: '/orders/', kind: 'non_idempotent', service: 'desk' }], ['desk'])
  let seq = 0
  const announce = server => deployment.store.put('servers', server.id, { service: 'desk', address: server.address, zone: 'zone-a', version: 'v1', slots: 6, state: server.isLeaving ? 'draining' : 'ready', 'cold-left-ms': 0, seq: ++seq })
  for (const server of servers) {
    await server.start(deployment.nextHost())
    announce(server)
  }
  const [leaving] = servers
  let isGone = false
  const heartbeat = setInterval(() => { for (const server of servers) if (server !== leaving || !isGone) announce(server) }, HEARTBEAT_MS)
  const link = new Link(deployment.nextHost(), deployment.store.address)
  await link.start()
  const instance = deployment.addInstance('zone-a', link.address)
  instance.start()
  await deployment.untilReady()

  const agent = new http.Agent({ keepAlive: true })
  const calls = []
  const timer = setInterval(() => calls.push(call(instance, { path: '/orders/a', id: newRequestId('order'), agent })), PAUSE_MS)
  await sleep(BOUNDS['contact-ms'])
  if (isTroubled) {
    record.add(`${instance.name} is cut off from the store`)
    link.cut()
    setTimeout(() => link.heal(), CUT_MS)
  }
  await sleep(LEAVES_AFTER_MS)
  leaving.isLeaving = true
  announce(leaving)
  record.add(`${leaving.id} leaves: its entry says so, and its answers from now on`)
  await sleep(BOUNDS['drain-ms'] + LINGER_MS)
  const cut = [...leaving.open]
  record.add(`${leaving.id} ends, ${cut.length} requests are open there`)
  isGone = true
  deployment.store.remove('servers', leaving.id)
  leaving.stop()
  await sleep(1000)
  clearInterval(timer)
  const outcomes = new Map((await Promise.all(calls)).map(outcome => [outcome.id, outcome]))
  clearInterval(heartbeat)
  agent.destroy()
  link.stop()
  for (const server of servers) server.stop()

  const told = [...outcomes.values()].filter(({ headers }) => headers?.['server-leaving'] === '1').sort((left, right) => left.endedAt - right.endedAt)
  requireThat(told.length > 0, 'no answer of the leaving server was passed on')
  record.add(`${told[0].id} was the first answer with Server-Leaving that the machine passed on`)
  const late = leaving.arrivals.filter(({ id }) => outcomes.get(id).startedAt > told[0].endedAt + BOUNDS['drain-ms'])
  const lost = late.filter(({ id }) => outcomes.get(id).status !== 200)
  for (const { id } of lost) record.add(`${id}: began at ${leaving.id} and got ${outcomes.get(id).status || outcomes.get(id).error}`)
  record.add(`${late.length} orders that were sent later than drain-ms after that reached ${leaving.id}; ${lost.length} of them were cut by its end`)
  return late.length === 0 ? [] : [`DRAIN: ${late.length} orders reached ${leaving.id} that were sent later than ${BOUNDS['drain-ms']} ms after ${instance.name} had passed on an answer with Server-Leaving; ${lost.length} of them were lost when it ended`]
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), play)
