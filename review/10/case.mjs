/** A new version is rolled out, and turns bad later, while the servers of the old one name limits. */

import path from 'node:path'
import { fileURLToPath } from 'node:url'

import { BOUNDS, requireThat, runCase } from '../deployment-2.mjs'
import { call, newRequestId } from '../http-2.mjs'
import { Server } from '../server-2.mjs'
import { sleep } from '../store-2.mjs'

const INSTANCES = 3
const SERVERS = 4
const HEARTBEAT_MS = 1200
const WORK_MS = 40
const PAUSE_MS = 33
/** Each session sends a request every two seconds. */
const SESSIONS = 60
const PERIOD_MS = 16_000
/** Time after the order from which half of the new version's answers are failures. */
const BAD_AFTER_MS = 3000
/** Requests a second that each server of the old version takes. */
const LIMIT = 2
const LIMIT_LEAD_MS = 4000

async function play (deployment, record, isTroubled) {
  let isLimited = false
  let orderedAt = Infinity
  const arrivals = []
  const servers = []
  let seq = 0
  const announce = server => deployment.store.put('servers', server.id, { service: 'desk', address: server.address, zone: server.zone, version: server.version, slots: 6, state: 'ready', 'cold-left-ms': 0, seq: ++seq })
  const addServer = async (version, number) => {
    const server = new Server(`${version}-${number}`, { add () {} }, {
      answer: async (request, response) => {
        const id = request.headers['request-id']
        arrivals.push({ id, version, session: request.headers.session, at: performance.now() })
        await sleep(WORK_MS)
        const isBad = version === 'v2' && performance.now() > orderedAt + BAD_AFTER_MS && Math.random() < 0.5
        response.writeHead(isBad ? 500 : 200, { 'Request-Id': id, 'Response-Seal': `seal-of-${id}`, 'Server-Load': '1,0,6', ...(isLimited && version === 'v1' ? { 'Server-Limit': String(LIMIT) } : {}) })
        response.end(`answer to ${id}`)
      }
    })
    await server.start(deployment.nextHost())
    Object.assign(server, { version, zone: deployment.zones[number % 2] })
    servers.push(server)
    announce(server)
  }
  deployment.configure([{ name: 'orders', prefix: '/orders/', kind: 'non_idempotent', service: 'desk' }], ['desk'])
  for (let number = 0; number < SERVERS; number++) await addServer('v1', number)
  const heartbeat = setInterval(() => { for (const server of servers) announce(server) }, HEARTBEAT_MS)
  for (let index = 0; index < INSTANCES; index++) deployment.addInstance(deployment.zones[index % 2]).start()
  await deployment.untilReady()
  await sleep(4000)

  const calls = []
  let turn = 0
  const timer = setInterval(() => calls.push(call(deployment.instances[turn % INSTANCES], { path: '/orders/a', id: newRequestId('order'), headers: { Session: `session-${turn++ % SESSIONS}` } })), PAUSE_MS)
  await sleep(1000)
  if (isTroubled) {
    record.add(`each server of v1 names Server-Limit: ${LIMIT}`)
    isLimited = true
  }
  await sleep(LIMIT_LEAD_MS)
  for (let number = 0; number < SERVERS; number++) await addServer('v2', number)
  orderedAt = performance.now()
  deployment.store.put('op', 'rollout/desk', { service: 'desk', to: 'v2', 'period-s': PERIOD_MS / 1000 })
  record.add(`v2 is ordered, in ${PERIOD_MS / 1000} s; half of its answers are failures from ${BAD_AFTER_MS / 1000} s on`)
  let state
  const statusTimer = setInterval(() => {
    const status = deployment.store.get('status', 'rollout/desk')
    if (status?.state === state) return
    state = status.state
    record.add(`status: ${state}`)
  }, 50)
  await sleep(PERIOD_MS)
  clearInterval(timer)
  clearInterval(statusTimer)
  const outcomes = await Promise.all(calls)
  clearInterval(heartbeat)
  for (const server of servers) server.stop()

  requireThat(state !== undefined, 'the rollout was not begun')
  const inTime = arrivals.filter(({ at }) => at >= orderedAt && at <= orderedAt + PERIOD_MS)
  const ofNew = inTime.filter(({ version }) => version === 'v2').length
  const allowed = inTime.length * BOUNDS['exposure-share'] + BOUNDS['exposure-slack']
  for (let second = 0; second < PERIOD_MS / 1000; second++) {
    const countOf = wanted => inTime.filter(({ version, at }) => version === wanted && Math.floor((at - orderedAt) / 1000) === second).length
    record.add(`second ${second} after the order: v1 got ${countOf('v1')}, v2 got ${countOf('v2')}`)
  }
  const lastVersions = new Map()
  let moved = 0
  for (const { version, session, at } of arrivals) {
    if (version === 'v2' && lastVersions.get(session) === 'v1' && at < orderedAt + PERIOD_MS / 2) moved++
    lastVersions.set(session, version)
  }
  const count = wanted => outcomes.filter(({ status }) => status === wanted).length
  record.add(`${outcomes.length} orders: ${count(200)} got 200, ${count(503)} were refused, ${count(500)} ran on v2 and failed`)
  record.add(`${moved} requests ran on v2 in the first half of the period although their session had run on v1 before`)
  record.add(`${inTime.length} requests reached the service between the order and its deadline, ${ofNew} of them v2; ${allowed.toFixed(0)} are allowed`)
  return ofNew > allowed ? [`EXPOSURE: the bad version got ${ofNew} of ${inTime.length} requests, ${allowed.toFixed(0)} are allowed; ${count(500)} orders failed there`] : []
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), play)
