/** Tests of connections that come before the server that uses them, over real sockets. */

import * as assert from 'node:assert/strict'
import { once } from 'node:events'
import * as http from 'node:http'
import * as net from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'

import { OpenListener } from '../../JayfallOpenListener'

const HOST = '127.0.0.1'
const REQUEST = 'GET /early HTTP/1.1\r\nHost: h\r\n\r\n'

describe('OpenListener', () => {
  let port: number
  let listener: OpenListener
  let server: http.Server
  let requests: number

  beforeEach(async () => {
    const probe = net.createServer().listen(0, HOST)
    await once(probe, 'listening')
    port = (probe.address() as net.AddressInfo).port
    probe.close()
    await once(probe, 'close')
    const opened = await OpenListener.open({ host: HOST, port })
    assert.ok(opened !== undefined)
    listener = opened
    requests = 0
    server = http.createServer({ keepAlive: true }, (request, response) => {
      requests++
      request.resume().on('end', () => response.end('answered'))
    })
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  async function connect (text: string): Promise<net.Socket> {
    const socket = net.connect(port, HOST)
    await once(socket, 'connect')
    socket.write(text)
    // The listener accepts the connection in its next turns.
    await delay(50)
    return socket
  }

  async function readAnswer (socket: net.Socket): Promise<string> {
    const [data] = await once(socket, 'data') as [Buffer]
    return data.toString()
  }

  it('hands over connections with what callers have sent, and those that come later', async () => {
    const early = await Promise.all([connect(REQUEST), connect(REQUEST.slice(0, 10)), connect('')])
    await listener.handOver(server, 16)
    early[1].write(REQUEST.slice(10))
    early[2].write(REQUEST)
    for (const socket of [...early, await connect('')]) {
      if (!early.includes(socket)) socket.write(REQUEST)
      assert.match(await readAnswer(socket), /^HTTP\/1\.1 200 /)
      socket.destroy()
    }
  })

  it('serves further requests on a connection that it handed over', async () => {
    const socket = await connect(REQUEST)
    await listener.handOver(server, 16)
    await readAnswer(socket)
    socket.write(REQUEST)
    assert.match(await readAnswer(socket), /^HTTP\/1\.1 200 /)
    assert.equal(requests, 2)
    socket.destroy()
  })

  it('survives connections that were reset or ended before the hand-over (guards against errors of sockets to which nobody listens)', async () => {
    const reset = await connect(REQUEST)
    reset.resetAndDestroy()
    const ended = await connect('')
    ended.end()
    await delay(50)
    await listener.handOver(server, 16)
    const socket = await connect(REQUEST)
    assert.match(await readAnswer(socket), /^HTTP\/1\.1 200 /)
    socket.destroy()
  })

  it('gives early connections the options of a server (guards against connections to callers that vanished which stay open for good)', async () => {
    const [socket, accepted] = [await connect(''), once(server, 'connection') as Promise<[net.Socket]>]
    await listener.handOver(server, 16)
    const [handedOver] = await accepted
    assert.equal(handedOver.allowHalfOpen, true)
    socket.destroy()
  })

  it('is undefined when another process uses the address', async () => {
    assert.equal(await OpenListener.open({ host: HOST, port }), undefined)
    await listener.handOver(server, 16)
  })

  it('survives errors of the listener while nobody uses it', async () => {
    const inner = (listener as unknown as { readonly server: net.Server }).server
    for (let count = 0; count < 2; count++) inner.emit('error', new Error('too many open files'))
    await listener.handOver(server, 16)
  })
})
