/** Tests of the load query against a server with an endless answer, over the loopback interface. */

import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import { type AddressInfo } from 'node:net'
import { after, describe, it } from 'node:test'

import { WorkOrders } from '#jayfall/capacity'
import { ManualClock } from '#jayfall/shared'
import { type Log } from '#jayfall/telemetry'

import { BackendDirectory } from '../../JayfallBackendDirectory'
import { type ForwardingProtocol } from '../../JayfallForwardingProtocol'
import { ForwardingState } from '../../JayfallForwardingState'
import { HealthProbe } from '../../JayfallHealthProbe'
import { createColdServers } from './JayfallDecisionFixture'

const silentLog: Log = { debug () {}, info () {}, warn () {}, error () {} }
const protocol = { decodeAnswerHeaders: () => ({ load: { running: 2, waiting: 1, slots: 8, slowness: 1 } }) } as unknown as ForwardingProtocol
const CLOSE_TIMEOUT_MILLISECONDS = 2000

describe('HealthProbe', () => {
  const server = http.createServer()

  after(() => {
    server.closeAllConnections()
    server.close()
  })

  // The probe read the body of a health answer to its end, which may never come.
  it('closes the connection when the load is known (guards against answers with an endless body)', async () => {
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
    const directory = new BackendDirectory('valdivia')
    const probe = new HealthProbe(protocol, new ForwardingState(directory, { coldServers: createColdServers(new ManualClock(), directory), workOrders: new WorkOrders() }, new ManualClock(), silentLog, 3600), silentLog)
    assert.equal(await probe.queryLoad(`127.0.0.1:${(server.address() as AddressInfo).port}`, 'guide'), 3)
    assert.equal(await Promise.race([closed, new Promise(resolve => { setTimeout(resolve, CLOSE_TIMEOUT_MILLISECONDS).unref() })]), true)
  })
})
