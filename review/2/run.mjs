/**
 * One of the four servers of the look-ups answers without end, in chunks of one byte. Other clients send orders that may
 * run once, over connections that they keep, and all servers of the orders are sound. Checked is LOST: connections that
 * are closed without an answer although their requests had been passed on to a sound server.
 */

import * as http from 'node:http'
import * as path from 'node:path'
import { fileURLToPath } from 'node:url'

import { HAS_TROUBLE, assertRan, call, runCase, sleep } from '../deployment.mjs'
import { startServer } from '../endless.mjs'

const ORDERING_CLIENTS = 12
const ASKING_CLIENTS = 6
/** More than `contact-ms`, so that the machine is in touch. */
const CALM_MILLISECONDS = 7000
const TROUBLE_MILLISECONDS = 25_000
const ORDER_MILLISECONDS = 3000
const LOOKUP_MILLISECONDS = 300
/** Between the starts of two clients. */
const STAGGER_MILLISECONDS = 250
const DEADLINE_MILLISECONDS = 12_000
const REST_MILLISECONDS = 200
/** The rule allows three. */
const ALLOWED = 3

runCase(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const startServers = async (service, work, ids) => {
    const servers = []
    for (const id of ids) servers.push(await startServer(deployment, record, { id, trouble: 'chunks', work }))
    for (const { id, address } of servers) deployment.announce(id, address, { service })
    return servers
  }
  const orderServers = await startServers('orders', ORDER_MILLISECONDS, ['order-server-1', 'order-server-2', 'order-server-3'])
  const lookupServers = await startServers('lookups', LOOKUP_MILLISECONDS, ['lookup-server-1', 'lookup-server-2', 'lookup-server-3', 'lookup-server-4'])
  deployment.configure({
    services: ['orders', 'lookups'],
    routes: [{ prefix: '/order/', kind: 'non_idempotent', service: 'orders', 'timeout-ms': DEADLINE_MILLISECONDS }, { prefix: '/lookup/', kind: 'idempotent', service: 'lookups', 'max-attempts': 2, 'timeout-ms': DEADLINE_MILLISECONDS }]
  })
  const [instance] = await deployment.startInstances(1)
  const end = performance.now() + CALM_MILLISECONDS + TROUBLE_MILLISECONDS
  const results = []
  const runClient = async (kind, client) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    await sleep(client * STAGGER_MILLISECONDS)
    for (let count = 0; performance.now() < end && instance.exit === undefined; count++) {
      let isKept = false
      const result = await call(instance, { id: `${kind}-${client}-${count}`, path: `/${kind}/`, method: kind === 'order' ? 'POST' : 'GET', deadline: DEADLINE_MILLISECONDS, agent, onRequest: request => request.once('socket', () => { isKept = request.reusedSocket }) })
      record.write(`${result.id} on a ${isKept ? 'kept' : 'new'} connection: ${result.status ?? ''} ${result.error ?? ''}`)
      results.push({ ...result, isKept })
      if (result.error !== undefined) await sleep(REST_MILLISECONDS)
    }
    agent.destroy()
  }
  const clients = [...Array.from({ length: ORDERING_CLIENTS }, (_, client) => runClient('order', client)), ...Array.from({ length: ASKING_CLIENTS }, (_, client) => runClient('lookup', client))]
  await sleep(CALM_MILLISECONDS)
  if (HAS_TROUBLE) {
    record.write('lookup-server-4 answers without end from now on')
    lookupServers[3].beInTrouble()
  }
  const runsBefore = lookupServers[3].runs.size
  await Promise.all(clients)
  assertRan(lookupServers[3].runs.size > runsBefore && orderServers.every(({ runs }) => runs.size > 0), 'a server got no requests')
  record.write(`the instance ${instance.exit === undefined ? `runs, with ${Math.round(instance.residentMegabytes())} MB` : `has ended by itself: code ${instance.exit.code}, signal ${instance.exit.signal}`}`)
  const sound = new Set([...orderServers, ...lookupServers.slice(0, 3)].flatMap(({ runs }) => [...runs]))
  const lost = results.filter(({ id, isKept, status }) => isKept && status === undefined && sound.has(id))
  return lost.length > ALLOWED ? lost.map(({ id, error }) => `LOST: ${id} was passed on to a sound server, and its connection was closed without an answer (${error})`) : []
})
