/** Tests of the time limits of calls to the platform, over loopback connections. */

import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import { type AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'

import { delay } from '#jayfall/shared'

import { PlatformHttp } from '../../JayfallPlatformHttp'

const TIMEOUT_MILLISECONDS = 300
const CHUNK_COUNT = 10
const CHUNK_INTERVAL_MILLISECONDS = 100

describe('PlatformHttp', () => {
  let server: http.Server | undefined

  afterEach(() => {
    server?.closeAllConnections()
    server?.close()
  })

  async function serve (answer: (response: http.ServerResponse) => Promise<void>): Promise<PlatformHttp> {
    server = http.createServer((_request, response) => { answer(response) })
    await new Promise<void>(resolve => { server?.listen(0, '127.0.0.1', resolve) })
    return new PlatformHttp({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, timeout: TIMEOUT_MILLISECONDS })
  }

  // Failure: the transfer of a large configuration over a narrow link took longer than the time limit of the whole call, so the configuration never arrived.
  it('reads an answer to its end as long as bytes keep arriving (guards against large rows that are discarded and requested again)', async () => {
    const client = await serve(async response => {
      response.write('["')
      for (let chunk = 0; chunk < CHUNK_COUNT; chunk++) {
        await delay(CHUNK_INTERVAL_MILLISECONDS)
        response.write('x')
      }
      response.end('"]')
    })
    assert.deepEqual((await client.call('GET', '/')).body, ['x'.repeat(CHUNK_COUNT)])
  })

  it('rejects an answer that stops midway (guards against calls that hang)', async () => {
    const client = await serve(async response => { response.write('["x') })
    const calledAt = performance.now()
    await assert.rejects(client.call('GET', '/'), /broke off/)
    assert.ok(performance.now() - calledAt < 4 * TIMEOUT_MILLISECONDS)
  })

  // Failure: when all connections stop at the same time, each idle one would cost a further call its time-out.
  it('does not reuse connections that were idle when a call timed out (guards against one time-out for each open connection)', async () => {
    let calls = 0
    const silentSockets = new Set<unknown>()
    const client = await serve(async response => {
      const { socket } = response.req
      if (silentSockets.has(socket)) return
      calls++
      if (calls > 4) return response.end('{}') as unknown as void
      // The first calls run concurrently, so that each has its own connection.
      await delay(CHUNK_INTERVAL_MILLISECONDS)
      silentSockets.add(socket)
      response.end('{}')
    })
    await Promise.all(Array.from({ length: 4 }, () => client.call('GET', '/')))
    await assert.rejects(client.call('GET', '/'))
    assert.deepEqual((await client.call('GET', '/')).body, {})
  })

  // Failure: an answer of the store had no limit, and each of its chunks was kept as a buffer of its own.
  it('rejects an answer in chunks of one byte without end (guards against a process that ends for want of memory)', async () => {
    const client = await serve(async response => {
      response.socket?.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
      while (response.socket?.destroyed === false) if (response.socket.write('1\r\nx\r\n'.repeat(10_000)) !== true) await delay(1)
    })
    await assert.rejects(client.call('GET', '/'), /broke off/)
  })
})
