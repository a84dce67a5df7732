/**
 * One server gives one answer that is none: the value of a header is padded with blanks and ends with a NUL byte.
 * Checked is CONFIG: requests that get no final answer within half a second after the time-out of their route, among
 * them orders that run at sound servers of another service.
 */

import * as path from 'node:path'
import { fileURLToPath } from 'node:url'

import { HAS_TROUBLE, Server, assertRan, call, runCase, sleep } from '../deployment.mjs'

/** More than `contact-ms`, so that the machine is in touch. */
const CALM_MILLISECONDS = 10_000
const TROUBLE_MILLISECONDS = 15_000
const ORDER_MILLISECONDS = 1000
const LOOKUP_MILLISECONDS = 20
const REQUESTS_PER_SECOND = 5
const ORDER_TIMEOUT_MILLISECONDS = 4000
const LOOKUP_TIMEOUT_MILLISECONDS = 1000
/** Right answers of the server before the wrong one, so that no more than x = 0.03 of its answers are wrong. */
const RIGHT_ANSWERS = 40
/** The head stays below 16 KB. */
const BLANKS = 12_000
/** After the time-out of the route. */
const GRACE_MILLISECONDS = 500
const MINIMUM_COUNT = 8
const ALLOWED_SHARE = 1 / 4

runCase(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  let isInTrouble = false
  let hasAnsweredWrongly = false
  const rightAnswers = new Map()
  const startServer = async (service, id, options) => {
    const server = await new Server(id, { record, ...options }).start()
    deployment.stopAtEnd(() => server.stop())
    deployment.announce(id, server.address, { service })
    return server
  }
  const answerLookup = id => ({ response, requestId }) => {
    const answered = rightAnswers.get(id) ?? 0
    if (isInTrouble && !hasAnsweredWrongly && answered >= RIGHT_ANSWERS) {
      hasAnsweredWrongly = true
      record.write(`${requestId} gets a wrong answer, the first after ${answered} right ones of ${id}`)
      return response.socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: seal-of-${requestId}\r\nX-Padded: ${' '.repeat(BLANKS)}\0\r\nContent-Length: 4\r\n\r\ndone`)
    }
    rightAnswers.set(id, answered + 1)
    setTimeout(() => response.writeHead(200, { 'Request-Id': requestId, 'Response-Seal': `seal-of-${requestId}`, 'Server-Load': '1,0,8,100' }).end('done'), LOOKUP_MILLISECONDS)
  }
  const orderServers = []
  for (const id of ['order-server-1', 'order-server-2', 'order-server-3']) orderServers.push(await startServer('orders', id, { work: ORDER_MILLISECONDS }))
  for (const id of ['lookup-server-1', 'lookup-server-2', 'lookup-server-3', 'lookup-server-4']) await startServer('lookups', id, { answer: answerLookup(id) })
  deployment.configure({
    services: ['orders', 'lookups'],
    routes: [
      { prefix: '/order/', kind: 'non_idempotent', service: 'orders', 'timeout-ms': ORDER_TIMEOUT_MILLISECONDS, 'slo-ms': 2000 },
      { prefix: '/lookup/', kind: 'idempotent', service: 'lookups', 'max-attempts': 2, 'timeout-ms': LOOKUP_TIMEOUT_MILLISECONDS, 'slo-ms': 100 }
    ]
  })
  const [instance] = await deployment.startInstances(1)
  const end = performance.now() + CALM_MILLISECONDS + TROUBLE_MILLISECONDS
  const results = []
  const sendRequests = async (kind, timeout) => {
    const open = []
    for (let count = 0; performance.now() < end; count++) {
      const sentAt = performance.now()
      const id = `${kind}-${count}`
      open.push(call(instance, { id, path: `/${kind}/`, method: kind === 'order' ? 'POST' : 'GET', deadline: 2 * timeout }).then(({ status, error }) => {
        const elapsed = performance.now() - sentAt
        record.write(`${id}: ${status ?? ''} ${error ?? 'whole'}, after ${Math.round(elapsed)} ms`)
        results.push({ id, timeout, elapsed })
      }))
      await sleep(1000 / REQUESTS_PER_SECOND)
    }
    await Promise.all(open)
  }
  const clients = [sendRequests('order', ORDER_TIMEOUT_MILLISECONDS), sendRequests('lookup', LOOKUP_TIMEOUT_MILLISECONDS)]
  await sleep(CALM_MILLISECONDS)
  isInTrouble = HAS_TROUBLE
  await Promise.all(clients)
  assertRan(hasAnsweredWrongly === HAS_TROUBLE, 'no look-up got the wrong answer')
  record.write(`asked whether it is ready, the instance says ${await instance.askReady() ?? 'nothing'}`)
  const lasting = results.filter(({ elapsed, timeout }) => elapsed > timeout)
  const unanswered = lasting.filter(({ elapsed, timeout }) => elapsed > timeout + GRACE_MILLISECONDS)
  const run = new Set(orderServers.flatMap(({ runs }) => runs.map(({ id }) => id)))
  record.write(`${lasting.length} requests lasted longer than the time-out of their route, ${unanswered.length} of them by more than ${GRACE_MILLISECONDS} ms, ${unanswered.filter(({ id }) => run.has(id)).length} of them orders that had run`)
  return unanswered.length >= MINIMUM_COUNT && unanswered.length > lasting.length * ALLOWED_SHARE ? unanswered.map(({ id, elapsed, timeout }) => `CONFIG: ${id} had no final answer ${Math.round(elapsed - timeout)} ms after its time-out of ${timeout} ms`) : []
})
