/**
 * One of four engines answers streams with line ends that go on until the caller closes. Checked is CONFIG: requests
 * that get no final answer within half a second after the time-out of their route, among them calls to another service
 * whose servers are all sound.
 */

import * as path from 'node:path'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { fileURLToPath } from 'node:url'

import { HAS_TROUBLE, assertRan, call, runCase, sleep } from '../deployment.mjs'
import { startServer } from '../endless.mjs'

/** More than `contact-ms`, so that the machine is in touch. */
const CALM_MILLISECONDS = 4000
const TROUBLE_MILLISECONDS = 15_000
const STREAM_MILLISECONDS = 3000
const LOOKUP_MILLISECONDS = 20
const STREAMS_PER_SECOND = 8
const LOOKUPS_PER_SECOND = 5
const STREAM_TIMEOUT_MILLISECONDS = 10_000
const LOOKUP_TIMEOUT_MILLISECONDS = 1000
/** After the time-out of the route. */
const GRACE_MILLISECONDS = 500
const MINIMUM_COUNT = 8
const ALLOWED_SHARE = 1 / 4
/** A longer delay of the clients themselves would make answers look late; below the time after the time-out. */
const MAXIMUM_OWN_DELAY_MILLISECONDS = 400

runCase(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const startServers = async (service, work, ids) => {
    const servers = []
    for (const id of ids) servers.push(await startServer(deployment, record, { id, trouble: 'lines', work }))
    for (const { id, address } of servers) deployment.announce(id, address, { service, slots: 64 })
    return servers
  }
  const engines = await startServers('engines', STREAM_MILLISECONDS, ['engine-1', 'engine-2', 'engine-3', 'engine-4'])
  await startServers('desk', LOOKUP_MILLISECONDS, ['desk-1', 'desk-2'])
  deployment.configure({
    services: ['engines', 'desk'],
    routes: [
      { prefix: '/stream/', kind: 'streaming', resumable: true, service: 'engines', 'max-attempts': 3, 'timeout-ms': STREAM_TIMEOUT_MILLISECONDS, 'slo-ms': 1000, 'gap-target-ms': 600 },
      { prefix: '/lookup/', kind: 'idempotent', service: 'desk', 'max-attempts': 2, 'timeout-ms': LOOKUP_TIMEOUT_MILLISECONDS, 'slo-ms': 100 }
    ]
  })
  const [instance] = await deployment.startInstances(1)
  const ownDelay = monitorEventLoopDelay({ resolution: 10 })
  ownDelay.enable()
  const end = performance.now() + CALM_MILLISECONDS + TROUBLE_MILLISECONDS
  const results = []
  /** Sends requests at a rate. Their answers are dropped as they arrive. */
  const sendRequests = async (kind, rate, timeout) => {
    const open = []
    for (let count = 0; performance.now() < end; count++) {
      const sentAt = performance.now()
      const id = `${kind}-${count}`
      open.push(call(instance, { id, path: `/${kind}/`, method: kind === 'stream' ? 'POST' : 'GET', deadline: 2 * timeout, isBodyDropped: true }).then(({ status, error, bytes }) => {
        const elapsed = performance.now() - sentAt
        record.write(`${id}: ${status ?? ''} ${error ?? 'whole'}, ${bytes ?? 0} bytes, after ${Math.round(elapsed)} ms`)
        results.push({ id, timeout, elapsed })
      }))
      await sleep(1000 / rate)
    }
    await Promise.all(open)
  }
  const clients = [sendRequests('stream', STREAMS_PER_SECOND, STREAM_TIMEOUT_MILLISECONDS), sendRequests('lookup', LOOKUPS_PER_SECOND, LOOKUP_TIMEOUT_MILLISECONDS)]
  const probes = watchReadiness(instance, record, end)
  await sleep(CALM_MILLISECONDS)
  if (HAS_TROUBLE) {
    record.write('engine-4 answers without end from now on')
    engines[3].beInTrouble()
  }
  const runsBefore = engines[3].runs.size
  await Promise.all(clients)
  assertRan(engines[3].runs.size > runsBefore, 'engine-4 got no requests')
  record.write(`readiness was asked for ${(await probes).asked} times, ${(await probes).missed} times without an answer within a second, ${(await probes).missedInRow} times in a row at most`)
  const longest = ownDelay.max / 1e6
  record.write(`the clients themselves were late by ${Math.round(longest)} ms at most`)
  assertRan(longest <= MAXIMUM_OWN_DELAY_MILLISECONDS, 'the clients were too slow for the measurement')
  const lasting = results.filter(({ elapsed, timeout }) => elapsed > timeout)
  const unanswered = lasting.filter(({ elapsed, timeout }) => elapsed > timeout + GRACE_MILLISECONDS)
  record.write(`${lasting.length} requests lasted longer than the time-out of their route, ${unanswered.length} of them by more than ${GRACE_MILLISECONDS} ms`)
  return unanswered.length >= MINIMUM_COUNT && unanswered.length > lasting.length * ALLOWED_SHARE ? unanswered.map(({ id, elapsed, timeout }) => `CONFIG: ${id} had no final answer ${Math.round(elapsed - timeout)} ms after its time-out of ${timeout} ms`) : []
})

/** Asks once per second whether the instance is ready, as the platform does. */
async function watchReadiness (instance, record, end) {
  const counts = { asked: 0, missed: 0, missedInRow: 0 }
  for (let inRow = 0; performance.now() < end;) {
    const askedAt = performance.now()
    const status = await instance.askReady()
    inRow = status === 200 ? 0 : inRow + 1
    counts.asked++
    counts.missed += Number(status !== 200)
    counts.missedInRow = Math.max(counts.missedInRow, inRow)
    if (status !== 200) record.write('the instance did not say within a second whether it is ready')
    await sleep(Math.max(0, 1000 - (performance.now() - askedAt)))
  }
  return counts
}
