/** The load probe against a server that answers without end, over loopback. */

import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import { type AddressInfo } from 'node:net'
import { after, describe, it } from 'node:test'

import { ManualClock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { BackendDirectory } from '../../JayfallBackendDirectory'
import { type ForwardingProtocol } from '../../JayfallForwardingProtocol'
import { ForwardingState } from '../../JayfallForwardingState'
import { HealthProbe } from '../../JayfallHealthProbe'

const silent: Log = { debug () {}, info () {}, warn () {}, error () {} }
const protocol = { decodeAnswerHeaders: () => ({ load: { running: 2, waiting: 1, slots: 8, slowness: 1 } }) } as unknown as ForwardingProtocol
const PATIENCE = 2000

describe('HealthProbe', () => {
  const server = http.createServer()

  after(() => {
    server.closeAllConnections()
    server.close()
  })

  // The body of a health answer was read to its end, which need not come.
  it('closes the connection when it knows the load (guards against servers whose bytes never end)', async () => {
    const closed = new Promise<boolean>(resolve => {
      server.on('request', (_request, response: http.ServerResponse) => {
        const timer = setInterval(() => response.write('x'.repeat(1024)), 1)
        response.on('close', () => {
          clearInterval(timer)
          resolve(true)
        })
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const probe = new HealthProbe(protocol, new ForwardingState(new BackendDirectory('valdivia'), new ManualClock(), silent), silent)
    assert.equal(await probe.load(`127.0.0.1:${(server.address() as AddressInfo).port}`, 'guide'), 3)
    assert.equal(await Promise.race([closed, new Promise(resolve => { setTimeout(resolve, PATIENCE).unref() })]), true)
  })
})
