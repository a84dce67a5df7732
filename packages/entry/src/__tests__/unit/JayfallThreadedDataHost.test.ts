/** Tests of data planes in several worker threads. */

import assert from 'node:assert/strict'
import { once } from 'node:events'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as net from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Worker } from 'node:worker_threads'

import Wreck from '@hapi/wreck'
import { createLog } from '#jayfall/telemetry'
import { createTestAddress, findFreePort } from '#jayfall/testbed'

import { ThreadedDataHost } from '../../JayfallThreadedDataHost'

const THREAD_COUNT = 3
const ADDRESS = createTestAddress()
const SETTINGS = {
  instanceId: 'entry-1',
  localAddress: ADDRESS,
  limits: { bodyLimit: 1024, headerTimeout: 1000, bodyTimeout: 1000, connectionLimit: 300 },
  requestDeadline: 1000,
  idleStreamTimeout: 1000,
  operatorHashes: [],
  traces: { instanceId: 'entry-1', zone: 'valdivia' },
  sealPasswords: ['first:a-password-for-tests-of-more-than-32-characters']
}

describe('ThreadedDataHost', () => {
  let host: ThreadedDataHost
  let workers: Worker[]
  let port: number
  const lines: string[] = []

  beforeEach(async () => {
    workers = []
    port = await findFreePort(ADDRESS)
    host = new ThreadedDataHost(THREAD_COUNT, SETTINGS, 'info', () => {}, createLog('info', {}, line => lines.push(line)), options => {
      const worker = new Worker(path.join(__dirname, '../../JayfallDataThread.js'), options)
      workers.push(worker)
      return worker
    })
    await host.listen({ host: ADDRESS, port })
  })

  afterEach(async () => { await host.stop() })

  const request = () => Wreck.request('GET', `http://${ADDRESS}:${port}/healthz`, { agent: false as never })

  // Guards against connections that are assigned to a thread without a listening server.
  it('answers on every connection (guards against a thread that does not share the listening socket)', async () => {
    for (let count = 0; count < 50; count++) assert.equal((await request()).statusCode, 200)
  })

  // Guards against connections that are accepted by the kernel although no thread handles them.
  it('refuses connections after all threads have drained (guards against a listening socket that stays open)', async () => {
    assert.equal(await host.drain(), 0)
    await assert.rejects(request(), { code: 'ECONNREFUSED' })
  })

  // Guards against a planned stop that interrupts a request whose body has not arrived completely.
  it('counts a request whose body is still arriving as open (guards against a request that the drain does not count)', async () => {
    const socket = net.connect(port, ADDRESS)
    socket.write('POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\nexpect: 100-continue\r\ncontent-length: 10\r\n\r\n')
    await once(socket, 'data')
    assert.equal(await host.drain(), 1)
    socket.destroy()
  })

  // Guards against a descriptor number that is reused between the closes of two threads, which would close another connection.
  it('listens on a descriptor above those of connections (guards against a reused descriptor)', () => {
    const sockets = fs.readdirSync('/proc/self/fd').filter(descriptor => Number(descriptor) > 1000)
      .filter(descriptor => fs.readlinkSync(`/proc/self/fd/${descriptor}`).startsWith('socket:'))
    assert.equal(sockets.length, 1)
  })

  // Guards against an instance that keeps running with a closed listening socket.
  it('reports a failure when a thread ends unexpectedly (guards against an instance that continues after the loss of a thread)', async () => {
    await workers[1].terminate()
    const error = await host.failure
    assert.match(error.message, /a data thread ended with status/)
    assert.ok(lines.some(line => line.includes('event=data_thread_failed')))
  })

  // Guards against a failure exit status after a planned stop, in which all threads end.
  it('reports no failure after a planned stop (guards against a planned stop that counts as a failure)', async () => {
    let failed = false
    host.failure.then(() => { failed = true }, () => {})
    await host.stop()
    assert.equal(failed, false)
  })

  it('reports an address that is already in use', async () => {
    const second = new ThreadedDataHost(1, SETTINGS, 'info', () => {}, createLog('silent'))
    await assert.rejects(second.listen({ host: ADDRESS, port }), /EADDRINUSE/)
    await second.stop()
  })
})
