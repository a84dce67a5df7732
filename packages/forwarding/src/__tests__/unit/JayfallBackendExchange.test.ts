/** Tests of opening connections to backend servers, over the loopback interface. */

import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import { type AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'

import { type AnswerHead } from '../../JayfallAnswerParser'
import { BackendExchange } from '../../JayfallBackendExchange'
import { CONNECT_TIMEOUT_MILLISECONDS } from '../../JayfallForwardingConstants'

describe('BackendExchange', () => {
  const server = http.createServer((_request, response) => { response.end('answer') })
  let exchange: BackendExchange | undefined

  before(() => new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) }))
  after(() => {
    exchange?.destroy()
    server.closeAllConnections()
    server.close()
  })

  // A busy instance ran the connection timer before it noticed open connections, and took servers and then their zones for unreachable.
  it('does not count the time in which the process was paused as connection time (guards against zones that look unreachable from a busy instance)', async () => {
    const opened = new Promise<AnswerHead>((resolve, reject) => {
      exchange = BackendExchange.open({ method: 'GET', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, path: '/', rawHeaders: ['Host', 'host'], body: Buffer.alloc(0) }, resolve, reject)
    })
    for (const end = performance.now() + 2 * CONNECT_TIMEOUT_MILLISECONDS; performance.now() < end;);
    assert.equal((await opened).status, 200)
  })
})
