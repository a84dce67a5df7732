/** Time limits of calls to the platform, over loopback connections. */

import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import { type AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'

import { delay } from '#jayfall/shared'

import { PlatformHttp } from '../../JayfallStoreHttp'

const TIMEOUT = 300
const PIECES = 10
const PIECE_PAUSE = 100

describe('PlatformHttp', () => {
  let server: http.Server | undefined

  afterEach(() => {
    server?.closeAllConnections()
    server?.close()
  })

  async function serve (answer: (response: http.ServerResponse) => Promise<void>): Promise<PlatformHttp> {
    server = http.createServer((_request, response) => { answer(response) })
    await new Promise<void>(resolve => { server?.listen(0, '127.0.0.1', resolve) })
    return new PlatformHttp({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, timeout: TIMEOUT })
  }

  // CONFIG on smritivan-ops-grown: a large configuration took longer over a thin link than the whole call might last, and never arrived.
  it('reads an answer to its end as long as it goes on (guards against large rows that are thrown away and asked for again)', async () => {
    const client = await serve(async response => {
      response.write('["')
      for (let piece = 0; piece < PIECES; piece++) {
        await delay(PIECE_PAUSE)
        response.write('x')
      }
      response.end('"]')
    })
    assert.deepEqual((await client.call('GET', '/')).body, ['x'.repeat(PIECES)])
  })

  it('gives an answer up that falls silent midway (guards against calls that hang)', async () => {
    const client = await serve(async response => { response.write('["x') })
    const calledAt = performance.now()
    await assert.rejects(client.call('GET', '/'), /broke off/)
    assert.ok(performance.now() - calledAt < 4 * TIMEOUT)
  })

  // Connections can fall silent all at once; the ones that rest would be found out one call after the other.
  it('uses no connection again that rested while a call timed out (guards against one time-out for each open connection)', async () => {
    let calls = 0
    const silent = new Set<unknown>()
    const client = await serve(async response => {
      const { socket } = response.req
      if (silent.has(socket)) return
      calls++
      if (calls > 4) return response.end('{}') as unknown as void
      // The first calls run side by side, so that each has a connection of its own.
      await delay(PIECE_PAUSE)
      silent.add(socket)
      response.end('{}')
    })
    await Promise.all(Array.from({ length: 4 }, () => client.call('GET', '/')))
    await assert.rejects(client.call('GET', '/'))
    assert.deepEqual((await client.call('GET', '/')).body, {})
  })
})
